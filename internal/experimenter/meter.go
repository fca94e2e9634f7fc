// Use of the machine during a run.

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

// cpuMeter adds up the CPU time of daemons across restarts. It is safe for concurrent
// use.
type cpuMeter struct {
	mutex    sync.Mutex
	baseline map[string]time.Duration // by host, CPU time of the running process when measuring began
	ended    time.Duration            // of processes that have ended
}

// newCPUMeter starts to measure the daemons of a fleet.
func newCPUMeter(fleet *launcher.Fleet) *cpuMeter {
	m := &cpuMeter{baseline: map[string]time.Duration{}}
	for _, d := range fleet.Daemons {
		usage, _ := d.Usage() // a process whose usage cannot be read counts from its start
		m.baseline[d.Host] = usage.CPU
	}
	return m
}

// processEnded records the end of a daemon's process.
func (m *cpuMeter) processEnded(d *launcher.Daemon) {
	usage, _ := d.Usage()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ended += usage.CPU - m.baseline[d.Host]
	delete(m.baseline, d.Host)
}

// processStarted records the start of a daemon's new process.
func (m *cpuMeter) processStarted(d *launcher.Daemon) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.baseline[d.Host] = 0
}

// read returns the CPU time of all daemons since the meter was created, and the
// resident memory in bytes of each running daemon.
func (m *cpuMeter) read(fleet *launcher.Fleet) (cpu time.Duration, residentBytes []int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	cpu = m.ended
	for _, d := range fleet.Daemons {
		baseline, measured := m.baseline[d.Host]
		if !measured || !d.Running() {
			continue
		}
		usage, err := d.Usage()
		if err != nil {
			continue
		}
		cpu += usage.CPU - baseline
		residentBytes = append(residentBytes, usage.ResidentBytes)
	}
	return cpu, residentBytes
}

// ownCPU returns the CPU time of this process.
func ownCPU() time.Duration {
	usage, _ := launcher.UsageOf(os.Getpid())
	return usage.CPU
}

func describeMachine() presenter.Machine {
	return presenter.Machine{Cores: runtime.NumCPU(), GoVersion: runtime.Version(), LoadAtStart: launcher.LoadAverage()}
}

// timerLagInterval is the time between two measurements of the lag of timers.
const timerLagInterval = 10 * time.Millisecond

// timerLagMeter measures how late timers of this process fire. The callers start each
// request by a timer, so this is also how late requests start.
type timerLagMeter struct {
	stop chan struct{}
	done chan struct{}
	lags []time.Duration
}

func newTimerLagMeter() *timerLagMeter {
	m := &timerLagMeter{stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (m *timerLagMeter) run() {
	defer close(m.done)
	next := time.Now()
	for {
		next = next.Add(timerLagInterval)
		select {
		case <-m.stop:
			return
		case <-time.After(time.Until(next)):
			m.lags = append(m.lags, max(time.Since(next), 0))
		}
		if time.Since(next) > timerLagInterval {
			next = time.Now()
		}
	}
}

// finish ends the measurement and returns the lags.
func (m *timerLagMeter) finish() assessor.Quantiles {
	close(m.stop)
	<-m.done
	return assessor.QuantilesOf(m.lags)
}
