// What a daemon reports about the backend server beside it.

package flow

import "time"

// ServerLoad is the load of a backend server as the daemon beside it reports it, with each
// answer to an offer and with each response. Fields that are 0 and omitted on the wire are
// unknown: a daemon of an earlier version does not send them.
type ServerLoad struct {
	FreeSlots       int           `msgpack:"f"`           // slots without a request
	QueueWait       time.Duration `msgpack:"w"`           // expected time in the queue for a new request
	GrayProbability float64       `msgpack:"g"`           // probability, from 0 to 1, that the server fails most requests
	Queued          int           `msgpack:"q,omitempty"` // requests that wait for a slot
	MeanDuration    time.Duration `msgpack:"m,omitempty"` // mean duration of the running requests' routes at this server
	Overdue         int           `msgpack:"o,omitempty"` // running requests that take much longer than their routes usually do
	// AdmitRank is 1 plus the least urgent AdmissionRank of new requests that would still be
	// in time at this server; 0 means any. See package scheduler.
	AdmitRank int           `msgpack:"a,omitempty"`
	DrainTime time.Duration `msgpack:"d,omitempty"` // until work that is refused now could be admitted
}

// maxAdmissionLevel bounds the priority and the urgency in an AdmissionRank.
const maxAdmissionLevel = 1<<15 - 1

// AdmissionRank returns the rank, at least 1, of new requests of a priority of the customer or
// route and an urgency of the route. A higher one is less urgent.
func AdmissionRank(priority, urgency int) int {
	limit := func(level int) int { return min(max(level, 0), maxAdmissionLevel) }
	return 1 + limit(priority)<<15 + limit(urgency)
}
