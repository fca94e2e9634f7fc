// The daemons as processes. Only processes that were started here get signals, by their
// ids.

package soaker

import (
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// daemon is the sidecar of one host. It can be restarted.
type daemon struct {
	program string
	config  string
	log     io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	ended   chan struct{}
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	command := exec.Command(d.program, "sidecar", "--config", d.config)
	command.Stdout, command.Stderr = d.log, d.log
	if err := command.Start(); err != nil {
		return flow.Wrap("start-daemon", d.config, err)
	}
	ended := make(chan struct{})
	d.command, d.started, d.ended = command, time.Now(), ended
	go func() {
		_ = command.Wait() // exitStatus returns how the process ended
		close(ended)
	}()
	return nil
}

// age returns the time since the process was started.
func (d *daemon) age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.started)
}

func (d *daemon) signal(signal os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil && d.command.Process != nil {
		_ = d.command.Process.Signal(signal) // fails if the process has ended
	}
}

// wait waits until the process ends, and kills it after the given time. It reports
// whether the process ended by itself.
func (d *daemon) wait(within time.Duration) bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(within):
	}
	d.kill()
	return false
}

// exitStatus waits until the process has ended, and returns its exit status as text.
func (d *daemon) exitStatus() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	<-d.ended
	return d.command.ProcessState.String()
}

// kill kills the process, also if it is paused, and waits until it has ended.
func (d *daemon) kill() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-ended
}
