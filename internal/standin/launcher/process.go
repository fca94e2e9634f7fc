// One daemon as a process.

package launcher

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/runner"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// readyTimeout bounds the time until a daemon says that it is ready.
const readyTimeout = 20 * time.Second

// Daemon is the daemon of one host. It keeps its addresses when it is started
// again. Its methods are for one goroutine.
type Daemon struct {
	Host      string
	Zone      string
	IP        string
	Addresses runner.Addresses // as the daemon itself knows them

	program  string
	settings map[string]any
	folder   string
	log      io.Writer

	command *exec.Cmd
	done    chan struct{}
	result  error
}

// Start starts the process and waits until it is ready.
func (d *Daemon) Start(ctx context.Context) error {
	config, err := d.writeSettings()
	if err != nil {
		return err
	}
	command := exec.Command(d.program, "daemon", "--config", config)
	command.Stderr = d.log
	out, err := command.StdoutPipe()
	if err != nil {
		return flow.Wrap("start", d.Host, err)
	}
	if err := command.Start(); err != nil {
		return flow.Wrap("start", d.Host, err)
	}
	d.command, d.done = command, make(chan struct{})
	ready := make(chan string, 1)
	var reading sync.WaitGroup
	reading.Go(func() { readReady(out, ready) })
	go func() {
		reading.Wait()
		d.result = command.Wait()
		close(d.done)
	}()
	return d.awaitReady(ctx, ready)
}

func (d *Daemon) writeSettings() (string, error) {
	settings := map[string]any{}
	for name, value := range d.settings {
		settings[name] = value
	}
	for name, address := range map[string]string{
		"caller-address":   d.Addresses.Caller,
		"data-address":     d.Addresses.Data,
		"peer-address":     d.Addresses.Peer,
		"operator-address": d.Addresses.Operator,
	} {
		settings[name] = address
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", flow.Wrap("write-settings", d.Host, err)
	}
	path := filepath.Join(d.folder, d.Host+".hujson")
	return path, flow.Wrap("write-settings", d.Host, os.WriteFile(path, content, 0o600))
}

// readReady passes on the first line and drops the rest.
func readReady(out io.Reader, ready chan<- string) {
	lines := bufio.NewScanner(out)
	if lines.Scan() {
		ready <- lines.Text()
	}
	_, _ = io.Copy(io.Discard, out)
}

func (d *Daemon) awaitReady(ctx context.Context, ready <-chan string) error {
	select {
	case line := <-ready:
		d.Addresses = parseReady(line)
		return nil
	case <-d.done:
		return flow.Wrap("start", d.Host, fmt.Errorf("the daemon ended: %w", d.result))
	case <-time.After(readyTimeout):
		return flow.Wrap("start", d.Host, fmt.Errorf("the daemon was not ready in %v", readyTimeout))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// parseReady reads the addresses out of a daemon's first line.
func parseReady(line string) runner.Addresses {
	var addresses runner.Addresses
	targets := map[string]*string{
		"caller":   &addresses.Caller,
		"data":     &addresses.Data,
		"peer":     &addresses.Peer,
		"operator": &addresses.Operator,
	}
	for _, word := range strings.Fields(line) {
		name, value, _ := strings.Cut(word, "=")
		if target, ok := targets[name]; ok {
			*target = value
		}
	}
	return addresses
}

// -----------------------------------------------------------------------------

// Running reports whether the process runs.
func (d *Daemon) Running() bool {
	if d.done == nil {
		return false
	}
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once.
func (d *Daemon) Kill() { d.signal(syscall.SIGKILL); d.wait() }

// Pause stops the process from running until Resume.
func (d *Daemon) Pause() { d.signal(syscall.SIGSTOP) }

// Resume lets a paused process run on.
func (d *Daemon) Resume() { d.signal(syscall.SIGCONT) }

// Stop asks the process for a planned stop and waits for its end. The error is
// that of the process.
func (d *Daemon) Stop() error {
	d.signal(syscall.SIGTERM)
	d.wait()
	return d.result
}

func (d *Daemon) signal(signal syscall.Signal) {
	if d.Running() {
		_ = d.command.Process.Signal(signal)
	}
}

func (d *Daemon) wait() {
	if d.done != nil {
		<-d.done
	}
}

// Status asks the daemon for its status.
func (d *Daemon) Status(ctx context.Context) (controller.Status, error) {
	var status controller.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addresses.Operator+reporter.PathStatus, nil)
	if err != nil {
		return status, flow.Wrap("status", d.Host, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, flow.Wrap("status", d.Host, err)
	}
	defer func() { _ = response.Body.Close() }()
	return status, flow.Wrap("status", d.Host, json.NewDecoder(response.Body).Decode(&status))
}
