// What the run uses of the machine.

package experimenter

import (
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
)

// meter adds up the processor time of daemons over their restarts. It is safe
// for use by many goroutines.
type meter struct {
	mutex sync.Mutex
	base  map[string]time.Duration // of the present process, what it had used when the metering began
	past  time.Duration            // of processes that have ended
}

// newMeter begins to meter the daemons of a fleet.
func newMeter(fleet *launcher.Fleet) *meter {
	m := &meter{base: map[string]time.Duration{}}
	for _, d := range fleet.Daemons {
		usage, _ := d.Usage() // a process that cannot be read counts from its start
		m.base[d.Host] = usage.CPU
	}
	return m
}

// ended takes the end of a daemon's process.
func (m *meter) ended(d *launcher.Daemon) {
	usage, _ := d.Usage()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.past += usage.CPU - m.base[d.Host]
	delete(m.base, d.Host)
}

// started takes the start of a new process.
func (m *meter) started(d *launcher.Daemon) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.base[d.Host] = 0
}

// read returns the processor time of all daemons since the meter was made, and
// the memory of each that runs.
func (m *meter) read(fleet *launcher.Fleet) (cpu time.Duration, resident []int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	cpu = m.past
	for _, d := range fleet.Daemons {
		base, metered := m.base[d.Host]
		if !metered || !d.Running() {
			continue
		}
		usage, err := d.Usage()
		if err != nil {
			continue
		}
		cpu += usage.CPU - base
		resident = append(resident, usage.ResidentBytes)
	}
	return cpu, resident
}

// ownCPU returns the processor time of this process.
func ownCPU() time.Duration {
	usage, _ := launcher.UsageOf(os.Getpid())
	return usage.CPU
}

// -----------------------------------------------------------------------------

func describeMachine() presenter.Machine {
	return presenter.Machine{Cores: runtime.NumCPU(), GoVersion: runtime.Version(), LoadAtStart: launcher.LoadAverage()}
}

// -----------------------------------------------------------------------------

// lagInterval is the time between two looks at the lag of timers.
const lagInterval = 10 * time.Millisecond

// lagMeter measures how late timers of this process fire. The callers start
// each request by such a timer, so that this is how late requests start.
type lagMeter struct {
	stop chan struct{}
	done chan struct{}
	lags []time.Duration
}

func newLagMeter() *lagMeter {
	m := &lagMeter{stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (m *lagMeter) run() {
	defer close(m.done)
	next := time.Now()
	for {
		next = next.Add(lagInterval)
		select {
		case <-m.stop:
			return
		case <-time.After(time.Until(next)):
			m.lags = append(m.lags, max(time.Since(next), 0))
		}
		if time.Since(next) > lagInterval {
			next = time.Now()
		}
	}
}

// finish ends the measurement and returns the lags.
func (m *lagMeter) finish() assessor.Quantiles {
	close(m.stop)
	<-m.done
	return assessor.QuantilesOf(m.lags)
}
