package parser_test

import (
	"reflect"
	"testing"

	"github.com/tailscale/hujson"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// FuzzParseRecord checks that the parser does not panic on any body, and that an
// accepted body gives the same record without its comments and whitespace.
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
		raw.Body = minimizeJSON(t, body)
		again, err := parser.ParseRecord(raw)
		if err != nil || !reflect.DeepEqual(record, again) {
			t.Fatalf("%#v became %#v, %v", record, again, err)
		}
	})
}

// FuzzParseSettings checks the same of settings.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, errs := parser.ParseSettings("fuzz", content)
		if len(errs) > 0 {
			return
		}
		again, errs := parser.ParseSettings("fuzz", minimizeJSON(t, content))
		if len(errs) > 0 || !reflect.DeepEqual(settings, again) {
			t.Fatalf("%#v became %#v, %v", settings, again, errs)
		}
	})
}

func minimizeJSON(t *testing.T, content []byte) []byte {
	minimal, err := hujson.Minimize(content)
	if err != nil {
		t.Fatal(err)
	}
	return minimal
}
