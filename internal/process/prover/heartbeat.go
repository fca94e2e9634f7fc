// The heartbeat exchange: whom to ask, what to ask, what to answer, and what
// an answer proves.

package prover

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Targets returns the hosts to ask in this round: random ones of all listed
// hosts, whether they were ever heard of or not. The caller adds its seeds
// while it knows no list.
func (p *Prover) Targets(_ flow.Time) []string {
	others := len(p.roster)
	if p.self >= 0 {
		others--
	}
	wanted := min(p.settings.Fanout, others)
	targets := make([]string, 0, wanted)
	for len(targets) < wanted {
		i := p.settings.Random.IntN(len(p.roster))
		if i != p.self && !slices.Contains(targets, p.roster[i]) {
			targets = append(targets, p.roster[i])
		}
	}
	return targets
}

// Request returns the request to send now. The caller keeps the time of
// sending for Observe.
func (p *Prover) Request(_ flow.Time) Request {
	return Request{
		From:        p.settings.Host,
		Incarnation: p.settings.Incarnation,
		Highest:     p.highest,
		ViewHash:    p.viewHash,
		Leaving:     p.leaving,
	}
}

// Answer returns the answer to a request. What the request says of revisions
// changes nothing: a message in one direction proves nothing, and a process that
// stopped acting upon it would pause at every change until it had asked back.
func (p *Prover) Answer(now flow.Time, request Request) Answer {
	if request.Leaving {
		p.peerOf(request.From).observeLeaving(request.Incarnation)
	}
	answer := Answer{
		From:        p.settings.Host,
		Incarnation: p.settings.Incarnation,
		Standing:    p.standing,
		Leaving:     p.leaving,
		Now:         now,
		Applied:     p.applied,
		Highest:     p.highest,
		ViewHash:    p.viewHash,
	}
	if request.ViewHash != p.viewHash {
		answer.View = p.view
	}
	p.encodeProofs(now, &answer)
	return answer
}

// encodeProofs writes what is known of every host. The own host is left out:
// the answer itself proves it.
func (p *Prover) encodeProofs(now flow.Time, answer *Answer) {
	n := len(p.roster)
	buffer := make([]byte, n+(n+7)/8)
	answer.Ages, answer.Known = buffer[:n:n], buffer[n:]
	for i := range p.proofs {
		answer.Ages[i] = ageNone
		if i == p.self {
			continue
		}
		pr := &p.proofs[i]
		age := encodeAge(now, pr.at)
		if age == ageNone {
			continue
		}
		if pr.standing == StandingJoining {
			age |= ageJoiningFlag
		}
		answer.Ages[i] = age
		if pr.knownAt == pr.at && pr.known >= p.applied {
			setBit(answer.Known, i)
		}
		if pr.standing == StandingFounding {
			if answer.Founding == nil {
				answer.Founding = make([]byte, len(answer.Known))
			}
			setBit(answer.Founding, i)
		}
	}
}

// -----------------------------------------------------------------------------

// Observe takes the answer to a request that was sent at sentAt. Late,
// repeated and reordered answers are harmless.
func (p *Prover) Observe(now, sentAt flow.Time, answer Answer) Heard {
	p.highest = max(p.highest, answer.Highest, answer.Applied)
	heard := Heard{Highest: p.highest}
	if answer.From == p.settings.Host {
		return heard
	}
	p.peerOf(answer.From).observe(now, sentAt, &answer)
	missing, ok := p.mergeView(&answer)
	if !ok {
		heard.Missing = missing
		return heard
	}
	sameView := answer.ViewHash == p.viewHash
	p.observeDirect(sentAt, &answer, sameView)
	if sameView {
		p.observeAges(sentAt, &answer, nil, true)
		return heard
	}
	if positions, known := p.translate(&answer); known {
		p.observeAges(sentAt, &answer, positions, false)
	}
	return heard
}

func (p *Prover) observeDirect(sentAt flow.Time, answer *Answer, sameView bool) {
	i := position(p.roster, answer.From)
	if i < 0 {
		return
	}
	p.proofs[i].observe(sentAt, answer.Standing)
	if sameView {
		p.proofs[i].observeKnown(sentAt, answer.Applied, p.settings.LeaseTime)
	}
}

// observeAges takes the indirect proofs. Positions translate the answerer's
// roster; nil means that it is the own one.
func (p *Prover) observeAges(sentAt flow.Time, answer *Answer, positions []int, sameView bool) {
	expected := len(p.roster)
	if positions != nil {
		expected = len(positions)
	}
	if len(answer.Ages) != expected {
		return
	}
	for j, age := range answer.Ages {
		steps := age & ageMask
		if steps == ageNone {
			continue
		}
		i := j
		if positions != nil {
			i = positions[j]
		}
		if i < 0 || i == p.self {
			continue
		}
		at := sentAt - ageStep*flow.Time(steps)
		pr := &p.proofs[i]
		if at > pr.at {
			pr.observe(at, standingOf(age, answer.Founding, j))
		}
		if sameView && bitSet(answer.Known, j) {
			pr.observeKnown(at, answer.Applied, p.settings.LeaseTime)
		}
	}
}

func standingOf(age byte, founding []byte, i int) Standing {
	switch {
	case age&ageJoiningFlag != 0:
		return StandingJoining
	case bitSet(founding, i):
		return StandingFounding
	default:
		return StandingMember
	}
}

// observe takes a proof that the host was alive, unless a newer one is known.
func (pr *proof) observe(at flow.Time, standing Standing) {
	if at >= pr.at {
		pr.at, pr.standing = at, standing
	}
}

// observeKnown takes a proof that the host had applied a revision. What holds
// of the higher revision is kept, as long as it may count.
func (pr *proof) observeKnown(at flow.Time, applied flow.Revision, leaseTime time.Duration) {
	switch {
	case applied > pr.known && at > pr.knownAt.Add(-leaseTime),
		applied == pr.known && at > pr.knownAt,
		at >= pr.knownAt.Add(leaseTime):
		pr.known, pr.knownAt = applied, at
	}
}
