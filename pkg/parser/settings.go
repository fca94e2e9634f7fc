// The settings of a daemon, and reading them from a file.

package parser

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Settings holds the settings of one daemon. SettingRows and SidecarRows list
// their names in the settings file and what they mean.
type Settings struct {
	Sidecar SidecarSettings // set for sidecars only

	Host             string
	Region           string
	AvailabilityZone string
	Addresses        AddressSettings
	Platform         []string // base URLs
	Seeds            []string // peer addresses of other daemons, each ip:port
	Secret           string   // shared by all daemons of a fleet
	LogLevel         string   // LogError, LogInfo or LogDebug

	Lease       LeaseSettings
	Reading     ReadingSettings
	Rate        RateSettings
	Transport   TransportSettings
	Idempotency IdempotencySettings
	Retry       RetrySettings
	Stop        StopSettings
	Metrics     MetricsSettings
	Behaviour   BehaviourSettings
}

// AddressSettings holds the addresses of a daemon, each ip:port. It listens at the
// first four.
type AddressSettings struct {
	Caller         string // for requests of callers
	Data           string // for requests forwarded by other daemons
	Peer           string // for control connections of other daemons
	Operator       string // for operators' requests for status and metrics
	AdvertisedData string // dialled by other daemons; Data if empty
	AdvertisedPeer string // dialled by other daemons; Peer if empty
}

// LeaseSettings set how old the newest proof that the configuration is current may
// be, and what a daemon does if it is older.
type LeaseSettings struct {
	Timeout           time.Duration
	WithoutProof      string // WithoutProofServe or WithoutProofRefuse
	HeartbeatInterval time.Duration
	HeartbeatFanout   int // peers contacted in each interval
}

// ReadingSettings limit how the fleet reads the platform.
type ReadingSettings struct {
	ReadersPerZone         int
	PlatformCallsPerSecond int // over the whole fleet
}

// RateSettings control how customers' rates are divided among daemons.
type RateSettings struct {
	TokenLifetime  time.Duration
	Shares         int // maximum number of shares of one customer's rate
	PermitLifetime time.Duration
}

// TransportSettings limit what one daemon keeps for its connections.
type TransportSettings struct {
	ResponseBuffer   ByteSize // maximum size of a response that is buffered; larger ones are streamed
	RequestBodyLimit ByteSize
	HeaderLimit      ByteSize
	HeaderTimeout    time.Duration
	ConnectionsLimit int
	PeerFrameLimit   ByteSize
}

// IdempotencySettings set how long requests with an idempotency key are
// remembered.
type IdempotencySettings struct {
	Window    time.Duration
	ClockSkew time.Duration // maximum difference between wall clocks
}

// RetrySettings limit retries.
type RetrySettings struct {
	MaxAttempts int // per request, the first included
}

// StopSettings limit how long a daemon takes to stop or to leave service.
type StopSettings struct {
	Grace        time.Duration
	ZoneOutGrace time.Duration
}

// MetricsSettings limit the number of metrics.
type MetricsSettings struct {
	Customers int // customers with separate metrics
}

// BehaviourSettings select implementations by name.
type BehaviourSettings struct {
	Limiter   string // LimiterAIMD, LimiterFixed or LimiterGradient
	Picker    string // PickerTwoChoices or PickerRoundRobin
	Ejector   string // EjectorRobust or EjectorNone
	RateSplit string // RateSplitLeased, RateSplitSingleOwner or RateSplitStatic
}

// Values of Settings.LogLevel.
const (
	LogError = "error"
	LogInfo  = "info"
	LogDebug = "debug"
)

// Values of LeaseSettings.WithoutProof.
const (
	WithoutProofServe  = "serve"
	WithoutProofRefuse = "refuse"
)

// Values of the fields of BehaviourSettings.
const (
	LimiterAIMD          = "aimd"
	LimiterFixed         = "fixed"
	LimiterGradient      = "gradient"
	PickerTwoChoices     = "two-choices"
	PickerRoundRobin     = "round-robin"
	EjectorRobust        = "robust"
	EjectorNone          = "none"
	RateSplitLeased      = "leased"
	RateSplitSingleOwner = "single-owner"
	RateSplitStatic      = "static"
)

// DataDialAddress returns the address to which other daemons forward requests.
func (a AddressSettings) DataDialAddress() string {
	if a.AdvertisedData != "" {
		return a.AdvertisedData
	}
	return a.Data
}

// PeerDialAddress returns the address to which other daemons open control
// connections.
func (a AddressSettings) PeerDialAddress() string {
	if a.AdvertisedPeer != "" {
		return a.AdvertisedPeer
	}
	return a.Peer
}

// MaxSettingsBytes is the maximum size of a settings file, in bytes.
const MaxSettingsBytes = 1 << 20

var errSettingsTooLarge = errors.New("the file is larger than " + ByteSize(MaxSettingsBytes).String())

// ReadSettings reads and parses the settings file at path. It returns one
// *flow.Error for each fault.
func ReadSettings(path string) (Settings, []error) {
	return readSettings(path, settingRows, settingChecks)
}

// ParseSettings parses the content of a settings file. It returns one *flow.Error
// for each fault; the name of the file appears in errors only.
func ParseSettings(name string, content []byte) (Settings, []error) {
	return parseSettings(name, content, settingRows, settingChecks)
}

func readSettings(path string, rows []SettingRow, checks []settingCheck) (Settings, []error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, []error{flow.Wrap(StepReadSettings, path, err)}
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, MaxSettingsBytes+1))
	if err != nil {
		return Settings{}, []error{flow.Wrap(StepReadSettings, path, err)}
	}
	return parseSettings(path, content, rows, checks)
}

func parseSettings(name string, content []byte, rows []SettingRow, checks []settingCheck) (Settings, []error) {
	if len(content) > MaxSettingsBytes {
		return Settings{}, []error{flow.Wrap(StepParseSettings, name, errSettingsTooLarge)}
	}
	d, faults := parseDocument(content)
	if len(faults) > 0 {
		return Settings{}, wrapFaults(StepParseSettings, name, faults)
	}
	settings := decodeSettings(d, rows, checks)
	if len(d.faults) > 0 {
		return Settings{}, wrapFaults(StepParseSettings, name, d.faults)
	}
	return settings, nil
}

func decodeSettings(d *document, rows []SettingRow, checks []settingCheck) Settings {
	var settings Settings
	for _, row := range rows {
		row.read(d, row.target(&settings))
	}
	d.rejectUnknownFields()
	for _, check := range checks {
		if !check.holds(&settings) {
			d.addFault(d.lineOf(check.field), check.field, check.problem)
		}
	}
	return settings
}
