package retrier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		change func(*retrier.Failure)
		want   retrier.GiveUp
	}{
		"retried if the queue was full":                               {func(*retrier.Failure) {}, retrier.GiveUpNone},
		"given up after a server failure if not idempotent":           {func(f *retrier.Failure) { f.Reason = flow.ReasonServerFailed }, retrier.GiveUpMayHaveRun},
		"given up after a timeout if not idempotent":                  {func(f *retrier.Failure) { f.Reason = flow.ReasonTimeout }, retrier.GiveUpMayHaveRun},
		"retried after a short response if idempotent":                {func(f *retrier.Failure) { f.Reason, f.Idempotent = flow.ReasonAnswerShort, true }, retrier.GiveUpNone},
		"given up after a part of the response was sent":              {func(f *retrier.Failure) { f.Reason, f.Idempotent, f.ResponseBegun = flow.ReasonAnswerShort, true, true }, retrier.GiveUpAnswerBegun},
		"given up if the customer is over its rate":                   {func(f *retrier.Failure) { f.Reason = flow.ReasonOverRate }, retrier.GiveUpRefused},
		"given up if the caller cancelled":                            {func(f *retrier.Failure) { f.Reason, f.Idempotent = flow.ReasonCancelled, true }, retrier.GiveUpRefused},
		"given up for an unknown reason":                              {func(f *retrier.Failure) { f.Reason, f.Idempotent = "new", true }, retrier.GiveUpRefused},
		"given up if the body cannot be sent again":                   {func(f *retrier.Failure) { f.BodyGone = true }, retrier.GiveUpBodyGone},
		"given up after the maximum number of attempts":               {func(f *retrier.Failure) { f.Attempts = f.MaxAttempts }, retrier.GiveUpAttempts},
		"given up if no other server is left":                         {func(f *retrier.Failure) { f.UntriedServers = 0 }, retrier.GiveUpNoOtherServer},
		"given up if too little time is left":                         {func(f *retrier.Failure) { f.TimeLeft = time.Millisecond }, retrier.GiveUpDeadline},
		"retried if the permit expired in transit":                    {func(f *retrier.Failure) { f.Reason = flow.ReasonPermitLate }, retrier.GiveUpNone},
		"retried if shed by the server though not idempotent":         {func(f *retrier.Failure) { f.Reason = flow.ReasonServerShed }, retrier.GiveUpNone},
		"given up after another request's response if not idempotent": {func(f *retrier.Failure) { f.Reason = flow.ReasonAnswerForeign }, retrier.GiveUpMayHaveRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			failure := retrier.Failure{Reason: flow.ReasonNoCapacity, Attempts: 1, MaxAttempts: 3, TimeLeft: time.Second, UntriedServers: 2}
			tc.change(&failure)
			is.New(t).Equal(retrier.Decide(0, failure, retrier.NewBudget(retrier.Options{}).Withdraw), tc.want)
		})
	}
}

// TestNonIdempotentIsRetriedOnlyIfNotRun checks every reason: a request that is not
// idempotent is retried only if the reason proves that it did not run.
func TestNonIdempotentIsRetriedOnlyIfNotRun(t *testing.T) {
	for _, row := range flow.ReasonRows() {
		t.Run(string(row.Reason), func(t *testing.T) {
			failure := retrier.Failure{Reason: row.Reason, Attempts: 1, MaxAttempts: 3, TimeLeft: time.Second, UntriedServers: 2}
			decision := retrier.Decide(0, failure, retrier.NewBudget(retrier.Options{}).Withdraw)
			is.New(t).True(row.Outcome == flow.OutcomeNotRun || decision != retrier.GiveUpNone)
		})
	}
}

// TestBudgetLimitsRetryStorm fails every attempt of a steady load and checks the number
// of retries.
func TestBudgetLimitsRetryStorm(t *testing.T) {
	cases := map[string]struct {
		reason     flow.Reason
		interval   flow.Time // milliseconds between requests
		requests   int
		minRetries int
		maxRetries int
	}{
		"share of requests that may have run": {flow.ReasonTimeout, 5, 12_000, 1150, 1250},
		"share of requests that did not run":  {flow.ReasonNoCapacity, 5, 12_000, 5900, 6100},
		"minimum rate for few requests":       {flow.ReasonTimeout, 5000, 24, 24, 48},
		"burst after an idle time":            {flow.ReasonTimeout, 0, 1000, 95, 105},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := retrier.NewBudget(retrier.Options{})
			now, retries := flow.Time(100_000), 0
			for range tc.requests {
				now += tc.interval
				budget.CountRequest(now)
				failure := retrier.Failure{Reason: tc.reason, Idempotent: true, MaxAttempts: 3, TimeLeft: time.Second, UntriedServers: 2}
				for failure.Attempts = 1; retrier.Decide(now, failure, budget.Withdraw) == retrier.GiveUpNone; failure.Attempts++ {
					retries++
				}
			}
			is.True(retries >= tc.minRetries)
			is.True(retries <= tc.maxRetries)
		})
	}
}
