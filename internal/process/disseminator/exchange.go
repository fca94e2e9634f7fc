package disseminator

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// staleAfter is the time without an exchange with another daemon of the zone from which
	// the table is stale.
	staleAfter = 2 * time.Second
	// maxCursors limits the daemons whose last answer is remembered.
	maxCursors = 64
)

// Parts are the dependencies of an Exchange.
type Parts struct {
	Clock flow.Clock
	// Own returns the id and the load of the backend server beside this daemon; the id is
	// "" while there is none.
	Own func() (server string, load flow.ServerLoad)
	// Table is a random number that identifies the table, and FirstSequence the wall-clock
	// time in milliseconds at the start of the clock.
	Table, FirstSequence uint64
	Log                  logr.Logger
}

// cursor is how far another daemon and this one know each other's tables.
type cursor struct {
	table    uint64
	received uint64 // version of the other daemon's table
	sent     uint64 // version of the own table that the other daemon has answered to
}

// Exchange is the table of a running daemon. It is safe for concurrent use. The methods of
// a nil Exchange do nothing, which is how load reports are switched off.
type Exchange struct {
	Parts
	mu      sync.Mutex
	table   *Table
	cursors map[string]cursor // by peer
	news    chan struct{}     // closed and replaced at urgent changes
	heardAt flow.Time         // newest exchange with another daemon of the zone
	stale   bool
	unsent  bool // something urgent was learned here, and no request has carried it
}

// NewExchange returns an Exchange with an empty table.
func NewExchange(parts Parts) *Exchange {
	now := parts.Clock.Now()
	return &Exchange{Parts: parts, table: New(now), cursors: map[string]cursor{}, news: make(chan struct{}), heardAt: now}
}

// Request is what a daemon adds to a call.
type Request struct {
	Encoded []byte
	version uint64 // up to which the other daemon knows what came from here, once it has answered
}

// NewRequest returns the reports to send to a peer: that of the own server, and what was
// learned here since the last answer of the peer, or what matters in its zone.
func (x *Exchange) NewRequest(peer string, sameZone bool) Request {
	if x == nil {
		return Request{}
	}
	server, load := x.Own()
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	x.advance(now)
	own := x.mergeOwn(now, server, load)
	c := x.cursors[peer]
	audience := AudienceRemote
	if sameZone {
		audience, x.unsent = AudienceSource, false
	}
	reports, version := x.table.Changes(now, c.sent, audience, maxReports)
	if own != nil {
		kept := reports[:0]
		for _, r := range reports {
			if r.Server != own.Server {
				kept = append(kept, r)
			}
		}
		reports = append(kept, *own)
	}
	return Request{Encoded: message{Table: c.table, Version: c.received, Reports: reports}.encode(), version: version}
}

// mergeOwn takes the load of the own server into the table and returns its report, or nil
// if there is no server. The caller must hold the lock.
func (x *Exchange) mergeOwn(now flow.Time, server string, load flow.ServerLoad) *Report {
	if server == "" {
		return nil
	}
	own := Report{Server: KeyOf(server), Own: true, HasLoad: true, Sequence: x.FirstSequence + uint64(now), Load: load}
	x.mergeSelf(now, own)
	return &own
}

// mergeSelf takes what this daemon itself learned. The caller must hold the lock.
func (x *Exchange) mergeSelf(now flow.Time, r Report) {
	urgent := x.table.Urgent()
	x.merge(now, []Report{r}, OriginSelf)
	x.unsent = x.unsent || x.table.Urgent() != urgent
}

// merge takes reports into the table, and wakes those who wait for urgent changes. The
// caller must hold the lock.
func (x *Exchange) merge(now flow.Time, reports []Report, origin Origin) {
	urgent := x.table.Urgent()
	for _, r := range reports {
		from := origin
		if origin == OriginZone && r.Own {
			from = OriginServer
		}
		x.table.Merge(now, r, from)
	}
	x.wake(urgent)
}

func (x *Exchange) advance(now flow.Time) {
	urgent := x.table.Urgent()
	x.table.Advance(now)
	x.wake(urgent)
}

func (x *Exchange) wake(urgent uint64) {
	if x.table.Urgent() != urgent {
		close(x.news)
		x.news = make(chan struct{})
	}
}

// originOf returns the origin of the reports of a message. The caller must hold the lock.
func (x *Exchange) originOf(now flow.Time, sameZone bool) Origin {
	if !sameZone {
		return OriginRemote
	}
	x.heardAt = now
	return OriginZone
}

// Position is how far a daemon that asked knows the table of this one.
type Position struct {
	peer     string
	sameZone bool
	after    uint64
	valid    bool // the request had reports
}

// Receive takes the reports of a request.
func (x *Exchange) Receive(peer string, sameZone bool, encoded []byte) Position {
	if x == nil || len(encoded) == 0 {
		return Position{}
	}
	m, err := decode(encoded)
	if err != nil {
		x.Log.Error(err, "load reports are unreadable", "step", "receive-reports", "peer", peer)
		return Position{}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	x.advance(now)
	x.merge(now, m.Reports, x.originOf(now, sameZone))
	x.table.CountReader(now, peer)
	position := Position{peer: peer, sameZone: sameZone, valid: true}
	if m.Table == x.Table {
		position.after = m.Version
	}
	return position
}

// News returns a channel that is closed at the next urgent change, and whether there has
// been one since a position.
func (x *Exchange) News(p Position) (<-chan struct{}, bool) {
	if x == nil {
		return nil, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.news, p.valid && x.table.Urgent() > p.after
}

// Answer returns the reports to answer with.
func (x *Exchange) Answer(p Position) []byte {
	if x == nil || !p.valid {
		return nil
	}
	server, load := x.Own()
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	x.advance(now)
	x.mergeOwn(now, server, load)
	audience := AudienceRemote
	if p.sameZone {
		audience = AudienceZone
	}
	reports, version := x.table.Changes(now, p.after, audience, maxReports)
	return message{Table: x.Table, Version: version, Reports: reports}.encode()
}

// ReceiveAnswer takes the reports of the answer to a request.
func (x *Exchange) ReceiveAnswer(peer string, sameZone bool, request Request, encoded []byte) {
	if x == nil || len(encoded) == 0 {
		return
	}
	m, err := decode(encoded)
	if err != nil {
		x.Log.Error(err, "load reports are unreadable", "step", "receive-reports", "peer", peer)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	x.merge(now, m.Reports, x.originOf(now, sameZone))
	if len(x.cursors) >= maxCursors {
		clear(x.cursors)
	}
	x.cursors[peer] = cursor{table: m.Table, received: m.Version, sent: request.version}
}

// Advance lets time pass. It logs when the table becomes stale and when it is current
// again; others says whether there are other daemons in the zone. It reports whether something
// urgent was learned here that no request has carried yet.
func (x *Exchange) Advance(others bool) (unsent bool) {
	if x == nil {
		return false
	}
	server, load := x.Own()
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	x.mergeOwn(now, server, load)
	x.advance(now)
	if !others {
		x.heardAt = now
	}
	stale := now.Sub(x.heardAt) > staleAfter
	switch {
	case stale && !x.stale:
		x.Log.Info("load reports are stale", "age-ms", now.Sub(x.heardAt).Milliseconds(), "servers", len(x.table.entries))
	case !stale && x.stale:
		x.Log.Info("load reports are current again", "servers", len(x.table.entries))
	}
	x.stale = stale
	return x.unsent
}

// NoteUnreachable records that this daemon could not reach the daemon beside a server.
func (x *Exchange) NoteUnreachable(server string) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mergeSelf(x.Clock.Now(), Report{Server: KeyOf(server), Unreached: true})
}

// View is what the table says at one moment.
type View struct {
	exchange *Exchange
	now      flow.Time
	Current  bool // the table is not stale
	Peers    int  // servers of the same zone whose daemons take part
}

// View calls use with the table, which must not be kept.
func (x *Exchange) View(use func(View)) {
	if x == nil {
		use(View{})
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	use(View{exchange: x, now: now, Current: now.Sub(x.heardAt) <= staleAfter, Peers: x.table.Local()})
}

// Get returns what is known of a server.
func (v View) Get(server string) (Report, bool) {
	if v.exchange == nil {
		return Report{}, false
	}
	return v.exchange.table.Get(v.now, KeyOf(server))
}

// Learned returns a report as the selector takes it.
func (r Report) Learned(now flow.Time) selector.Learned {
	learned := selector.Learned{HasLoad: r.HasLoad, Load: r.Load, MeasuredAt: now.Add(-r.Age), DoubtedAt: flow.Never}
	switch {
	case r.Silent:
		learned.DoubtedAt = now
	case r.Unreached:
		learned.DoubtedAt = now.Add(-r.UnreachedAge)
	}
	return learned
}
