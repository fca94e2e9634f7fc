package disseminator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/disseminator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	healthy = 0.02
	gray    = 0.9
)

// report returns a report that was measured at a time of its daemon's clock.
func report(server string, at uint64, age time.Duration, grayProbability float64) disseminator.Report {
	return disseminator.Report{
		Server: disseminator.KeyOf(server), HasLoad: true, Sequence: at, Age: age,
		Load: flow.ServerLoad{FreeSlots: 5, GrayProbability: grayProbability},
	}
}

// TestTableKeepsNewestReport guards against an older report in place of a newer one: after a
// detour over other daemons, from a connection that had stalled, or after a restart.
func TestTableKeepsNewestReport(t *testing.T) {
	type arrival struct {
		at     flow.Time
		report disseminator.Report
		origin disseminator.Origin
	}
	first := arrival{1000, report("a", 500, 0, gray), disseminator.OriginServer}
	silent := report("a", 500, time.Second, gray)
	silent.Silent = true
	hint := disseminator.Report{Server: disseminator.KeyOf("a"), Unreached: true}
	cases := map[string]struct {
		then      arrival
		gray      float64
		age       time.Duration // at 3000
		silent    bool
		unreached bool
	}{
		"newer report wins":                            {arrival{2000, report("a", 1500, 0, healthy), disseminator.OriginZone}, healthy, time.Second, false, false},
		"older report by another daemon is ignored":    {arrival{2000, report("a", 400, 0, healthy), disseminator.OriginZone}, gray, 2 * time.Second, false, false},
		"report that was held up is as old as it is":   {arrival{2900, report("a", 1000, 0, healthy), disseminator.OriginServer}, healthy, 1499 * time.Millisecond, false, false},
		"report after the clock went back is accepted": {arrival{7000, report("a", 3, 0, healthy), disseminator.OriginServer}, healthy, 0, false, false},
		"silence since the known report counts":        {arrival{2000, silent, disseminator.OriginZone}, gray, 2 * time.Second, true, false},
		"hint of the zone counts":                      {arrival{2000, hint, disseminator.OriginZone}, gray, 2 * time.Second, false, true},
		"hint of another zone is another path":         {arrival{2000, hint, disseminator.OriginRemote}, gray, 2 * time.Second, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := disseminator.New(0)
			table.Merge(first.at, first.report, first.origin)
			table.Merge(tc.then.at, tc.then.report, tc.then.origin)
			got, ok := table.Get(max(tc.then.at, 3000), disseminator.KeyOf("a"))
			is.True(ok)
			is.Equal(got.Load.GrayProbability, tc.gray)
			is.Equal(got.Silent, tc.silent)
			is.Equal(got.Unreached, tc.unreached)
			is.True(got.Age >= tc.age-5*time.Millisecond && got.Age <= tc.age+5*time.Millisecond)
		})
	}
}

// TestTableFindsSilentServer guards against a daemon that stopped reporting and is still
// offered requests, and against daemons that only seem silent since this one was paused.
func TestTableFindsSilentServer(t *testing.T) {
	cases := map[string]struct {
		origin  disseminator.Origin
		pauseAt flow.Time // of this daemon, for 2 s
		until   flow.Time
		want    bool
	}{
		"reported directly and stopped":      {disseminator.OriginServer, -1, 2000, true},
		"reports to another daemon":          {disseminator.OriginZone, -1, 2000, false},
		"stopped a moment ago":               {disseminator.OriginServer, -1, 1400, false},
		"this daemon was paused":             {disseminator.OriginServer, 100, 2500, false},
		"silent after this daemon's pause":   {disseminator.OriginServer, 100, 4000, true},
		"server of another zone is not mine": {disseminator.OriginRemote, -1, 2000, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			table := disseminator.New(0)
			table.Merge(0, report("a", 100, 0, healthy), tc.origin)
			table.Merge(0, report("a", 500, 0, healthy), tc.origin)
			for now := flow.Time(100); now <= tc.until; now += 100 {
				if tc.pauseAt >= 0 && now > tc.pauseAt && now < tc.pauseAt+2000 {
					continue
				}
				table.Advance(now)
			}
			got, _ := table.Get(tc.until, disseminator.KeyOf("a"))
			is.New(t).Equal(got.Silent, tc.want)
		})
	}
}

// TestTableBoundsBytes guards against a table that takes more than its share of the link at
// the size of the design, where each of the zone's 180 daemons reports 2.5 times a second.
func TestTableBoundsBytes(t *testing.T) {
	is := is.New(t)
	const daemons, zone, seconds = 2700, 180, 20
	table := disseminator.New(0)
	passedOn, after := 0, map[int]uint64{}
	for now := flow.Time(0); now < seconds*1000; now += 100 {
		table.Advance(now)
		for i := range daemons {
			if (int(now)/100+i)%4 != 0 {
				continue
			}
			r := report(fmt.Sprint("server-", i), 1000+uint64(now), 0, healthy)
			r.Load.FreeSlots = i * int(now) / 100 % 7
			origin := disseminator.OriginServer
			if i >= zone {
				origin = disseminator.OriginRemote
			}
			table.Merge(now, r, origin)
		}
		for reader := range zone {
			if (int(now)/100+reader)%4 != 0 {
				continue
			}
			table.CountReader(now, fmt.Sprint(reader))
			reports, version := table.Changes(now, after[reader], disseminator.AudienceZone, 100)
			after[reader] = version
			if now >= 10_000 { // after the first reports of all servers
				passedOn += len(reports)
			}
		}
	}
	bytes := passedOn * 24 / (seconds - 10)
	t.Logf("passed on %d bytes a second", bytes)
	is.True(bytes <= 22_000)
	is.True(bytes >= 10_000) // the share is used
}

// fleet is a zone of daemons that exchange reports.
func newExchange(clock flow.Clock, number int, load *flow.ServerLoad) *disseminator.Exchange {
	return disseminator.NewExchange(disseminator.Parts{
		Clock: clock, Table: uint64(number), FirstSequence: 1 << 40, Log: logr.Discard(),
		Own: func() (string, flow.ServerLoad) { return fmt.Sprint("server-", number), *load },
	})
}

// TestExchangeTellsOthers guards against a suspicion or a silence that does not reach the
// other daemons, also while the daemon that collects the reports changes.
func TestExchangeTellsOthers(t *testing.T) {
	is := is.New(t)
	clock := &flow.ManualClock{}
	loads := make([]flow.ServerLoad, 4)
	var daemons []*disseminator.Exchange
	for i := range loads {
		loads[i] = flow.ServerLoad{FreeSlots: 3, QueueWait: 20 * time.Millisecond, GrayProbability: healthy, Queued: 1, MeanDuration: 90 * time.Millisecond, AdmitRank: 2, DrainTime: time.Second}
		daemons = append(daemons, newExchange(clock, i, &loads[i]))
	}
	fetch := func(from, to int, sameZone bool) {
		request := daemons[from].NewRequest(fmt.Sprint(to), sameZone)
		position := daemons[to].Receive(fmt.Sprint(from), sameZone, request.Encoded)
		daemons[from].ReceiveAnswer(fmt.Sprint(to), sameZone, request, daemons[to].Answer(position))
	}
	round := func(fetches ...[2]int) {
		for range 8 {
			clock.Advance(100 * time.Millisecond)
			for _, d := range daemons {
				d.Advance(true)
			}
			for _, pair := range fetches {
				fetch(pair[0], pair[1], pair[0] < 3) // the last is in another zone
			}
		}
	}
	known := func(daemon, server int) (got disseminator.Report) {
		daemons[daemon].View(func(v disseminator.View) { got, _ = v.Get(fmt.Sprint("server-", server)) })
		return got
	}
	round([2]int{1, 0}, [2]int{2, 0}, [2]int{3, 0})
	is.Equal(known(2, 1).Load, loads[1])
	is.Equal(known(3, 1).HasLoad, false) // a usable server of another zone
	loads[1].GrayProbability = gray
	round([2]int{1, 2}, [2]int{2, 0}, [2]int{3, 0}) // server 1 reports to another daemon now
	is.Equal(known(0, 1).Load.GrayProbability, gray)
	is.Equal(known(3, 1).Load.GrayProbability, gray)
	is.True(!known(0, 1).Silent)
	for range 3 {
		round([2]int{2, 0}, [2]int{3, 0})
	}
	is.True(known(0, 1).Silent)
	is.True(known(3, 1).Silent)
	round([2]int{1, 0}, [2]int{2, 0}, [2]int{3, 0})
	is.True(!known(2, 1).Silent)
}

// TestUsableServersStayInTheirZone guards against bytes between zones for servers about which
// other zones need to know nothing.
func TestUsableServersStayInTheirZone(t *testing.T) {
	is := is.New(t)
	table := disseminator.New(0)
	sent := 0
	after := uint64(0)
	for now := flow.Time(0); now < 10_000; now += 400 {
		r := report("a", 1000+uint64(now), 0, healthy)
		r.Load.FreeSlots = 1 + int(now/400)%5
		table.Merge(now, r, disseminator.OriginServer)
		table.Advance(now)
		var reports []disseminator.Report
		reports, after = table.Changes(now, after, disseminator.AudienceRemote, 100)
		sent += len(reports)
	}
	is.Equal(sent, 0)
}

// TestReceiveIgnoresMalformedReports guards against a message of another version, or one that
// was cut off, that disturbs the table or the process.
func TestReceiveIgnoresMalformedReports(t *testing.T) {
	is := is.New(t)
	clock := &flow.ManualClock{}
	load := flow.ServerLoad{FreeSlots: 3}
	sender, receiver := newExchange(clock, 1, &load), newExchange(clock, 2, &load)
	whole := sender.NewRequest("2", true).Encoded
	for length := range whole {
		receiver.Receive("1", true, whole[:length])
	}
	receiver.Receive("1", true, append([]byte{99}, whole[1:]...))
	receiver.View(func(v disseminator.View) {
		_, ok := v.Get("server-1")
		is.True(!ok)
	})
}
