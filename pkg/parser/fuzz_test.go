package parser_test

import (
	"reflect"
	"testing"

	"github.com/tailscale/hujson"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// FuzzParseRecord proves that no body makes the parser panic, and that a body
// that is accepted means the same when its comments and spaces are gone.
func FuzzParseRecord(f *testing.F) {
	f.Add("customer", "n", []byte(`{"kind":"customer","name":"n","schema":1,"description":"\ud800\u0000"}`))
	f.Fuzz(func(t *testing.T, kind, name string, body []byte) {
		raw := flow.RawRecord{Kind: flow.Kind(kind), Name: name, Body: body}
		record, err := parser.ParseRecord(raw)
		if err != nil {
			return
		}
		if record.ID() != raw.ID() {
			t.Fatalf("parsed as %v", record.ID())
		}
		raw.Body = minimize(t, body)
		again, err := parser.ParseRecord(raw)
		if err != nil || !reflect.DeepEqual(record, again) {
			t.Fatalf("%#v became %#v, %v", record, again, err)
		}
	})
}

// FuzzParseSettings proves the same of settings.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(smallestSettings))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, errs := parser.ParseSettings("fuzz", content)
		if len(errs) > 0 {
			return
		}
		again, errs := parser.ParseSettings("fuzz", minimize(t, content))
		if len(errs) > 0 || !reflect.DeepEqual(settings, again) {
			t.Fatalf("%#v became %#v, %v", settings, again, errs)
		}
	})
}

func minimize(t *testing.T, content []byte) []byte {
	minimal, err := hujson.Minimize(content)
	if err != nil {
		t.Fatal(err)
	}
	return minimal
}
