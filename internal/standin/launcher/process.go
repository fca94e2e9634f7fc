// The process of one daemon.

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

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/runner"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// readyTimeout bounds the time until a daemon reports that it is ready.
const readyTimeout = 20 * time.Second

// Daemon is the daemon of one host. It keeps its addresses when it is restarted. It
// is not safe for concurrent use.
type Daemon struct {
	Host      string
	Zone      string
	IP        string
	Addresses runner.Addresses // that the daemon listens on, without the interrupter

	program  string
	settings map[string]any
	folder   string
	log      io.Writer

	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	result  error         // of the process; valid once done is closed
}

// Start starts the process and waits until it is ready. It returns an error if the
// process can't be started, ends early or is not ready in time.
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
	var reader sync.WaitGroup
	reader.Go(func() { readReady(out, ready) })
	go func() {
		reader.Wait()
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

// readReady sends the first line to ready and discards the rest.
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
		return flow.Wrap("start", d.Host, fmt.Errorf("the daemon exited before it was ready: %w", d.result))
	case <-time.After(readyTimeout):
		return flow.Wrap("start", d.Host, fmt.Errorf("the daemon was not ready after %v", readyTimeout))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// parseReady returns the addresses in the first line that a daemon prints.
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

// Running reports whether the process is running.
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

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() { d.signal(syscall.SIGKILL); d.wait() }

// Pause suspends the process until Resume.
func (d *Daemon) Pause() { d.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (d *Daemon) Resume() { d.signal(syscall.SIGCONT) }

// Stop requests a graceful stop of the process, waits for its end and returns its
// error.
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

// Status requests the daemon's status from its operator address. It returns an error
// if the request fails or the response is not a status.
func (d *Daemon) Status(ctx context.Context) (controller.Status, error) {
	var status controller.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addresses.Operator+reporter.PathStatus, nil)
	if err != nil {
		return status, flow.Wrap("status", d.Host, err)
	}
	response, err := validator.DefaultClient.Do(request)
	if err != nil {
		return status, flow.Wrap("status", d.Host, err)
	}
	defer func() { _ = response.Body.Close() }()
	return status, flow.Wrap("status", d.Host, validator.DecodeJSON(response.Body, &status))
}
