package profiler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/profiler"
)

// TestLimitFollowsDurations checks that few sound runs are overdue, that a server with few runs
// has the limit of all, that a slower server has one of its own, and that the limit follows a
// service that becomes slow, so that slow runs do not stay overdue.
func TestLimitFollowsDurations(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	p := profiler.New()
	run := func(server string, mean time.Duration, runs int) (overdue int) {
		for range runs {
			duration := time.Duration(random.ExpFloat64() * float64(mean))
			limit, ok := p.Limit("read", server)
			late := ok && duration > limit
			if late {
				overdue++
				p.Overdue("read")
			}
			p.Ended("read", server, duration, late, true)
		}
		return overdue
	}
	_, ok := p.Limit("read", "a")
	is.True(!ok)
	run("a", 200*time.Millisecond, 400)
	is.True(run("a", 200*time.Millisecond, 1000) <= 15)
	own, _ := p.Limit("read", "a")
	other, ok := p.Limit("read", "b")
	is.True(ok)
	is.True(other > own*2/3 && other < own*3/2)
	run("b", 2*time.Second, 200)
	slower, _ := p.Limit("read", "b")
	is.True(slower > 3*own)
	is.True(!p.Slow("read"))
	before, _ := p.Limit("read", "d")
	for i := range 60 { // three in ten servers hang
		hangs := i%10 < 3
		if hangs {
			p.Overdue("read")
		}
		p.Ended("read", "c", 150*time.Millisecond, hangs, !hangs)
	}
	after, _ := p.Limit("read", "d")
	is.True(!p.Slow("read"))
	is.True(after < before*3/2)
	for range 12 { // the service becomes slow
		p.Overdue("read")
		p.Ended("read", "e", 3*time.Second, true, false)
	}
	is.True(p.Slow("read"))
	run("e", 3*time.Second, 400)
	is.True(run("e", 3*time.Second, 400) <= 20)
	is.True(!p.Slow("read"))
}
