// The CPU time and memory of processes, and the lookup of a host's daemon.

package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// clockTick is the unit of times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Indexes, from 0, of the fields of /proc/PID/stat after the name of the program.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// LoadAverage returns the first three numbers of /proc/loadavg, the load averages
// over 1, 5 and 15 minutes, or "unknown" if they can't be read.
func LoadAverage() string {
	const averages = 3
	content, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < averages {
		return "unknown"
	}
	return strings.Join(fields[:averages], " ")
}

// Usage is the resource usage of a process.
type Usage struct {
	CPU           time.Duration // user and system time since its start
	ResidentBytes int64         // resident memory
}

// UsageOf returns the resource usage of a running process from /proc. It returns an
// error if the process's files can't be read.
func UsageOf(pid int) (Usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return Usage{}, flow.Wrap("read-usage", folder, err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) <= statSystemTime {
		return Usage{}, flow.Wrap("read-usage", folder, fmt.Errorf("stat has %d fields", len(fields)))
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64) // the kernel writes numbers
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	resident, err := residentBytes(folder)
	return Usage{CPU: time.Duration(user+system) * clockTick, ResidentBytes: resident}, err
}

func residentBytes(folder string) (int64, error) {
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return 0, flow.Wrap("read-usage", folder, err)
	}
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kibibytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kibibytes << 10, flow.Wrap("read-usage", folder, err)
	}
	return 0, nil // a process that has ended has no line VmRSS
}

// Usage returns the resource usage of the daemon's process; of a process that has
// ended, its CPU time. A daemon that was never started has the zero Usage. It returns
// an error if the process's files can't be read.
func (d *Daemon) Usage() (Usage, error) {
	if d.Running() {
		return UsageOf(d.command.Process.Pid)
	}
	if d.command == nil || d.command.ProcessState == nil {
		return Usage{}, nil
	}
	ended := d.command.ProcessState
	return Usage{CPU: ended.UserTime() + ended.SystemTime()}, nil
}

// Daemon returns the daemon of the host with a name, or nil.
func (f *Fleet) Daemon(host string) *Daemon {
	for _, d := range f.Daemons {
		if d.Host == host {
			return d
		}
	}
	return nil
}
