// The retry budget of a service, kept by its owner for all daemons.

package ratelimiter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// RetryBudget bounds the retries of all daemons together.
type RetryBudget struct {
	Share  float64 // retries as a share of the requests for a service
	Slack  float64 // retries in a window in addition to the share
	Window time.Duration
}

const (
	// grantedSlack is the part of the slack that is handed out. The rest covers calls of retries
	// that draw on the budget too late or not at all, since it is not known which request makes a
	// call: where a whole service sheds half of its requests, 0.06 of the budget of the service
	// that its retries call.
	grantedSlack = 0.66
	// slackBurst is the part of that which may be spent at once. The rest is spread over the
	// window, so that a new owner may start with nothing and has retries soon. In simulations of
	// 14 patterns 0.65 serves 0.011 fewer of all requests in time than 0.3, since gray servers
	// need retries all the time.
	slackBurst = 0.12
)

// SlackRate returns the rate of the bucket from which the owner of a service hands out the
// slack. In no window, widened by the delay between a grant and the arrival of the retry, does
// it hand out more.
func (b RetryBudget) SlackRate() Rate {
	slots := float64(ledgerSlots+retryDelaySlots) / ledgerSlots
	return Rate{
		PerSecond: b.Slack * grantedSlack * (1 - slackBurst) / (b.Window.Seconds() * slots),
		Burst:     b.Slack * grantedSlack * slackBurst,
	}
}

// RetryPool is the retry budget of one service at its owner: a share of the requests that
// daemons report, and the slack.
type RetryPool struct {
	ledger *Ledger
	slack  Bucket
}

// NewRetryPool returns a pool without requests and with the given part of its slack left.
func NewRetryPool(now flow.Time, budget RetryBudget, level float64) *RetryPool {
	rate := budget.SlackRate()
	return &RetryPool{ledger: NewLedger(budget), slack: Bucket{rate: rate, level: min(level, rate.Burst), at: now}}
}

// Restart replaces the slack that is left, as another owner has used it meanwhile. Requests
// that were reported to this pool were reported to no other, and stay.
func (p *RetryPool) Restart(now flow.Time, level float64) {
	p.slack.level, p.slack.at = min(level, p.slack.rate.Burst), now
}

// Report records requests and retries that a daemon reports.
func (p *RetryPool) Report(now flow.Time, counts []RetryCount) { p.ledger.Add(now, counts) }

// TakeShare takes a retry of the share alone. A daemon that may not use the slack, since another
// one may still be the owner, may take it: no other has these requests.
func (p *RetryPool) TakeShare(now flow.Time) bool { return p.ledger.Withdraw(now) }

// Take takes a retry. If there is none, retryAfter is the time until there is one at the
// latest, as far as the slack alone tells.
func (p *RetryPool) Take(now flow.Time) (ok bool, retryAfter time.Duration) {
	if p.ledger.Withdraw(now) {
		return true, 0
	}
	return p.slack.Take(now)
}

// Level returns the slack that is left.
func (p *RetryPool) Level(now flow.Time) float64 {
	p.slack.refill(now)
	return p.slack.level
}
