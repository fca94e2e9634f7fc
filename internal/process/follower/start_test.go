package follower

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// changingPlatform is a platform on which the entry of one server changes with every
// read.
type changingPlatform struct {
	zone  string
	reads flow.Revision
}

// Watch implements flow.Source.
func (c *changingPlatform) Watch(context.Context, flow.Revision, time.Duration, func()) (flow.Update, error) {
	c.reads++
	return flow.Update{Revision: c.reads, Changes: []flow.Change{{
		Key: "servers/s", Revision: c.reads,
		Server: &flow.ServerEntry{ID: "s", Service: "stock", Address: listedHost + ":1", Host: listedHost, Zone: c.zone, Slots: int(c.reads)},
	}}}, nil
}

const listedHost = "10.0.0.1"

// TestReadsWhileADeploymentStarts counts a daemon's calls to the platform while
// servers register. Until its own zone is listed every daemon reads, so each must
// read rarely; the reader of a zone must follow the changes closely.
func TestReadsWhileADeploymentStarts(t *testing.T) {
	const span = 900 * time.Millisecond
	cases := map[string]struct {
		zone        string // of the server that registers
		firstStart  bool
		least, most flow.Revision
	}{
		"server of another zone is listed":     {"b", false, 1, 2},
		"own server is listed":                 {"a", false, 6, 9},
		"deployment starts for the first time": {"b", true, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), span)
			defer cancel()
			platform := &changingPlatform{zone: tc.zone}
			New(Parts{
				Host: listedHost, Zone: "a", Platform: platform, Clock: flow.NewMonotonicClock(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)),
				FirstStart: tc.firstStart,
			}).Run(ctx)
			t.Logf("%d reads", platform.reads)
			is.True(platform.reads >= tc.least)
			is.True(platform.reads <= tc.most)
		})
	}
}

// panickingPlatform is a platform whose first update makes the follower panic.
type panickingPlatform struct{ reads int }

// Watch implements flow.Source.
func (p *panickingPlatform) Watch(ctx context.Context, _ flow.Revision, wait time.Duration, _ func()) (flow.Update, error) {
	p.reads++
	if p.reads > 2 {
		flow.Sleep(ctx, wait)
	}
	return flow.Update{Revision: flow.Revision(p.reads), Changes: []flow.Change{{
		Key: "servers/s", Revision: flow.Revision(p.reads),
		Server: &flow.ServerEntry{ID: "s", Service: "stock", Address: listedHost + ":1", Host: listedHost, Zone: "a", Slots: p.reads},
	}}}, nil
}

// TestPanicEndsOneUpdateOnly checks that an unexpected error in one update does not end
// the process, nor keep later updates from being applied.
func TestPanicEndsOneUpdateOnly(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	platform := &panickingPlatform{}
	follower := New(Parts{
		Host: listedHost, Zone: "a", Platform: platform, Clock: flow.NewMonotonicClock(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)),
		OnChange: func(catalog *cataloger.Catalog) {
			if catalog.Servers("stock")[0].Slots == 1 {
				panic("injected by the test")
			}
			cancel()
		},
	})
	follower.Run(ctx)
	is.Equal(follower.Catalog().Servers("stock")[0].Slots, 2)
}
