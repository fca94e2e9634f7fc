// The encoding of reports. It is binary, since the reports are the largest part of what
// daemons send each other for control.

package disseminator

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	format     = 1   // first byte of a message
	maxReports = 100 // in one message
	grayUnit   = 1000
)

// Flags of an encoded report.
const (
	flagLoad = 1 << iota
	flagSilent
	flagUnreached
	flagOwn
)

var errMalformed = errors.New("the load reports are malformed")

// message is what daemons send each other. In a request, Table and Version name the last
// answer of the receiver; in an answer, they name the sender's table and the version up to
// which its reports are complete.
type message struct {
	Table   uint64
	Version uint64
	Reports []Report
}

func (m message) encode() []byte {
	b := append(make([]byte, 0, 24+bytesPerReport*len(m.Reports)), format)
	b = binary.BigEndian.AppendUint64(b, m.Table)
	b = binary.AppendUvarint(b, m.Version)
	b = binary.AppendUvarint(b, uint64(len(m.Reports)))
	for _, r := range m.Reports {
		b = r.append(b)
	}
	return b
}

func (r Report) append(b []byte) []byte {
	flags := byte(0)
	if r.HasLoad {
		flags |= flagLoad
	}
	if r.Silent {
		flags |= flagSilent
	}
	if r.Unreached {
		flags |= flagUnreached
	}
	if r.Own {
		flags |= flagOwn
	}
	b = append(b, flags, byte(r.Server>>40), byte(r.Server>>32), byte(r.Server>>24), byte(r.Server>>16), byte(r.Server>>8), byte(r.Server))
	if r.HasLoad {
		l := r.Load
		for _, value := range []uint64{
			r.Sequence, ms(r.Age), count(l.FreeSlots), ms(l.QueueWait), uint64(min(max(l.GrayProbability, 0), 1)*grayUnit + 0.5),
			count(l.Queued), ms(l.MeanDuration), count(l.Overdue), count(l.AdmitRank), ms(l.DrainTime), ms(l.TrialIn),
		} {
			b = binary.AppendUvarint(b, value)
		}
	}
	if r.Unreached {
		b = binary.AppendUvarint(b, ms(r.UnreachedAge))
	}
	return b
}

func ms(d time.Duration) uint64 { return uint64(max(d.Milliseconds(), 0)) }

func count(n int) uint64 { return uint64(max(n, 0)) }

// reader reads an encoded message. After the first fault it returns zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) bytes(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// number reads a number of at most limit.
func (r *reader) number(limit uint64) uint64 {
	value, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || value > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

const (
	maxCount    = 1 << 24
	maxDuration = uint64(24 * time.Hour / time.Millisecond)
	maxSequence = 1 << 62
)

func (r *reader) duration() time.Duration {
	return time.Duration(r.number(maxDuration)) * time.Millisecond
}

func (r *reader) count() int { return int(r.number(maxCount)) }

func (r *reader) report() Report {
	head := r.bytes(7)
	report := Report{Own: head[0]&flagOwn != 0, HasLoad: head[0]&flagLoad != 0, Silent: head[0]&flagSilent != 0, Unreached: head[0]&flagUnreached != 0}
	for _, b := range head[1:] {
		report.Server = report.Server<<8 | Key(b)
	}
	if report.HasLoad {
		report.Sequence, report.Age = r.number(maxSequence), r.duration()
		report.Load = flow.ServerLoad{
			FreeSlots: r.count(), QueueWait: r.duration(), GrayProbability: float64(r.number(grayUnit)) / grayUnit,
			Queued: r.count(), MeanDuration: r.duration(), Overdue: r.count(), AdmitRank: r.count(), DrainTime: r.duration(), TrialIn: r.duration(),
		}
	}
	if report.Unreached {
		report.UnreachedAge = r.duration()
	}
	return report
}

func decode(encoded []byte) (message, error) {
	r := &reader{rest: encoded}
	if r.bytes(1)[0] != format {
		return message{}, errMalformed
	}
	m := message{Table: binary.BigEndian.Uint64(r.bytes(8)), Version: r.number(maxSequence)}
	for range r.number(maxReports + 1) {
		m.Reports = append(m.Reports, r.report())
	}
	if r.failed {
		return message{}, errMalformed
	}
	return m, nil
}
