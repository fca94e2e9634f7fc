// One decoder for each kind and schema version of record. A decoder lists the
// fields with their defaults and limits.

package parser

import (
	"slices"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Limits of numbers in records.
const (
	minPerSecond   = 1e-6 // requests per second
	maxPerSecond   = 1e6  // requests per second
	maxBurst       = 1000000
	maxSlots       = 10000
	maxConnections = 100000
)

// Limits of durations in records.
const (
	minPeriod         = time.Millisecond
	maxPeriod         = 24 * time.Hour
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = time.Hour
	maxConnectionCost = 10 * time.Second
	maxColdStart      = 24 * time.Hour
)

// Defaults of fields of records.
const (
	defaultTimeout        = 10 * time.Second
	defaultFloor          = 0.7
	defaultRetryBudget    = 0.1
	defaultConnectionCost = time.Millisecond
	defaultColdStart      = 10 * time.Second
)

// Limits of descriptions and of path prefixes of routes.
const (
	maxDescriptionBytes = 1000
	maxPathBytes        = 256
)

// Values of a route's field access.
const (
	accessKey  = "key"
	accessOpen = "open"
)

// knownMethods are the HTTP methods that a route may name.
var knownMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func decodeCustomerV1(d *document, name string) flow.Record {
	return &flow.Customer{
		Name:        name,
		Description: d.text("description", maxDescriptionBytes),
	}
}

func decodeKeyV1(d *document, name string) flow.Record {
	return &flow.Key{
		Name:      name,
		Customer:  d.name("customer"),
		Hash:      d.requiredText("hash", allowedHash, isSHA256Hex),
		Withdrawn: d.boolean("withdrawn", false),
	}
}

func decodeRateV1(d *document, name string) flow.Record {
	return &flow.Rate{
		Name:      name,
		Customer:  d.name("customer"),
		PerSecond: d.requiredNumber("per-second", minPerSecond, maxPerSecond),
		Burst:     d.requiredInteger("burst", 1, maxBurst),
	}
}

func decodeRateV2(d *document, name string) flow.Record {
	customer := d.name("customer")
	requests := d.requiredNumber("requests", minPerSecond, maxPerSecond)
	per := d.duration("per", time.Second, minPeriod, maxPeriod)
	perSecond := requests / per.Seconds()
	if perSecond < minPerSecond || perSecond > maxPerSecond {
		d.addFault(d.lineOf("requests"), "requests", "results in a rate that is too low or too high; allowed per second: "+describeNumbers(minPerSecond, maxPerSecond))
	}
	return &flow.Rate{
		Name:         name,
		Customer:     customer,
		PerSecond:    perSecond,
		Burst:        d.requiredInteger("burst", 1, maxBurst),
		RegionShares: d.shares("region-shares"),
	}
}

func decodeRouteV1(d *document, name string) flow.Record {
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

func decodeRouteV2(d *document, name string) flow.Record {
	route := decodeRoute(d, name)
	route.Open = d.choice("access", accessKey, accessKey, accessOpen) == accessOpen
	route.IdempotentMethods = d.methods("idempotent-methods")
	for _, method := range route.IdempotentMethods {
		if len(route.Methods) > 0 && !slices.Contains(route.Methods, method) {
			d.addFault(d.lineOf("idempotent-methods"), "idempotent-methods", "holds "+method+"; allowed: methods that the field \"methods\" lists")
		}
	}
	return route
}

// decodeRoute decodes the fields that both schema versions of a route share.
func decodeRoute(d *document, name string) *flow.Route {
	return &flow.Route{
		Name:       name,
		Service:    d.name("service"),
		PathPrefix: d.requiredText("path-prefix", allowedPath, isPathPrefix),
		Methods:    d.methods("methods"),
		Timeout:    d.duration("timeout", defaultTimeout, minTimeout, maxTimeout),
	}
}

func decodeServiceV1(d *document, name string) flow.Record {
	service := &flow.Service{
		Name:            name,
		Floor:           d.number("floor", defaultFloor, 0, 1),
		RetryBudget:     d.number("retry-budget", defaultRetryBudget, 0, 1),
		ShedStatus:      d.shedStatus("shed-status"),
		ShedHeader:      d.optionalText("shed-header", allowedHeader, isHeaderName),
		RequestIDHeader: d.optionalText("request-id-header", allowedHeader, isHeaderName),
	}
	if service.ShedHeader != "" && service.ShedStatus == 0 {
		d.addFault(d.lineOf("shed-header"), "shed-header", "needs shed-status")
	}
	return service
}

func decodeAvailabilityZoneV1(d *document, name string) flow.Record {
	return &flow.AvailabilityZone{
		Name:   name,
		Region: d.name("region"),
		State:  flow.ZoneState(d.choice("state", string(flow.ZoneIn), string(flow.ZoneIn), string(flow.ZoneOut))),
	}
}

func decodeHostV1(d *document, name string) flow.Record {
	host := &flow.Host{
		Name:             name,
		AvailabilityZone: d.name("availability-zone"),
		PeerAddress:      d.requiredText("peer-address", allowedAddress, isAddress),
		DataAddress:      d.requiredText("data-address", allowedAddress, isAddress),
		State:            d.memberState(),
	}
	if host.PeerAddress != "" && host.PeerAddress == host.DataAddress {
		d.addFault(d.lineOf("data-address"), "data-address", "is the same as peer-address; allowed: a different one")
	}
	return host
}

func decodeBackendServerV1(d *document, name string) flow.Record {
	server := &flow.BackendServer{
		Name:           name,
		Service:        d.name("service"),
		Host:           d.name("host"),
		Address:        d.requiredText("address", allowedAddress, isAddress),
		Slots:          d.requiredInteger("slots", 1, maxSlots),
		Connections:    d.requiredInteger("connections", 1, maxConnections),
		ConnectionCost: d.duration("connection-cost", defaultConnectionCost, 0, maxConnectionCost),
		ColdStart:      d.duration("cold-start", defaultColdStart, 0, maxColdStart),
		State:          d.memberState(),
	}
	if server.Connections < server.Slots {
		d.addFault(d.lineOf("connections"), "connections", "are fewer than slots; allowed: at least as many")
	}
	return server
}

// memberState decodes the state of a host or backend server.
func (d *document) memberState() flow.MemberState {
	live, leaving := string(flow.MemberLive), string(flow.MemberLeaving)
	return flow.MemberState(d.choice("state", live, live, leaving))
}

// Limits of the status with which a backend server sheds requests.
const (
	minShedStatus = 400
	maxShedStatus = 599
)

// shedStatus decodes an optional status; 0 if it is missing.
func (d *document) shedStatus(name string) int {
	if _, ok := d.find(name); !ok {
		d.lookup(name)
		return 0
	}
	return d.integer(name, 0, minShedStatus, maxShedStatus)
}

// methods decodes an optional array of HTTP methods.
func (d *document) methods(name string) []string {
	return d.texts(name, "the methods "+strings.Join(knownMethods, ", "), isMethod)
}

func isMethod(text string) bool {
	return slices.Contains(knownMethods, text)
}

const allowedPath = "a path such as /swaps or /v1/slots: whole segments of letters, digits and -._~!$&'()*+,=:@, no segment . or .., no slash at the end; / for all"

// isPathPrefix reports whether text is a path that all parties read alike: it has
// no empty segments, no dot segments and no percent-encoding.
func isPathPrefix(text string) bool {
	if text == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(text, "/")
	if !ok || len(text) > maxPathBytes {
		return false
	}
	for _, segment := range strings.Split(rest, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, isDisallowedInPath) {
			return false
		}
	}
	return true
}

func isDisallowedInPath(r rune) bool {
	letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !letter && !strings.ContainsRune("-._~!$&'()*+,=:@", r)
}
