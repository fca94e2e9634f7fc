// The schemas of all kinds of record, one decoder for each kind and version.
// A decoder is the plain list of the fields, their defaults and their bounds.

package parser

import (
	"slices"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The bounds of numbers in records.
const (
	perSecondLeast = 1e-6 // requests a second
	perSecondMost  = 1e6  // requests a second
	burstMost      = 1000000
	slotsMost      = 10000
	connectionMost = 100000
)

// The bounds of durations in records.
const (
	perLeast           = time.Millisecond
	perMost            = 24 * time.Hour
	timeoutLeast       = 10 * time.Millisecond
	timeoutMost        = time.Hour
	connectionCostMost = 10 * time.Second
	coldStartMost      = 24 * time.Hour
)

// The defaults of records.
const (
	timeoutDefault        = 10 * time.Second
	floorDefault          = 0.7
	retryBudgetDefault    = 0.1
	connectionCostDefault = time.Millisecond
	coldStartDefault      = 10 * time.Second
)

// The bounds of texts and of the paths of routes, in bytes.
const (
	descriptionLimit = 1000
	pathLimit        = 256
)

// The words for the access of a route.
const (
	accessKey  = "key"
	accessOpen = "open"
)

// knownMethods are the methods that a route may name.
var knownMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// -----------------------------------------------------------------------------

func decodeCustomer1(d *document, name string) flow.Record {
	return &flow.Customer{
		Name:        name,
		Description: d.text("description", descriptionLimit),
	}
}

func decodeKey1(d *document, name string) flow.Record {
	return &flow.Key{
		Name:      name,
		Customer:  d.name("customer"),
		Hash:      d.requiredText("hash", allowedHash, isHash),
		Withdrawn: d.boolean("withdrawn", false),
	}
}

func decodeRate1(d *document, name string) flow.Record {
	return &flow.Rate{
		Name:      name,
		Customer:  d.name("customer"),
		PerSecond: d.requiredNumber("per-second", perSecondLeast, perSecondMost),
		Burst:     d.requiredInteger("burst", 1, burstMost),
	}
}

func decodeRate2(d *document, name string) flow.Record {
	customer := d.name("customer")
	requests := d.requiredNumber("requests", perSecondLeast, perSecondMost)
	per := d.duration("per", time.Second, perLeast, perMost)
	perSecond := requests / per.Seconds()
	if perSecond < perSecondLeast || perSecond > perSecondMost {
		d.fault(d.lineOf("requests"), "requests", "makes too low or too high a rate; allowed a second: "+numbers(perSecondLeast, perSecondMost))
	}
	return &flow.Rate{
		Name:         name,
		Customer:     customer,
		PerSecond:    perSecond,
		Burst:        d.requiredInteger("burst", 1, burstMost),
		RegionShares: d.shares("region-shares"),
	}
}

func decodeRoute1(d *document, name string) flow.Record {
	route := decodeRoute(d, name)
	route.Open = d.boolean("open", false)
	if d.boolean("idempotent", false) {
		route.IdempotentMethods = slices.Clone(route.Methods)
		if len(route.Methods) == 0 {
			route.IdempotentMethods = slices.Clone(knownMethods)
		}
	}
	return route
}

func decodeRoute2(d *document, name string) flow.Record {
	route := decodeRoute(d, name)
	route.Open = d.choice("access", accessKey, accessKey, accessOpen) == accessOpen
	route.IdempotentMethods = d.methods("idempotent-methods")
	for _, method := range route.IdempotentMethods {
		if len(route.Methods) > 0 && !slices.Contains(route.Methods, method) {
			d.fault(d.lineOf("idempotent-methods"), "idempotent-methods", "holds "+method+"; allowed: what methods holds")
		}
	}
	return route
}

// decodeRoute decodes what both schemas of a route have in common.
func decodeRoute(d *document, name string) *flow.Route {
	return &flow.Route{
		Name:       name,
		Service:    d.name("service"),
		PathPrefix: d.requiredText("path-prefix", allowedPath, isPathPrefix),
		Methods:    d.methods("methods"),
		Timeout:    d.duration("timeout", timeoutDefault, timeoutLeast, timeoutMost),
	}
}

func decodeService1(d *document, name string) flow.Record {
	service := &flow.Service{
		Name:            name,
		Floor:           d.number("floor", floorDefault, 0, 1),
		RetryBudget:     d.number("retry-budget", retryBudgetDefault, 0, 1),
		ShedStatus:      d.shedStatus("shed-status"),
		ShedHeader:      d.optionalText("shed-header", allowedHeader, isHeaderName),
		RequestIDHeader: d.optionalText("request-id-header", allowedHeader, isHeaderName),
	}
	if service.ShedHeader != "" && service.ShedStatus == 0 {
		d.fault(d.lineOf("shed-header"), "shed-header", "needs shed-status")
	}
	return service
}

func decodeAvailabilityZone1(d *document, name string) flow.Record {
	return &flow.AvailabilityZone{
		Name:   name,
		Region: d.name("region"),
		State:  flow.ZoneState(d.choice("state", string(flow.ZoneIn), string(flow.ZoneIn), string(flow.ZoneOut))),
	}
}

func decodeHost1(d *document, name string) flow.Record {
	host := &flow.Host{
		Name:             name,
		AvailabilityZone: d.name("availability-zone"),
		PeerAddress:      d.requiredText("peer-address", allowedAddress, isAddress),
		DataAddress:      d.requiredText("data-address", allowedAddress, isAddress),
		State:            d.memberState(),
	}
	if host.PeerAddress != "" && host.PeerAddress == host.DataAddress {
		d.fault(d.lineOf("data-address"), "data-address", "is the same as peer-address; allowed: a different one")
	}
	return host
}

func decodeBackendServer1(d *document, name string) flow.Record {
	server := &flow.BackendServer{
		Name:           name,
		Service:        d.name("service"),
		Host:           d.name("host"),
		Address:        d.requiredText("address", allowedAddress, isAddress),
		Slots:          d.requiredInteger("slots", 1, slotsMost),
		Connections:    d.requiredInteger("connections", 1, connectionMost),
		ConnectionCost: d.duration("connection-cost", connectionCostDefault, 0, connectionCostMost),
		ColdStart:      d.duration("cold-start", coldStartDefault, 0, coldStartMost),
		State:          d.memberState(),
	}
	if server.Connections < server.Slots {
		d.fault(d.lineOf("connections"), "connections", "are fewer than slots; allowed: at least as many")
	}
	return server
}

// -----------------------------------------------------------------------------

// memberState takes the state of a host or a backend server.
func (d *document) memberState() flow.MemberState {
	live, leaving := string(flow.MemberLive), string(flow.MemberLeaving)
	return flow.MemberState(d.choice("state", live, live, leaving))
}

// The bounds of the status by which a backend server sheds load.
const (
	shedStatusLeast = 400
	shedStatusMost  = 599
)

// shedStatus takes an optional error status.
func (d *document) shedStatus(name string) int {
	if _, ok := d.find(name); !ok {
		d.take(name)
		return 0
	}
	return d.integer(name, 0, shedStatusLeast, shedStatusMost)
}

// methods takes an optional array of methods.
func (d *document) methods(name string) []string {
	return d.texts(name, "the methods "+strings.Join(knownMethods, ", "), isMethod)
}

func isMethod(text string) bool {
	return slices.Contains(knownMethods, text)
}

const allowedPath = "a path such as /swaps or /v1/slots: whole segments of letters, digits and -._~!$&'()*+,=:@, no segment . or .., no slash at the end; / for all"

// isPathPrefix reports whether text is a path whose meaning nobody can read in
// two ways: it has no empty segment, no dot segment and no escapes.
func isPathPrefix(text string) bool {
	if text == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(text, "/")
	if !ok || len(text) > pathLimit {
		return false
	}
	for _, segment := range strings.Split(rest, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, isForeignToPath) {
			return false
		}
	}
	return true
}

func isForeignToPath(r rune) bool {
	letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !letter && !strings.ContainsRune("-._~!$&'()*+,=:@", r)
}
