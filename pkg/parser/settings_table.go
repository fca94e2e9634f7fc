// The table of all settings, which drives the parser and the reference page, and
// the checks between settings.

package parser

import (
	"strconv"
	"strings"
	"time"
)

// SettingType is the type of a setting's value.
type SettingType string

// The types of settings.
const (
	SettingName        SettingType = "name"
	SettingBindAddress SettingType = "ip:port"
	SettingAddress     SettingType = "ip:port to dial"
	SettingAddresses   SettingType = "array of ip:port"
	SettingURLs        SettingType = "array of URLs"
	SettingSecret      SettingType = "secret text"
	SettingChoice      SettingType = "word"
	SettingDuration    SettingType = "duration"
	SettingInteger     SettingType = "whole number"
	SettingNumber      SettingType = "number"
	SettingBytes       SettingType = "byte size"
	SettingTexts       SettingType = "object of texts"
)

// SettingRow describes one setting. Default, Min and Max are written as in the
// settings file.
type SettingRow struct {
	Name     string
	Type     SettingType
	Required bool
	Default  string
	Min      string
	Max      string
	Choices  []string
	Help     string

	target func(*Settings) any // returns a pointer to the field that holds the setting
}

// SettingRows returns the table of a daemon's settings.
func SettingRows() []SettingRow {
	return settingRows
}

// MinSecretBytes is the minimum length of the secret.
const MinSecretBytes = 16

var settingRows = []SettingRow{
	{
		Name: "host", Type: SettingName, Required: true,
		Help:   "Name of the host, as in its host record.",
		target: func(s *Settings) any { return &s.Host },
	},
	{
		Name: "region", Type: SettingName, Required: true,
		Help:   "Region of the host. Hosts of one region exchange heartbeats and divide the ownership of rates, ejections and idempotency keys among themselves.",
		target: func(s *Settings) any { return &s.Region },
	},
	{
		Name: "availability-zone", Type: SettingName, Required: true,
		Help:   "Availability zone of the host.",
		target: func(s *Settings) any { return &s.AvailabilityZone },
	},
	{
		Name: "caller-address", Type: SettingBindAddress, Required: true,
		Help:   "Where callers' requests come in. Port 0 takes any free port.",
		target: func(s *Settings) any { return &s.Addresses.Caller },
	},
	{
		Name: "data-address", Type: SettingBindAddress, Required: true,
		Help:   "Where requests forwarded by other daemons come in.",
		target: func(s *Settings) any { return &s.Addresses.Data },
	},
	{
		Name: "peer-address", Type: SettingBindAddress, Required: true,
		Help:   "Where control connections of other daemons come in.",
		target: func(s *Settings) any { return &s.Addresses.Peer },
	},
	{
		Name: "operator-address", Type: SettingBindAddress, Required: true,
		Help:   "Where status, readiness and metrics are served.",
		target: func(s *Settings) any { return &s.Addresses.Operator },
	},
	{
		Name: "advertised-data-address", Type: SettingAddress,
		Help:   "Address that other daemons dial instead of data-address.",
		target: func(s *Settings) any { return &s.Addresses.AdvertisedData },
	},
	{
		Name: "advertised-peer-address", Type: SettingAddress,
		Help:   "Address that other daemons dial instead of peer-address.",
		target: func(s *Settings) any { return &s.Addresses.AdvertisedPeer },
	},
	{
		Name: "platform", Type: SettingURLs, Required: true,
		Help:   "Base URLs of the platform's configuration service.",
		target: func(s *Settings) any { return &s.Platform },
	},
	{
		Name: "seeds", Type: SettingAddresses, Default: "[]",
		Help:   "Peer addresses of daemons to contact first, before any host record is known.",
		target: func(s *Settings) any { return &s.Seeds },
	},
	{
		Name: "secret", Type: SettingSecret, Required: true,
		Help:   "Shared by all daemons of the fleet; it signs what they send each other. At least " + strconv.Itoa(MinSecretBytes) + " bytes.",
		target: func(s *Settings) any { return &s.Secret },
	},
	{
		Name: "log-level", Type: SettingChoice, Default: LogInfo, Choices: []string{LogError, LogInfo, LogDebug},
		Help:   "How much is logged.",
		target: func(s *Settings) any { return &s.LogLevel },
	},
	{
		Name: "lease-timeout", Type: SettingDuration, Default: "3s", Min: "500ms", Max: "3s",
		Help:   "Age at which a proof that the configuration is current expires. At least 4 heartbeat intervals; the same on all hosts.",
		target: func(s *Settings) any { return &s.Lease.Timeout },
	},
	{
		Name: "without-proof", Type: SettingChoice, Default: WithoutProofServe, Choices: []string{WithoutProofServe, WithoutProofRefuse},
		Help:   "What a daemon does if its newest proof is older than lease-timeout: serve requests with its last configuration, or refuse them, so that withdrawn keys stop working even on a daemon that is cut off. The same on all hosts.",
		target: func(s *Settings) any { return &s.Lease.WithoutProof },
	},
	{
		Name: "heartbeat-interval", Type: SettingDuration, Default: "250ms", Min: "20ms", Max: "1s",
		Help:   "Time between two rounds of heartbeats.",
		target: func(s *Settings) any { return &s.Lease.HeartbeatInterval },
	},
	{
		Name: "heartbeat-fanout", Type: SettingInteger, Default: "3", Min: "1", Max: "8",
		Help:   "Peers contacted in each round of heartbeats.",
		target: func(s *Settings) any { return &s.Lease.HeartbeatFanout },
	},
	{
		Name: "readers-per-zone", Type: SettingInteger, Default: "2", Min: "1", Max: "8",
		Help:   "Daemons of each availability zone that watch the platform for the others.",
		target: func(s *Settings) any { return &s.Reading.ReadersPerZone },
	},
	{
		Name: "platform-calls-per-second", Type: SettingInteger, Default: "100", Min: "1", Max: "2000",
		Help:   "Calls a second to the platform that the whole fleet may make.",
		target: func(s *Settings) any { return &s.Reading.PlatformCallsPerSecond },
	},
	{
		Name: "token-lifetime", Type: SettingDuration, Default: "1s", Min: "100ms", Max: "2s",
		Help:   "How long a daemon may keep rate tokens that it leased from their owner. The same on all hosts.",
		target: func(s *Settings) any { return &s.Rate.TokenLifetime },
	},
	{
		Name: "rate-shares", Type: SettingInteger, Default: "8", Min: "1", Max: "16",
		Help:   "Maximum number of shares that a customer's rate is divided into, each owned by one daemon. The same on all hosts.",
		target: func(s *Settings) any { return &s.Rate.Shares },
	},
	{
		Name: "permit-lifetime", Type: SettingDuration, Default: "1s", Min: "100ms", Max: "2s",
		Help:   "How long a forwarded request may take to reach the backend server's daemon. The same on all hosts.",
		target: func(s *Settings) any { return &s.Rate.PermitLifetime },
	},
	{
		Name: "answer-buffer", Type: SettingBytes, Default: "1MiB", Min: "0B", Max: "64MiB",
		Help:   "Responses up to this size are buffered until they are complete; larger ones are streamed.",
		target: func(s *Settings) any { return &s.Transport.ResponseBuffer },
	},
	{
		Name: "request-body-limit", Type: SettingBytes, Default: "8MiB", Min: "1KiB", Max: "1GiB",
		Help:   "Largest body of a request.",
		target: func(s *Settings) any { return &s.Transport.RequestBodyLimit },
	},
	{
		Name: "header-limit", Type: SettingBytes, Default: "32KiB", Min: "1KiB", Max: "1MiB",
		Help:   "Largest header of a request.",
		target: func(s *Settings) any { return &s.Transport.HeaderLimit },
	},
	{
		Name: "header-timeout", Type: SettingDuration, Default: "5s", Min: "100ms", Max: "1m",
		Help:   "How long a caller may take to send the header of a request.",
		target: func(s *Settings) any { return &s.Transport.HeaderTimeout },
	},
	{
		Name: "connections-limit", Type: SettingInteger, Default: "4000", Min: "1", Max: "100000",
		Help:   "Connections of callers that the daemon holds at once.",
		target: func(s *Settings) any { return &s.Transport.ConnectionsLimit },
	},
	{
		Name: "peer-frame-limit", Type: SettingBytes, Default: "4MiB", Min: "64KiB", Max: "64MiB",
		Help:   "Largest message on a control connection. The same on all hosts.",
		target: func(s *Settings) any { return &s.Transport.PeerFrameLimit },
	},
	{
		Name: "idempotency-window", Type: SettingDuration, Default: "2m", Min: "1s", Max: "1h",
		Help:   "How long a request with an idempotency key is remembered. The same on all hosts.",
		target: func(s *Settings) any { return &s.Idempotency.Window },
	},
	{
		Name: "clock-skew", Type: SettingDuration, Default: "5s", Min: "0s", Max: "5m",
		Help:   "Maximum difference between the wall clocks of callers and hosts. Less than idempotency-window.",
		target: func(s *Settings) any { return &s.Idempotency.ClockSkew },
	},
	{
		Name: "retry-attempts", Type: SettingInteger, Default: "3", Min: "1", Max: "5",
		Help:   "Maximum number of attempts at one request, the first included.",
		target: func(s *Settings) any { return &s.Retry.MaxAttempts },
	},
	{
		Name: "stop-grace", Type: SettingDuration, Default: "10s", Min: "0s", Max: "10m",
		Help:   "How long a stopping daemon waits for requests in flight.",
		target: func(s *Settings) any { return &s.Stop.Grace },
	},
	{
		Name: "zone-out-grace", Type: SettingDuration, Default: "3s", Min: "0s", Max: "1m",
		Help:   "How long the daemons of an availability zone that was taken out of service still forward callers' requests to other zones.",
		target: func(s *Settings) any { return &s.Stop.ZoneOutGrace },
	},
	{
		Name: "customers-in-metrics", Type: SettingInteger, Default: "200", Min: "1", Max: "10000",
		Help:   "Customers with histograms of their own; all others share one.",
		target: func(s *Settings) any { return &s.Metrics.Customers },
	},
	{
		Name: "limiter", Type: SettingChoice, Default: LimiterAIMD, Choices: []string{LimiterAIMD, LimiterFixed, LimiterGradient},
		Help:   "How the concurrency limit of a backend server is determined.",
		target: func(s *Settings) any { return &s.Behaviour.Limiter },
	},
	{
		Name: "picker", Type: SettingChoice, Default: PickerTwoChoices, Choices: []string{PickerTwoChoices, PickerRoundRobin},
		Help:   "How a backend server is chosen for a request.",
		target: func(s *Settings) any { return &s.Behaviour.Picker },
	},
	{
		Name: "ejector", Type: SettingChoice, Default: EjectorRobust, Choices: []string{EjectorRobust, EjectorNone},
		Help:   "How failing backend servers are ejected.",
		target: func(s *Settings) any { return &s.Behaviour.Ejector },
	},
	{
		Name: "rate-split", Type: SettingChoice, Default: RateSplitLeased, Choices: []string{RateSplitLeased, RateSplitSingleOwner, RateSplitStatic},
		Help:   "How a customer's rate is shared between daemons. The same on all hosts.",
		target: func(s *Settings) any { return &s.Behaviour.RateSplit },
	},
}

// minHeartbeatsPerLease is the minimum number of heartbeat intervals in a lease
// timeout.
const minHeartbeatsPerLease = 4

// settingCheck is a condition on several settings.
type settingCheck struct {
	field   string // the setting that a fault names
	problem string
	holds   func(*Settings) bool
}

var settingChecks = []settingCheck{
	{
		field:   "heartbeat-interval",
		problem: "is too long; allowed: at most a quarter of lease-timeout",
		holds:   func(s *Settings) bool { return s.Lease.Timeout >= minHeartbeatsPerLease*s.Lease.HeartbeatInterval },
	},
	{
		field:   "clock-skew",
		problem: "is too long; allowed: less than idempotency-window",
		holds:   func(s *Settings) bool { return s.Idempotency.ClockSkew < s.Idempotency.Window },
	},
	{
		field:   "caller-address",
		problem: "shares its address with data-address, peer-address or operator-address, or two of these share one; allowed: four different ones (or port 0)",
		holds:   func(s *Settings) bool { return distinctAddresses(s.Addresses) },
	},
	{
		field:   "advertised-data-address",
		problem: "is the same as advertised-peer-address; allowed: a different one",
		holds: func(s *Settings) bool {
			return s.Addresses.AdvertisedData == "" || s.Addresses.AdvertisedData != s.Addresses.AdvertisedPeer
		},
	},
}

// distinctAddresses reports whether no two listeners share an address. Addresses
// with port 0 are distinct, since the system assigns their ports.
func distinctAddresses(a AddressSettings) bool {
	seen := map[string]bool{}
	for _, address := range []string{a.Caller, a.Data, a.Peer, a.Operator} {
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if seen[address] {
			return false
		}
		seen[address] = true
	}
	return true
}

// read decodes the row's setting from d into target.
func (row SettingRow) read(d *document, target any) {
	switch target := target.(type) {
	case *string:
		*target = row.readText(d)
	case *[]string:
		*target = row.readTexts(d)
	case *int:
		*target = d.integer(row.Name, tableInteger(row.Default), tableInteger(row.Min), tableInteger(row.Max))
	case *time.Duration:
		*target = d.duration(row.Name, tableDuration(row.Default), tableDuration(row.Min), tableDuration(row.Max))
	case *float64:
		*target = d.number(row.Name, tableNumber(row.Default), tableNumber(row.Min), tableNumber(row.Max))
	case *map[string]string:
		*target = d.textsByName(row.Name)
	case *ByteSize:
		*target = d.byteSize(row.Name, tableByteSize(row.Default), tableByteSize(row.Min), tableByteSize(row.Max))
	}
}

func (row SettingRow) readText(d *document) string {
	switch row.Type {
	case SettingName:
		return d.name(row.Name)
	case SettingSecret:
		return d.secret(row.Name, MinSecretBytes)
	case SettingBindAddress:
		return d.requiredText(row.Name, allowedBindAddress, isBindAddress)
	case SettingAddress:
		return d.optionalText(row.Name, allowedAddress, isAddress)
	}
	return d.choice(row.Name, row.Default, row.Choices...)
}

func (row SettingRow) readTexts(d *document) []string {
	if row.Type == SettingAddresses {
		return d.texts(row.Name, allowedAddress, isAddress)
	}
	faults := len(d.faults)
	urls := d.texts(row.Name, allowedURL, isPlatformURL)
	if len(urls) == 0 && len(d.faults) == faults {
		d.addFault(d.lineOf(row.Name), row.Name, "names no URL; allowed: at least one of "+allowedURL)
	}
	return urls
}

// tableInteger parses a number in the table. Like its siblings below, it expects
// the table to be valid and ignores errors.
func tableInteger(text string) int {
	number, _ := strconv.Atoi(text)
	return number
}

func tableNumber(text string) float64 {
	number, _ := strconv.ParseFloat(text, 64)
	return number
}

func tableDuration(text string) time.Duration {
	duration, _ := time.ParseDuration(text)
	return duration
}

func tableByteSize(text string) ByteSize {
	size, _ := parseByteSize(text)
	return size
}
