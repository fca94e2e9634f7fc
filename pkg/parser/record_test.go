package parser_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

const exampleHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// raw returns a record named n with the given fields besides the common ones.
func raw(kind flow.Kind, schema, fields string) flow.RawRecord {
	body := `{"kind":"` + string(kind) + `","name":"n","schema":` + schema + "," + fields + "}"
	return flow.RawRecord{Kind: kind, Name: "n", Revision: 1, Body: []byte(body)}
}

func TestParseRecordAcceptsEveryKindAndSchema(t *testing.T) {
	cases := map[string]struct {
		raw  flow.RawRecord
		want flow.Record
	}{
		"customer": {
			raw(flow.KindCustomer, "1", `"description":"shop in Rustavi"`),
			&flow.Customer{Name: "n", Description: "shop in Rustavi"},
		},
		"key": {
			raw(flow.KindKey, "1", `"customer":"c","hash":"`+exampleHash+`","withdrawn":true`),
			&flow.Key{Name: "n", Customer: "c", Hash: exampleHash, Withdrawn: true},
		},
		"rate 1": {
			raw(flow.KindRate, "1", `"customer":"c","per-second":2.5,"burst":10`),
			&flow.Rate{Name: "n", Customer: "c", PerSecond: 2.5, Burst: 10},
		},
		"rate 2": {
			raw(flow.KindRate, "2", `"customer":"c","requests":90,"per":"1m","burst":10,"region-shares":{"r1":0.75,"r2":0.25}`),
			&flow.Rate{Name: "n", Customer: "c", PerSecond: 1.5, Burst: 10, RegionShares: map[string]float64{"r1": 0.75, "r2": 0.25}},
		},
		"route 1": {
			raw(flow.KindRoute, "1", `"service":"s","path-prefix":"/stock","methods":["GET","POST"],"open":true,"idempotent":true,"timeout":"2s"`),
			&flow.Route{
				Name: "n", Service: "s", PathPrefix: "/stock", Methods: []string{"GET", "POST"}, Open: true,
				IdempotentMethods: []string{"GET", "POST"}, Timeout: 2 * time.Second,
			},
		},
		"route 1 makes no method idempotent by itself": {
			raw(flow.KindRoute, "1", `"service":"s","path-prefix":"/"`),
			&flow.Route{Name: "n", Service: "s", PathPrefix: "/", Timeout: 10 * time.Second},
		},
		"route 2": {
			raw(flow.KindRoute, "2", `"service":"s","path-prefix":"/v1/swaps","methods":["GET","POST"],"access":"open","idempotent-methods":["GET"]`),
			&flow.Route{
				Name: "n", Service: "s", PathPrefix: "/v1/swaps", Methods: []string{"GET", "POST"}, Open: true,
				IdempotentMethods: []string{"GET"}, Timeout: 10 * time.Second,
			},
		},
		"service": {
			raw(flow.KindService, "1", `"shed-status":503,"shed-header":"X-Shed","request-id-header":"X-Id"`),
			&flow.Service{Name: "n", Floor: 0.7, RetryBudget: 0.1, ShedStatus: 503, ShedHeader: "X-Shed", RequestIDHeader: "X-Id"},
		},
		"availability zone": {
			raw(flow.KindAvailabilityZone, "1", `"region":"r","state":"out"`),
			&flow.AvailabilityZone{Name: "n", Region: "r", State: flow.ZoneOut},
		},
		"host": {
			raw(flow.KindHost, "1", `"availability-zone":"z","peer-address":"10.0.0.1:1","data-address":"[fd00::1]:2"`),
			&flow.Host{Name: "n", AvailabilityZone: "z", PeerAddress: "10.0.0.1:1", DataAddress: "[fd00::1]:2", State: flow.MemberLive},
		},
		"backend server": {
			raw(flow.KindBackendServer, "1", `"service":"s","host":"h","address":"10.0.0.1:9","slots":7,"connections":390,"cold-start":"30s","state":"leaving"`),
			&flow.BackendServer{
				Name: "n", Service: "s", Host: "h", Address: "10.0.0.1:9", Slots: 7, Connections: 390,
				ConnectionCost: time.Millisecond, ColdStart: 30 * time.Second, State: flow.MemberLeaving,
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record, err := parser.ParseRecord(tc.raw)
			is.NoErr(err)
			is.Equal(record, tc.want)
		})
	}
}

func TestParseRecordRejectsInvalidRecords(t *testing.T) {
	route := func(fields string) flow.RawRecord { return raw(flow.KindRoute, "2", `"service":"s",`+fields) }
	server := func(fields string) flow.RawRecord {
		return raw(flow.KindBackendServer, "1", `"service":"s","host":"h",`+fields)
	}
	cases := map[string]struct {
		raw  flow.RawRecord
		want string
	}{
		"key itself in place of its hash": {raw(flow.KindKey, "1", `"customer":"c","hash":"secret"`), "hash: is"},
		"hash in upper case":              {raw(flow.KindKey, "1", `"customer":"c","hash":"`+strings.ToUpper(exampleHash)+`"`), "64 lower-case hex digits"},
		"rate of zero":                    {raw(flow.KindRate, "1", `"customer":"c","per-second":0,"burst":1`), "per-second: is 0"},
		"burst of zero":                   {raw(flow.KindRate, "1", `"customer":"c","per-second":1,"burst":0`), "burst: is 0; allowed: a whole number from 1"},
		"infinite rate":                   {raw(flow.KindRate, "1", `"customer":"c","per-second":1e999,"burst":1`), "per-second: is 1e999"},
		"field of the other schema":       {raw(flow.KindRate, "2", `"customer":"c","requests":1,"burst":1,"per-second":1`), "per-second: is not a known field; known: kind, name, schema, customer, requests, per, burst, region-shares"},
		"shares above the whole":          {raw(flow.KindRate, "2", `"customer":"c","requests":1,"burst":1,"region-shares":{"a":0.6,"b":0.6}`), "sums to more than 1"},
		"field in another case":           {raw(flow.KindCustomer, "1", `"Description":"x"`), "Description: is not a known field"},
		"prefix with a dot segment":       {route(`"path-prefix":"/a/../b"`), "path-prefix: is"},
		"prefix with an escape":           {route(`"path-prefix":"/a%2fb"`), "path-prefix: is"},
		"prefix with a slash at the end":  {route(`"path-prefix":"/a/"`), "no slash at the end"},
		"idempotent but not allowed":      {route(`"path-prefix":"/a","methods":["GET"],"idempotent-methods":["PUT"]`), `holds PUT; allowed: methods that the field "methods" lists`},
		"method in lower case":            {route(`"path-prefix":"/a","methods":["get"]`), `methods: is "get"`},
		"floor above one":                 {raw(flow.KindService, "1", `"floor":1.1`), "floor: is 1.1; allowed: a number from 0 to 1"},
		"address by name":                 {server(`"address":"localhost:1","slots":1,"connections":1`), `address: is "localhost:1"`},
		"address with port 0":             {server(`"address":"10.0.0.1:0","slots":1,"connections":1`), `port from 1 to 65535`},
		"mapped address":                  {server(`"address":"[::ffff:10.0.0.1]:1","slots":1,"connections":1`), `address: is`},
		"no slots":                        {server(`"address":"10.0.0.1:1","connections":1`), "slots: is missing; allowed: a whole number from 1"},
		"fewer connections than slots":    {server(`"address":"10.0.0.1:1","slots":2,"connections":1`), "connections: are fewer than slots"},
		"several faults in one line":      {server(`"address":"10.0.0.1:1"`), "slots: is missing; allowed: a whole number from 1 to 10000; connections: is missing"},
		"null":                            {raw(flow.KindCustomer, "1", `"description":null`), "description: is null"},
		"deleted":                         {flow.RawRecord{Kind: flow.KindKey, Name: "n", Deleted: true}, "parse-record: key n: a deleted record has no body"},
		"too large":                       {raw(flow.KindCustomer, "1", strings.Repeat(" ", parser.MaxRecordBytes)), "larger than 64KiB"},
		"deeply nested":                   {raw(flow.KindCustomer, "1", `"description":`+strings.Repeat("[", parser.MaxRecordBytes/2)), "is not JSON with comments"},
		"body of another name":            {flow.RawRecord{Kind: flow.KindCustomer, Name: "m", Body: raw(flow.KindCustomer, "1", `"description":""`).Body}, "parse-record: customer m: the body is that of customer n"},
		"body of another kind":            {flow.RawRecord{Kind: flow.KindKey, Name: "n", Body: raw(flow.KindCustomer, "1", `"description":""`).Body}, "the body is that of customer n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record, err := parser.ParseRecord(tc.raw)
			is.Equal(record, nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), tc.want))
			is.True(!strings.Contains(err.Error(), "\n"))
		})
	}
}

func TestUnknownKindsAndSchemasHaveErrorTypes(t *testing.T) {
	is := is.New(t)
	_, err := parser.ParseRecord(raw(flow.KindRate, "7", `"tomorrow":1`))
	var schema *parser.UnknownSchemaError
	is.True(errors.As(err, &schema))
	is.Equal(schema.Error(), "schema 7 of kind rate is not known; known: 1, 2")

	_, err = parser.ParseRecord(raw("quota", "1", `"tomorrow":1`))
	var kind *parser.UnknownKindError
	is.True(errors.As(err, &kind))
	is.Equal(kind.Kind, flow.Kind("quota"))
}

func TestReadRecordsReportsFileAndLine(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, content string) {
		path := filepath.Join(dir, name)
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	}
	write("a/one.json", `{"kind": "customer", "name": "c1", "schema": 1}`)
	write("b.hujson", "[\n// two\n{\"kind\":\"customer\",\"name\":\"c2\",\"schema\":1,},\n{\"kind\":\"customer\",\n\"name\":\"c3\",\"schema\":1,\n\"colour\":1}, 7,\n{\"kind\":\"rate\",\"name\":\"r\",\"schema\":9}]")
	write("c.json", "\n{\"kind\":\"customer\",\"name\":\"c1\",\"schema\":1}")
	write("d.json", "{\n\"kind\" 1}")
	write("notes.txt", "not read")

	records, errs := parser.ReadRecords(dir)
	is.Equal(len(records), 2)
	is.Equal(string(records[1].Body), `{"kind":"customer","name":"c2","schema":1}`)
	want := []string{
		"b.hujson:6: colour: is not a known field",
		"b.hujson:6: must be a JSON object",
		"b.hujson:7: schema 9 of kind rate is not known; known: 1, 2",
		"c.json:2: customer c1 is already defined at " + dir + "/a/one.json:1",
		"d.json:2: is not JSON with comments",
	}
	is.Equal(len(errs), len(want))
	for i, err := range errs {
		t.Log(err)
		is.True(strings.HasPrefix(err.Error(), "read-records: "+dir))
		is.True(strings.Contains(err.Error(), want[i]))
	}
}

func TestCheckRecords(t *testing.T) {
	const (
		zone     = `{"kind":"availability-zone","name":"z","schema":1,"region":"r"}`
		host     = `{"kind":"host","name":"h","schema":1,"availability-zone":"z","peer-address":"10.0.0.1:1","data-address":"10.0.0.1:2"}`
		service  = `{"kind":"service","name":"s","schema":1}`
		server   = `{"kind":"backend-server","name":"b","schema":1,"service":"s","host":"h","address":"10.0.0.1:3","slots":1,"connections":1}`
		customer = `{"kind":"customer","name":"c","schema":1}`
		key      = `{"kind":"key","name":"k","schema":1,"customer":"c","hash":"` + exampleHash + `"}`
		rate     = `{"kind":"rate","name":"r","schema":1,"customer":"c","per-second":1,"burst":1}`
		route    = `{"kind":"route","name":"w","schema":2,"service":"s","path-prefix":"/a","methods":["GET"]}`
	)
	cases := map[string]struct {
		bodies []string
		want   []string
	}{
		"complete configuration": {[]string{route, rate, key, customer, server, service, host, zone}, nil},
		"missing references": {
			[]string{route, rate, key, server, host},
			[]string{
				"route w: service: there is no service s",
				"rate r: customer: there is no customer c",
				"key k: customer: there is no customer c",
				"backend-server b: service: there is no service s",
				"host h: availability-zone: there is no availability-zone z",
			},
		},
		"server without host": {
			[]string{service, server}, []string{"backend-server b: host: there is no host h"},
		},
		"second rate of a customer": {
			[]string{customer, rate, strings.Replace(rate, `"r"`, `"r2"`, 1)},
			[]string{"rate r2: customer: c is already used by rate r"},
		},
		"two keys with one hash": {
			[]string{customer, key, strings.Replace(key, `"k"`, `"k2"`, 1)},
			[]string{"key k2: hash: " + exampleHash + " is already used by key k"},
		},
		"address used twice": {
			[]string{zone, service, host, strings.Replace(server, ":3", ":2", 1)},
			[]string{"backend-server b: address: 10.0.0.1:2 is already used by host h"},
		},
		"routes with a common method": {
			[]string{service, route, strings.Replace(strings.Replace(route, `"w"`, `"w2"`, 1), `,"methods":["GET"]`, "", 1)},
			[]string{"route w2: path-prefix: has the prefix /a and a method in common with route w"},
		},
		"routes without a common method": {
			[]string{service, route, strings.Replace(strings.Replace(route, `"w"`, `"w2"`, 1), "GET", "PUT", 1)}, nil,
		},
		"share of an unknown region": {
			[]string{customer, zone, `{"kind":"rate","name":"r","schema":2,"customer":"c","requests":1,"burst":1,"region-shares":{"q":0.5}}`},
			[]string{"rate r: region-shares: no availability zone is in region q"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var records []flow.RawRecord
			for _, body := range tc.bodies {
				records = append(records, rawOf(is, body))
			}
			errs := parser.CheckRecords(records)
			is.Equal(len(errs), len(tc.want))
			for i, err := range errs {
				is.Equal(err.Error(), "check-records: "+tc.want[i])
			}
		})
	}
}

// rawOf returns the raw record for a body that starts with its kind and name.
func rawOf(is *is.I, body string) flow.RawRecord {
	is.Helper()
	parts := strings.SplitN(body, `"`, 9)
	is.Equal(parts[1]+parts[5], "kindname")
	return flow.RawRecord{Kind: flow.Kind(parts[3]), Name: parts[7], Revision: 1, Body: []byte(body)}
}
