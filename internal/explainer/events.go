// Table of the log lines of a sidecar, from which the page for engineers on call is
// generated.

package explainer

import (
	"fmt"
	"strings"
)

// Event is one kind of log line.
type Event struct {
	Message string
	Meaning string
	Fields  []string // without request, server and those of every line
}

// Events are all log lines of a sidecar in the order of the page.
var Events = []Event{
	{"request answered", "the ingress of the caller passed on the answer of a backend server", requestFields},
	{"request failed", "a request ended without being served", append([]string{"reason", "step", "peer", "cause"}, requestFields...)},
	{"offer refused", "the daemon of a backend server refused a request; it did not run", []string{"reason", "cause", "wait-ms", "gray", "left-ms", "priority", "call", "route", "revision"}},
	{"request failed at the backend server", "the request ran, or may have run, and failed", []string{"route", "status", "cause", "took-ms", "blamed-on-call", "gray", "trial", "forced"}},
	{"attempt failed", "the ingress learned that an attempt failed", []string{"peer", "reason", "cause", "reached", "left-ms"}},
	{"daemon is out of reach", "the daemon of a backend server could not be reached", []string{"step", "peer", "cause"}},
	{"daemon is slow to answer an offer", "the offer is also made to the next backend server", []string{"peer"}},
	{"retry budget is used up", "a failure was passed on because the service has no retries left", []string{"service"}},
	{"request could not be read", "a caller sent a malformed request", []string{"step", "cause", "peer"}},
	{"suspicion of the backend server changed", "a backend server is suspected of failing, or no longer", []string{"suspect", "gray", "cause"}},
	{"backend server is new", "the backend server of this daemon was started, or is listed for the first time", []string{"service", "slots", "cold-ms", "revision"}},
	{"listed backend server has ended", "another process uses its address", []string{"cause"}},
	{"backend server responds again and counts as cold", "it refused connections before, and counts as cold until it has warmed up", []string{"cold-ms"}},
	{"configuration or server list changed", "a new configuration or list of backend servers is in use", []string{"source", "revision", "version", "changes", "age-ms"}},
	{"the store may have been unavailable", "no daemon in reach had contact with the store; entries of backend servers that are deleted stay in use for a moment", []string{"source", "interrupted-ms", "revision"}},
	{"the store was available to other daemons", "there was no outage: this zone was cut off, and deleted entries go out of use", []string{"source", "revision"}},
	{"lapsed backend servers were removed", "backend servers whose entries were deleted after a presumed outage of the store, and are not back, are removed", []string{"revision"}},
	{"unexpected failure", "a fault of the daemon itself ended one request, message or update", []string{"step", "stack"}},
	{"connection closed after a malformed message", "another daemon sent a message that cannot be decoded", []string{"step", "peer", "cause"}},
	{"peer did not answer the fetch", "a daemon that relays the content of the store did not answer within `waited-ms`; step `inquire` is a question to another zone", []string{"step", "peer", "cause", "waited-ms", "revision", "version", "age-ms"}},
	{"update is unreadable", "an update that another daemon relayed cannot be decoded", []string{"source", "revision"}},
	{"dependency lost", "the store could not be read", []string{"peer", "dependency", "cause"}},
	{"dependency regained", "the store could be read again", []string{"peer", "dependency"}},
	{"the platform could not be read", "a read of the store that began `waited-ms` before has failed, or is late and goes on (`no response yet`; only the first late one is logged). The store is read again after `retry-ms`, unless two reads are in progress; other hosts are asked meanwhile", []string{"cause", "waited-ms", "retry-ms", "revision", "version", "age-ms"}},
	{"source changed", "another source is followed from now on: a host, the `platform` alone, or `others`, which are hosts in turn while the store answers neither this daemon nor the readers of its zone", []string{"source", "source-before", "revision", "version", "age-ms"}},
	{"store history is no longer available; reading all items", "the store no longer has the revision from which the watch continues", []string{"step", "peer", "revision"}},
	{"unreadable store item ignored", "an item that another program wrote to the store cannot be decoded", []string{"step", "revision", "cause"}},
	{"load reports are stale", "the daemon has exchanged no load reports with its zone for 2 s, and finds servers by its own offers alone", []string{"age-ms", "servers"}},
	{"load reports are current again", "the daemon exchanges load reports with its zone again", []string{"servers"}},
	{"load reports are unreadable", "another daemon sent load reports that cannot be decoded; they are ignored", []string{"step", "peer"}},
	{"owner does not answer", "the owner of a customer's rate, which is limited without it meanwhile, or of a service's retries could not be reached", []string{"step", "peer", "thing", "cause"}},
	{"out of touch; this daemon does not grant as an owner", "neither the store nor most other hosts have answered; another daemon may have replaced this one as the owner of customers' rates and services' retries", nil},
	{"in touch again; this daemon may grant as an owner", "it grants in full what it owns once no other daemon does", nil},
	{"handshake failed", "a client that is no daemon of this deployment connected", []string{"step", "peer", "cause"}},
	{"accept failed", "the host has no file descriptors left, or a listening address is gone", []string{"step"}},
	{"a listener failed", "a listener ended with an error; the daemon stops", nil},
	{"started", "the daemon serves requests", []string{"service", "zone", "backend-server", "store"}},
	{"stopping", "the daemon was told to stop", []string{"pending", "running"}},
	{"stopped", "the daemon has stopped", []string{"pending"}},
	{"settings reloaded", "the settings file changed, or SIGHUP was received", []string{"service", "service-before"}},
	{"log lines left out", "lines were dropped because there were more than `log-lines` a second, or because the output blocked; routine lines are dropped first", []string{"count"}},
}

var requestFields = []string{
	"route", "customer", "service", "offers", "reached", "took-ms", "version", "age-ms", "status", "caller-left",
}

// EventTable returns the events as a Markdown table for the page.
func EventTable() string {
	var table strings.Builder
	table.WriteString("| message | says | fields |\n|---|---|---|\n")
	for _, event := range Events {
		fields := "none"
		if len(event.Fields) > 0 {
			fields = "`" + strings.Join(event.Fields, "`, `") + "`"
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s |\n", event.Message, event.Meaning, fields)
	}
	return table.String()
}
