package parser_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

var update = flag.Bool("update", false, "write the reference page of the settings")

const minimalSettings = `{
	// all settings without a default
	"host": "h1", "region": "ge-east", "availability-zone": "tbs-a",
	"caller-address": "127.0.0.1:0",
	"data-address": "127.0.0.1:0",
	"peer-address": "127.0.0.1:0",
	"operator-address": "[::1]:0",
	"platform": ["http://127.0.0.1:9000"],
	"secret": "0123456789abcdef",
}`

// withExtraLine returns the minimal settings with one more line, the tenth.
func withExtraLine(line string) string {
	return strings.TrimSuffix(minimalSettings, "}") + line + "\n}"
}

func TestMinimalSettingsHaveDefaults(t *testing.T) {
	is := is.New(t)
	settings, errs := parser.ParseSettings("s.hujson", []byte(minimalSettings))
	is.Equal(errs, nil)
	is.Equal(settings.Lease, parser.LeaseSettings{Timeout: 3 * time.Second, WithoutProof: parser.WithoutProofServe, HeartbeatInterval: 250 * time.Millisecond, HeartbeatFanout: 3})
	is.Equal(settings.Transport.ResponseBuffer, parser.MiB)
	is.Equal(settings.Behaviour.RateSplit, parser.RateSplitLeased)
	is.Equal(settings.Addresses.PeerDialAddress(), "127.0.0.1:0")
}

// TestDefaultsAreValidWhenWritten checks that each default in the table is accepted
// in a settings file and has the same effect there.
func TestDefaultsAreValidWhenWritten(t *testing.T) {
	for _, row := range parser.SettingRows() {
		if row.Required || row.Default == "" {
			continue
		}
		t.Run(row.Name, func(t *testing.T) {
			is := is.New(t)
			value := row.Default
			if row.Type != parser.SettingInteger && row.Type != parser.SettingAddresses {
				value = `"` + value + `"`
			}
			written, errs := parser.ParseSettings("s", []byte(withExtraLine(`"`+row.Name+`": `+value)))
			is.Equal(errs, nil)
			defaults, errs := parser.ParseSettings("s", []byte(minimalSettings))
			is.Equal(errs, nil)
			is.Equal(written, defaults)
		})
	}
}

func TestParseSettingsReportsFaults(t *testing.T) {
	cases := map[string]struct {
		content string
		want    []string
	}{
		"unknown field": {
			content: withExtraLine(`"lease-timout": "2s"`),
			want:    []string{`parse-settings: s:10: lease-timout: is not a known field; known: host, region,`},
		},
		"outside the range": {
			content: withExtraLine(`"lease-timeout": "4s"`),
			want:    []string{`parse-settings: s:10: lease-timeout: is "4s"; allowed: a duration from "500ms" to "3s"`},
		},
		"every fault is listed": {
			content: withExtraLine("\"limiter\": \"magic\",\n\"rate-shares\": 2.5,\n\"header-limit\": \"1kB\",\n\"seeds\": [\"localhost:1\"]"),
			want: []string{
				`s:13: seeds: is "localhost:1"; allowed: an array of an IP address`,
				`s:11: rate-shares: is 2.5; allowed: a whole number from 1 to 16`,
				`s:12: header-limit: is "1kB"; allowed: a number of bytes or a text from "1KiB" to "1MiB"`,
				`s:10: limiter: is "magic"; allowed: aimd, fixed, gradient`,
			},
		},
		"duration without a unit": {
			content: withExtraLine(`"stop-grace": 10`),
			want:    []string{`s:10: stop-grace: is 10; allowed: a duration from "0s" to "10m"`},
		},
		"repeated field": {
			content: withExtraLine(`"host": "h2"`),
			want:    []string{`s:10: host: appears twice`},
		},
		"too few heartbeats in a lease": {
			content: withExtraLine(`"lease-timeout": "500ms", "heartbeat-interval": "126ms"`),
			want:    []string{`s:10: heartbeat-interval: is too long; allowed: at most a quarter of lease-timeout`},
		},
		"short secret is not shown": {
			content: strings.Replace(minimalSettings, "0123456789abcdef", "hidden", 1),
			want:    []string{`s:9: secret: is too short or not a text; allowed: a text of at least 16 bytes`},
		},
		"no platform": {
			content: strings.Replace(minimalSettings, `"http://127.0.0.1:9000"`, "", 1),
			want:    []string{`s:8: platform: names no URL`},
		},
		"platform by name": {
			content: strings.Replace(minimalSettings, `127.0.0.1:9000`, "localhost:9000", 1),
			want:    []string{`s:8: platform: is "http://localhost:9000"; allowed: an array of URLs`},
		},
		"missing field": {
			content: strings.Replace(minimalSettings, `"host": "h1",`, "", 1),
			want:    []string{`s:1: host: is missing; allowed: 1 to 64 lower-case letters`},
		},
		"syntax error": {
			content: "{\n\"host\" \"h1\"}",
			want:    []string{`parse-settings: s:2: is not JSON with comments: column 8: invalid character '"' after object name`},
		},
		"too many fields": {
			content: withExtraLine(strings.Repeat(`"x": 1, `, 100)),
			want:    []string{`s:1: has more than 100 fields`},
		},
		"not an object": {
			content: "\n[]",
			want:    []string{`s:2: must be a JSON object`},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, errs := parser.ParseSettings("s", []byte(tc.content))
			is.Equal(len(errs), len(tc.want))
			for i, err := range errs {
				t.Log(err)
				is.True(strings.Contains(err.Error(), tc.want[i]))
				is.True(!strings.Contains(err.Error(), "\n"))
				is.True(!strings.Contains(err.Error(), "hidden"))
			}
		})
	}
}

func TestSettingsReferencePageIsUpToDate(t *testing.T) {
	is := is.New(t)
	page := filepath.Join("..", "..", "docs", "OPERATORS", "settings.md")
	if *update {
		is.NoErr(os.WriteFile(page, []byte(parser.SettingsReference()), 0o644))
	}
	written, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(written), parser.SettingsReference()) // run: go test ./pkg/parser -run ReferencePage -update
}

func TestSidecarReferencePageIsUpToDate(t *testing.T) {
	is := is.New(t)
	page := filepath.Join("..", "..", "docs", "OPERATORS", "sidecar.md")
	if *update {
		is.NoErr(os.WriteFile(page, []byte(parser.SidecarReference()), 0o644))
	}
	written, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(written), parser.SidecarReference()) // run: go test ./pkg/parser -run ReferencePage -update
}

// TestParseSidecarSettings parses settings as the deployment template produces them,
// and faulty variants.
func TestParseSidecarSettings(t *testing.T) {
	const valid = `{
  // All settings without a default.
  "host": "host-1", "availability-zone": "a", "service": "stock",
  "backend-server": "10.0.0.1:80", "caller-address": "10.0.0.1:81", "data-address": "10.0.0.1:82",
  "peer-address": "10.0.0.1:83", "operator-address": "10.0.0.1:84", "readiness-address": "10.0.0.1:85",
  "store": "10.0.0.9:80", "secret": "a secret of 16 bytes",
  "retry-share": 0.2, "stop-grace": "6s", "zones": { "a": "nairobi","b": "mombasa" },
}`
	cases := map[string]struct {
		change func(string) string
		want   string // part of the error; empty for none
	}{
		"valid":                  {func(s string) string { return s }, ""},
		"a misspelt field":       {func(s string) string { return strings.Replace(s, "retry-share", "retry-shares", 1) }, "retry-shares"},
		"a host name":            {func(s string) string { return strings.Replace(s, "10.0.0.9:80", "store:80", 1) }, "store"},
		"a time without unit":    {func(s string) string { return strings.Replace(s, "\"6s\"", "6", 1) }, "stop-grace"},
		"a share above one":      {func(s string) string { return strings.Replace(s, "0.2", "1.2", 1) }, "retry-share"},
		"no backend server":      {func(s string) string { return strings.Replace(s, "\"backend-server\": \"10.0.0.1:80\",", "", 1) }, "backend-server"},
		"a zone in two regions":  {func(s string) string { return strings.Replace(s, `"b": "mombasa"`, `"a": "mombasa"`, 1) }, "zones"},
		"a zone without region":  {func(s string) string { return strings.Replace(s, `"mombasa"`, `""`, 1) }, "zones"},
		"zones as a text":        {func(s string) string { return strings.Replace(s, `{ "a": "nairobi","b": "mombasa" }`, `"a"`, 1) }, "zones"},
		"no region at all":       {func(s string) string { return strings.Replace(s, `"a": "nairobi","b": "mombasa"`, "", 1) }, ""},
		"a secret that is short": {func(s string) string { return strings.Replace(s, "a secret of 16 bytes", "short", 1) }, "secret"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings, faults := parser.ParseSidecarSettings("file", []byte(tc.change(valid)))
			is.Equal(len(faults) > 0, tc.want != "")
			if tc.want != "" {
				is.True(strings.Contains(faults[0].Error(), tc.want))
				return
			}
			is.Equal(settings.Sidecar.Service, "stock")
			is.Equal(settings.Sidecar.RetryShare, 0.2)
			if name == "valid" {
				is.Equal(settings.Sidecar.Zones, map[string]string{"a": "nairobi", "b": "mombasa"})
			}
			is.Equal(settings.Sidecar.MaxProofAge, time.Duration(0)) // requests are served at any proof age
		})
	}
}

// TestSidecarSettingsTakeFractions checks the settings that the deployment template fills
// with figures of the platform, which may be fractions. A daemon that rejects one does
// not start.
func TestSidecarSettingsTakeFractions(t *testing.T) {
	is := is.New(t)
	settings, faults := parser.ParseSidecarSettings("file", []byte(`{
  "host": "host-1", "availability-zone": "a", "service": "stock",
  "backend-server": "10.0.0.1:80", "caller-address": "10.0.0.1:81", "data-address": "10.0.0.1:82",
  "peer-address": "10.0.0.1:83", "operator-address": "10.0.0.1:84", "readiness-address": "10.0.0.1:85",
  "store": "10.0.0.9:80", "secret": "a secret of 16 bytes", "retry-share": 0.25, "retry-slack": 25.2, "retry-window": "10.5s",
  "rate-overage": 0.25, "rate-slack": 20.5, "oldest-proof": "5.5s", "stop-grace": "6.25s", "memory": "184.5MiB",
}`))
	is.Equal(len(faults), 0)
	is.Equal(settings.Sidecar.RetrySlack, 25.2)
	is.Equal(settings.Sidecar.RateSlack, 20.5)
	is.Equal(settings.Sidecar.StopGrace, 6250*time.Millisecond)
	is.Equal(settings.Sidecar.Memory, 369*parser.MiB/2)
}

func TestReadSettingsErrorNamesFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "none")
	_, errs := parser.ReadSettings(path)
	is.Equal(len(errs), 1)
	is.True(strings.HasPrefix(errs[0].Error(), "read-settings: "+path))
}
