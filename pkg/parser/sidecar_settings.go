// The settings of a sidecar, a daemon beside one backend server that reads the
// configuration from a platform's store.

package parser

import "time"

// SidecarSettings holds the settings that only sidecars have.
type SidecarSettings struct {
	Service       string // service of this host's backend server
	BackendServer string // address of this host's backend server, ip:port
	Store         string // address of the platform's store, ip:port
	Readiness     string // address for the platform's readiness checks, ip:port

	// Zones holds the region of each availability zone. Without it all zones are in one
	// region.
	Zones map[string]string

	RetryShare  float64 // maximum ratio of retries to requests, over all daemons
	RetrySlack  float64 // retries allowed in a window beyond RetryShare, over all daemons
	RetryWindow time.Duration
	RateOverage float64       // share of a customer's rate that may be admitted beyond the rate
	RateSlack   float64       // burst of requests that may be admitted in addition to RateOverage
	MaxProofAge time.Duration // proof age from which requests are refused; 0 for never
	ApplyWithin time.Duration // time within which a change must be in force on all hosts
	// CutOffServers is CutOffLeave or CutOffUse.
	CutOffServers string
	EarlyRefusal  time.Duration // age of reports that may show that a service is full; 0 for none
	CallReserve   float64       // maximum share of a server's slots that is reserved for calls
	FirstStart    string        // "true" if the whole deployment starts for the first time
	StopGrace     time.Duration // time from the signal to stop until the process must have ended

	Memory   ByteSize
	LogLines int // maximum log lines per second
}

// SidecarRows returns the table of a sidecar's settings.
func SidecarRows() []SettingRow { return sidecarRows }

// Values of SidecarSettings.CutOffServers.
const (
	CutOffLeave = "leave"
	CutOffUse   = "use"
)

var sidecarRows = []SettingRow{
	{
		Name: "host", Type: SettingName, Required: true,
		Help:   "Name of the host, for logs.",
		target: func(s *Settings) any { return &s.Host },
	},
	{
		Name: "availability-zone", Type: SettingName, Required: true,
		Help:   "Availability zone of the host.",
		target: func(s *Settings) any { return &s.AvailabilityZone },
	},
	{
		Name: "zones", Type: SettingTexts,
		Help:   "Region of each availability zone of the deployment. Without it, all zones are in one region, and allowed regions of routes and customers have no effect. A zone that is missing here is in no allowed region.",
		target: func(s *Settings) any { return &s.Sidecar.Zones },
	},
	{
		Name: "service", Type: SettingName, Required: true,
		Help:   "Service of the backend server of the host. Its name is sent to the backend servers that run the host's requests.",
		target: func(s *Settings) any { return &s.Sidecar.Service },
	},
	{
		Name: "backend-server", Type: SettingBindAddress, Required: true,
		Help:   "Address of the backend server of the host.",
		target: func(s *Settings) any { return &s.Sidecar.BackendServer },
	},
	{
		Name: "caller-address", Type: SettingBindAddress, Required: true,
		Help:   "Where callers' requests come in.",
		target: func(s *Settings) any { return &s.Addresses.Caller },
	},
	{
		Name: "data-address", Type: SettingBindAddress, Required: true,
		Help:   "Where other daemons offer requests. The port is the same on all hosts.",
		target: func(s *Settings) any { return &s.Addresses.Data },
	},
	{
		Name: "peer-address", Type: SettingBindAddress, Required: true,
		Help:   "Where control connections of other daemons come in. The port is the same on all hosts.",
		target: func(s *Settings) any { return &s.Addresses.Peer },
	},
	{
		Name: "operator-address", Type: SettingBindAddress, Required: true,
		Help:   "Where status and metrics are served.",
		target: func(s *Settings) any { return &s.Addresses.Operator },
	},
	{
		Name: "readiness-address", Type: SettingBindAddress, Required: true,
		Help:   "Where the platform's readiness checks are answered.",
		target: func(s *Settings) any { return &s.Sidecar.Readiness },
	},
	{
		Name: "store", Type: SettingBindAddress, Required: true,
		Help:   "Address of the platform's store.",
		target: func(s *Settings) any { return &s.Sidecar.Store },
	},
	{
		Name: "secret", Type: SettingSecret, Required: true,
		Help:   "Shared by all daemons of the deployment; it signs what they send each other.",
		target: func(s *Settings) any { return &s.Secret },
	},
	{
		Name: "retry-share", Type: SettingNumber, Default: "0.2", Min: "0", Max: "1",
		Help:   "Retries as a share of the requests for a service, over all daemons.",
		target: func(s *Settings) any { return &s.Sidecar.RetryShare },
	},
	{
		Name: "retry-slack", Type: SettingNumber, Default: "20", Min: "0", Max: "100000",
		Help:   "Retries in a window beyond the share, over all daemons.",
		target: func(s *Settings) any { return &s.Sidecar.RetrySlack },
	},
	{
		Name: "retry-window", Type: SettingDuration, Default: "10s", Min: "1s", Max: "60s",
		Help:   "Window of the retry slack.",
		target: func(s *Settings) any { return &s.Sidecar.RetryWindow },
	},
	{
		Name: "rate-overage", Type: SettingNumber, Default: "0.25", Min: "0", Max: "1",
		Help:   "Share of a customer's rate that may be admitted beyond it while the owner of its bucket is out of reach.",
		target: func(s *Settings) any { return &s.Sidecar.RateOverage },
	},
	{
		Name: "rate-slack", Type: SettingNumber, Default: "0", Min: "0", Max: "100000",
		Help:   "Requests that may be admitted in addition to the overage while the owner of a customer's bucket is out of reach.",
		target: func(s *Settings) any { return &s.Sidecar.RateSlack },
	},
	{
		Name: "oldest-proof", Type: SettingDuration, Default: "0s", Min: "0s", Max: "24h",
		Help:   "Age of the newest proof that the configuration is current from which requests are refused; with 0s they are served at any age.",
		target: func(s *Settings) any { return &s.Sidecar.MaxProofAge },
	},
	{
		Name: "apply-within", Type: SettingDuration, Default: "2s", Min: "1s", Max: "1m",
		Help:   "Time within which a change that the platform publishes must be in force on all hosts. The longer it is, the more rarely the platform is read.",
		target: func(s *Settings) any { return &s.Sidecar.ApplyWithin },
	},
	{
		Name: "first-start", Type: SettingChoice, Default: "false", Choices: []string{"true", "false"},
		Help:   "Whether the whole deployment starts for the first time. The daemon then waits until hosts are listed before it reads the platform.",
		target: func(s *Settings) any { return &s.Sidecar.FirstStart },
	},
	{
		Name: "cut-off-servers", Type: SettingChoice, Default: CutOffLeave, Choices: []string{CutOffLeave, CutOffUse},
		Help:   "What a daemon does with backend servers whose entries expire while its own host is cut off from the platform: leave them, as all other daemons do, or use those whose daemons are cut off, too.",
		target: func(s *Settings) any { return &s.Sidecar.CutOffServers },
	},
	{
		Name: "call-reserve", Type: SettingNumber, Default: "0", Min: "0", Max: "0.9",
		Help:   "Maximum share of the slots of the backend server that is reserved for calls of running requests. How many are reserved, if any, follows from the recent load. 0 reserves none.",
		target: func(s *Settings) any { return &s.Sidecar.CallReserve },
	},
	{
		Name: "early-refusal", Type: SettingDuration, Default: "0s", Min: "0s", Max: "2s",
		Help:   "Age up to which the reports of backend servers may show that all servers of a service would refuse a request as too late. Such a request is refused at once. With 0s each request is offered.",
		target: func(s *Settings) any { return &s.Sidecar.EarlyRefusal },
	},
	{
		Name: "stop-grace", Type: SettingDuration, Default: "6s", Min: "1s", Max: "1h",
		Help:   "Time from the signal to stop until the process must have ended.",
		target: func(s *Settings) any { return &s.Sidecar.StopGrace },
	},
	{
		Name: "memory", Type: SettingBytes, Default: "256MiB", Min: "32MiB", Max: "64GiB",
		Help:   "Memory that the process may use.",
		target: func(s *Settings) any { return &s.Sidecar.Memory },
	},
	{
		Name: "log-level", Type: SettingChoice, Default: LogInfo, Choices: []string{LogError, LogInfo, LogDebug},
		Help:   "How much is logged. The level debug has a line for each answered request.",
		target: func(s *Settings) any { return &s.LogLevel },
	},
	{
		Name: "log-lines", Type: SettingInteger, Default: "200", Min: "1", Max: "100000",
		Help:   "Maximum number of log lines a second; lines beyond it are dropped and counted.",
		target: func(s *Settings) any { return &s.Sidecar.LogLines },
	},
}

// ReadSidecarSettings reads and parses the settings file of a sidecar. It returns
// one *flow.Error for each fault.
func ReadSidecarSettings(path string) (Settings, []error) {
	return readSettings(path, sidecarRows, nil)
}

// ParseSidecarSettings parses the content of a sidecar's settings file. It returns
// one *flow.Error for each fault; the name of the file appears in errors only.
func ParseSidecarSettings(name string, content []byte) (Settings, []error) {
	return parseSettings(name, content, sidecarRows, nil)
}
