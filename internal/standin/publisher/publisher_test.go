package publisher_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/publisher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// shortTimeout is the timeout of a watch that finds nothing, and the delay of
// ModeSlow.
const shortTimeout = 20 * time.Millisecond

func start(t *testing.T) *publisher.Publisher {
	p, err := publisher.New(t.Context(), publisher.Options{SlowDelay: shortTimeout})
	is.New(t).NoErr(err)
	return p
}

func customer(name, body string) flow.RawRecord {
	return flow.RawRecord{Kind: flow.KindCustomer, Name: name, Body: []byte(body)}
}

func get(p *publisher.Publisher, path string) (publisher.Page, error) {
	var page publisher.Page
	response, err := http.Get("http://" + p.Addr() + path)
	if err != nil {
		return page, err
	}
	defer response.Body.Close()
	return page, json.NewDecoder(response.Body).Decode(&page)
}

// formatPage formats a page as "revision: name=body ... +", where + stands for More.
func formatPage(page publisher.Page) string {
	words := []string{}
	for _, record := range page.Records {
		words = append(words, record.Name+"="+string(record.Body))
	}
	if page.More {
		words = append(words, "+")
	}
	return string(rune('0'+page.Revision)) + ": " + strings.Join(words, " ")
}

func TestPagesHoldRecordsByAscendingRevision(t *testing.T) {
	cases := map[string]struct {
		after flow.Revision
		limit int
		want  string
	}{
		"all records and tombstones":  {after: 0, want: "5: b=2 a=3 c="},
		"after a revision":            {after: 4, want: "5: c="},
		"nothing new":                 {after: 5, want: "5: "},
		"one at a time":               {after: 0, limit: 1, want: "2: b=2 +"},
		"one at a time, last page":    {after: 4, limit: 1, want: "5: c="},
		"reader ahead of the service": {after: 9, want: "5: "},
	}
	p := start(t)
	p.Publish(customer("a", "1"), customer("b", "2"))
	p.Publish(customer("a", "3"), customer("c", "4"))
	p.Delete(customer("c", "").ID())
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			page, err := get(p, publisher.RecordsPath(tc.after, tc.limit))
			is.NoErr(err)
			is.Equal(formatPage(page), tc.want)
		})
	}
}

func TestWatchInEachMode(t *testing.T) {
	cases := map[string]struct {
		mode  publisher.Mode
		watch string // page of a watch after revision 1, once revision 2 is published
		fails bool
		calls publisher.Calls
	}{
		"normal": {mode: publisher.ModeNormal, watch: "2: b=2", calls: publisher.Calls{Watches: 1}},
		"slow":   {mode: publisher.ModeSlow, watch: "2: b=2", calls: publisher.Calls{Watches: 1}},
		"stale":  {mode: publisher.ModeStale, watch: "1: ", calls: publisher.Calls{Watches: 1}},
		"down":   {mode: publisher.ModeDown, fails: true, calls: publisher.Calls{Refused: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := start(t)
			p.Publish(customer("a", "1"))
			is.NoErr(p.SetMode(tc.mode))
			p.Publish(customer("b", "2"))
			page, err := get(p, publisher.WatchPath(1, shortTimeout))
			is.Equal(err != nil, tc.fails)
			if !tc.fails {
				is.Equal(formatPage(page), tc.watch)
			}
			is.Equal(p.Calls(), tc.calls)
		})
	}
}

func TestPendingWatchEnds(t *testing.T) {
	cases := map[string]struct {
		change func(p *publisher.Publisher) error
		fails  bool
	}{
		"with a new record": {change: func(p *publisher.Publisher) error {
			p.Publish(customer("a", "1"))
			return nil
		}},
		"with an error when the service goes down": {
			change: func(p *publisher.Publisher) error { return p.SetMode(publisher.ModeDown) },
			fails:  true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := start(t)
			done := make(chan error)
			go func() {
				page, err := get(p, publisher.WatchPath(0, time.Minute))
				if err == nil && formatPage(page) != "1: a=1" {
					err = errors.New(formatPage(page))
				}
				done <- err
			}()
			for p.Calls().Watches == 0 {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(tc.change(p))
			is.Equal(<-done != nil, tc.fails)
		})
	}
}

func TestReplacePublishesDifferences(t *testing.T) {
	stored := []flow.RawRecord{customer("a", "1"), customer("b", "2")}
	cases := map[string]struct {
		records  []flow.RawRecord
		complete bool
		want     string
	}{
		"nothing changed":                    {records: stored, complete: true, want: "2: a=1 b=2"},
		"one changed":                        {records: []flow.RawRecord{customer("a", "3"), stored[1]}, complete: true, want: "3: b=2 a=3"},
		"one missing":                        {records: stored[1:], complete: true, want: "3: b=2 a="},
		"one missing from an incomplete set": {records: stored[1:], want: "2: a=1 b=2"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := start(t)
			p.Replace(stored, true)
			p.Replace(tc.records, tc.complete)
			page, err := get(p, publisher.RecordsPath(0, 0))
			is.NoErr(err)
			is.Equal(formatPage(page), tc.want)
		})
	}
}

func TestAdministrationRequests(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		want               string // page of a reader afterwards; "down" if it gets none
	}{
		"list of documents":       {method: "PUT", path: "/admin/records", body: `[{"kind":"customer","name":"b"}]`, want: `2: a=1 b={"kind":"customer","name":"b"}`},
		"malformed record":        {method: "PUT", path: "/admin/records/customer/b", body: "{", want: "2: a=1 b={"},
		"tombstone":               {method: "DELETE", path: "/admin/records/customer/a", want: "2: a="},
		"document without a kind": {method: "PUT", path: "/admin/records", body: `[{"name":"b"}]`, want: "1: a=1"},
		"mode":                    {method: "POST", path: "/admin/mode?mode=down", want: "down"},
		"unknown mode":            {method: "POST", path: "/admin/mode?mode=up", want: "1: a=1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := start(t)
			p.Publish(customer("a", "1"))
			request, err := http.NewRequest(tc.method, "http://"+p.AdminAddr()+tc.path, strings.NewReader(tc.body))
			is.NoErr(err)
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			response.Body.Close()
			page, err := get(p, publisher.RecordsPath(0, 0))
			if tc.want == "down" {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(formatPage(page), tc.want)
		})
	}
}
