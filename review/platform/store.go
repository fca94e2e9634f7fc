//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait is the longest wait of a watch that the store allows.
const maxWatchWait = 30 * time.Second

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // base64 on the wire
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. Each host calls it by an address of its own,
// so that the store can tell the hosts apart.
type store struct {
	record  *record
	servers []*http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	cut      map[string]bool // hosts that are cut off from the store
	resets   map[string]bool // hosts whose calls are reset
	watchers map[string]int  // watches so far, by host
}

func newStore(record *record) *store {
	return &store{
		record: record, revision: 400, items: map[string]item{}, changed: make(chan struct{}),
		cut: map[string]bool{}, resets: map[string]bool{}, watchers: map[string]int{},
	}
}

// serve serves the store to one host.
func (s *store) serve(listener net.Listener, host string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) { s.serveRange(w, r, host) })
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.serveWatch(w, r, host) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes a document and returns when it is acknowledged.
func (s *store) put(key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err) // cannot happen: the documents are plain maps
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	s.items[key] = it
	s.append(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

// append adds an event to the history and wakes the watches. The caller holds the lock.
func (s *store) append(it item) {
	s.history = append(s.history, it)
	s.record.logf("store: revision %d, %s, deleted %v", it.Revision, it.Key, it.Deleted)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setCut cuts a host off from the store, or ends the cut.
func (s *store) setCut(host string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[host] = cut
	s.wake()
}

// setReset makes the store's end of a host's connections reset all calls, those that wait
// included, or ends that.
func (s *store) setReset(host string, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets[host] = reset
	s.wake()
}

// watchesOf returns how many watches a host has made.
func (s *store) watchesOf(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchers[host]
}

// hang leaves a call of a host that is cut off without an answer, and reports whether
// it did.
func (s *store) hang(r *http.Request, host string) bool {
	s.mu.Lock()
	cut, reset := s.cut[host], s.resets[host]
	s.mu.Unlock()
	if reset {
		s.record.logf("store: a call of %s is reset", host)
		panic(http.ErrAbortHandler)
	}
	if cut {
		<-r.Context().Done()
	}
	return cut
}

func respond(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request, host string) {
	if s.hang(r, host) {
		return
	}
	s.mu.Lock()
	items := []item{}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, r.URL.Query().Get("prefix")) && it.Key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	respond(w, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, host string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	prefix := r.URL.Query().Get("prefix")
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	s.mu.Lock()
	s.watchers[host]++
	s.mu.Unlock()
	for waiting := true; ; {
		if s.hang(r, host) {
			return
		}
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			respond(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
