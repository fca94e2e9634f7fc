package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetriesWithoutOwner cuts the owner of a service's retries off. Another daemon goes on with
// the share of the requests that it has not reported, and never with those that it has.
func TestRetriesWithoutOwner(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	s.run(26 * time.Second) // the daemons of the simulation draw no retries in the 16 s after that
	owner := s.owner(retryResource(serviceName))
	other := s.hosts[0]
	if other == owner {
		other = s.hosts[1]
	}
	load := func() (granted int) {
		for range 10_000 / 20 {
			s.step()
			other.allowance.CountRequest(serviceName)
			if s.now%100 == 0 && other.allowance.Retry(context.Background(), serviceName) {
				granted++
			}
		}
		return granted
	}
	with := load()
	s.cut(true, owner)
	without := load()
	t.Logf("%d retries with the owner, %d without, of 500 requests each", with, without)
	is.True(with > 60)
	is.True(without > 20)
	is.True(without <= 100+int(simulatedBudget.Slack))
}
