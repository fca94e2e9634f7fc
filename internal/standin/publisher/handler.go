// The HTTP handlers: responses to readers, and administration requests that change
// records and mode.

package publisher

import (
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func (p *Publisher) readerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRecords, p.serveRecords)
	mux.HandleFunc("GET "+PathWatch, p.serveWatch)
	mux.HandleFunc("GET "+PathCalls, p.serveCalls)
	return mux
}

func (p *Publisher) serveCalls(w http.ResponseWriter, _ *http.Request) {
	acceptor.WriteJSON(w, p.Calls())
}

func (p *Publisher) serveRecords(w http.ResponseWriter, r *http.Request) {
	p.countCall(func(calls *Calls) { calls.Records++ })
	query, err := readQuery(r)
	if err != nil {
		acceptor.WriteError(w, err)
		return
	}
	page, _ := p.currentPage(query)
	p.respond(w, r, page)
}

func (p *Publisher) serveWatch(w http.ResponseWriter, r *http.Request) {
	p.countCall(func(calls *Calls) { calls.Watches++ })
	query, err := readQuery(r)
	if err != nil {
		acceptor.WriteError(w, err)
		return
	}
	timeout := time.After(query.timeout)
	for {
		page, changed := p.currentPage(query)
		if len(page.Records) > 0 {
			p.respond(w, r, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			p.respond(w, r, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// countCall counts a call. In ModeDown it counts it as refused and closes the
// connection.
func (p *Publisher) countCall(count func(*Calls)) {
	p.mutex.Lock()
	down := p.mode == ModeDown
	if down {
		p.calls.Refused++
	} else {
		count(&p.calls)
	}
	p.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// currentPage returns the page for a query in the current mode, and a channel that
// is closed at the next change. In ModeDown it closes the connection.
func (p *Publisher) currentPage(query query) (Page, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	visible := p.store
	switch p.mode {
	case ModeDown:
		panic(http.ErrAbortHandler)
	case ModeStale:
		visible = p.snapshot
	}
	return visible.page(query.after, query.limitBytes), p.changed
}

// respond writes a page, in ModeSlow after a delay.
func (p *Publisher) respond(w http.ResponseWriter, r *http.Request, page Page) {
	p.mutex.Lock()
	slow := p.mode == ModeSlow
	p.mutex.Unlock()
	if slow {
		select {
		case <-time.After(p.slowDelay):
		case <-r.Context().Done():
			return
		}
	}
	acceptor.WriteJSON(w, page)
}

type query struct {
	after      flow.Revision
	limitBytes int
	timeout    time.Duration
}

// readQuery parses the parameters of a call, all of which are optional.
func readQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	q := query{limitBytes: MaxPageBytes, timeout: DefaultWatchTimeout}
	var errs [3]error
	if text := values.Get(ParameterAfter); text != "" {
		var after uint64
		after, errs[0] = strconv.ParseUint(text, 10, 64)
		q.after = flow.Revision(after)
	}
	if text := values.Get(ParameterLimitBytes); text != "" {
		q.limitBytes, errs[1] = strconv.Atoi(text)
	}
	if text := values.Get(ParameterTimeout); text != "" {
		q.timeout, errs[2] = time.ParseDuration(text)
	}
	q.limitBytes = min(q.limitBytes, MaxPageBytes)
	q.timeout = min(q.timeout, MaxWatchTimeout)
	return q, flow.Wrap("read-query", r.RemoteAddr, errors.Join(errs[:]...))
}

// The paths of administration.
const (
	// PathAdminRecords accepts PUT with a JSON list of record documents, each
	// with its kind and name. Below it, PUT KIND/NAME publishes the body as it
	// is, well-formed or not, and DELETE KIND/NAME publishes a tombstone.
	PathAdminRecords = "/admin/records"
	// PathAdminMode accepts POST with the parameter "mode".
	PathAdminMode = "/admin/mode"
	// PathAdminCalls responds to GET with the Calls so far, in every mode.
	PathAdminCalls = "/admin/calls"
)

// maxDocumentBytes bounds the body of one administration request.
const maxDocumentBytes = 64 << 20

func (p *Publisher) adminHandler() http.Handler {
	const oneRecord = PathAdminRecords + "/{kind}/{name}"
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathAdminRecords, p.servePutRecords)
	mux.HandleFunc("PUT "+oneRecord, p.servePutRecord)
	mux.HandleFunc("DELETE "+oneRecord, p.serveDeleteRecord)
	mux.HandleFunc("POST "+PathAdminMode, p.serveMode)
	mux.HandleFunc("GET "+PathAdminCalls, p.serveCalls)
	return mux
}

func (p *Publisher) servePutRecords(w http.ResponseWriter, r *http.Request) {
	var documents []json.RawMessage
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes)).Decode(&documents)
	if err != nil {
		acceptor.WriteError(w, flow.Wrap("read-records", r.RemoteAddr, err))
		return
	}
	records := make([]flow.RawRecord, 0, len(documents))
	for _, document := range documents {
		record, err := recordOf(document)
		if err != nil {
			acceptor.WriteError(w, flow.Wrap("read-records", r.RemoteAddr, err))
			return
		}
		records = append(records, record)
	}
	acceptor.WriteJSON(w, Page{Revision: p.Publish(records...)})
}

// recordOf returns the record of a document that contains its kind and name.
func recordOf(document json.RawMessage) (flow.RawRecord, error) {
	var head struct {
		Kind flow.Kind `json:"kind"`
		Name string    `json:"name"`
	}
	if err := json.Unmarshal(document, &head); err != nil {
		return flow.RawRecord{}, err
	}
	if head.Kind == "" || head.Name == "" {
		return flow.RawRecord{}, errors.New("a document must have a kind and a name")
	}
	return flow.RawRecord{Kind: head.Kind, Name: head.Name, Body: document}, nil
}

func (p *Publisher) servePutRecord(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		acceptor.WriteError(w, flow.Wrap("read-records", r.RemoteAddr, err))
		return
	}
	record := flow.RawRecord{Kind: flow.Kind(r.PathValue("kind")), Name: r.PathValue("name"), Body: body}
	acceptor.WriteJSON(w, Page{Revision: p.Publish(record)})
}

func (p *Publisher) serveDeleteRecord(w http.ResponseWriter, r *http.Request) {
	id := flow.RecordID{Kind: flow.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	acceptor.WriteJSON(w, Page{Revision: p.Delete(id)})
}

func (p *Publisher) serveMode(w http.ResponseWriter, r *http.Request) {
	var mode string
	err := acceptor.ReadFlags(w, r, func(flags *flag.FlagSet) { flags.StringVar(&mode, "mode", "", "") })
	if err == nil {
		err = p.SetMode(Mode(mode))
	}
	acceptor.WriteError(w, err)
}
