//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is limits.memory_mb of the machines, read as MiB like in the settings.
	memoryLimit = 284 << 20
	// uploadSize is the size of an upload in bytes, three eighths of max_body_bytes.
	uploadSize = 24 << 20
	// uploadInterval is the time between two uploads at one machine: usually 3.75 in the 3 s
	// that the burst lasts. In the burst there are 1.6 times as many.
	uploadInterval = 800 * time.Millisecond
	burstUploads   = 6
	burstFor       = 3 * time.Second
	// bookers is the number of clients of that machine that book on kept connections.
	bookers = 16
	// maxLost is how many requests of kept connections may be lost.
	maxLost = 3
)

// residentMemory returns the memory of a daemon in bytes, or 0 if it does not run.
func residentMemory(h *host) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib << 10
		}
	}
	return 0
}

// enforceMemory kills a daemon that exceeds its memory, as the machines do, and keeps the
// largest value seen.
func (f *fleet) enforceMemory(h *host, peak *atomic.Int64, ended *atomic.Bool) {
	for !ended.Load() {
		used := residentMemory(h)
		peak.Store(max(peak.Load(), int64(used)))
		if used > memoryLimit {
			f.record.logf("%s uses %d MiB, more than its %d MiB, and is killed", h.name, used>>20, memoryLimit>>20)
			_ = h.command.Process.Signal(syscall.SIGKILL)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// uploadsAtOnce has clients of one machine upload large bodies, below the limit of the
// configuration, while others book on kept connections. In the burst a few uploads come at
// once. Bookings that run must be answered.
func uploadsAtOnce(f *fleet, trouble bool) (bool, error) {
	for range 6 {
		h, err := f.addHost("tbs-a", "ledger")
		if err != nil {
			return false, err
		}
		h.server.work = bookingTime
	}
	err := f.start(configuration("pulo780", 0, map[string]any{"book": route("/book/", "unsafe", "ledger")}, "ledger"))
	if err != nil {
		return false, err
	}
	busy := f.hosts[0]
	var ended atomic.Bool
	var peak atomic.Int64
	go f.enforceMemory(busy, &peak, &ended)

	end := time.Now().Add(12 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	answered, uploaded := 0, 0
	cut := map[string]bool{} // requests of kept connections that ended without an answer
	for range bookers {
		clients.Go(func() {
			for time.Now().Before(end) {
				ids, n := f.bookOnKeptConnection(busy, end)
				mu.Lock()
				answered += n
				for _, id := range ids {
					cut[id] = true
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	body := strings.Repeat("0123456789abcde\n", uploadSize/16)
	upload := func() {
		a := f.call(busy, http.MethodPost, "/book/scan", newID(), 15*time.Second, body)
		mu.Lock()
		defer mu.Unlock()
		if a.status == http.StatusOK {
			uploaded++
		}
	}
	burstAt := time.Now().Add(5 * time.Second)
	for time.Now().Before(end) {
		if trouble && time.Now().After(burstAt) {
			trouble = false
			f.record.logf("burst: %d uploads come at once", burstUploads)
			for range burstUploads {
				clients.Go(upload)
			}
			time.Sleep(burstFor)
			continue
		}
		clients.Go(upload)
		time.Sleep(uploadInterval)
	}
	clients.Wait()
	ended.Store(true)
	lost := 0
	for _, r := range f.runs.all() {
		if cut[r.id] {
			lost++
			f.record.logf("%s ran at %s, and its connection was closed without an answer", r.id, r.server)
		}
	}
	f.record.logf("largest memory of %s: %d MiB", busy.name, peak.Load()>>20)
	f.record.logf("%d bookings and %d uploads were answered; %d bookings of kept connections ran and were lost", answered, uploaded, lost)
	if answered == 0 || uploaded == 0 {
		return false, errors.New("nothing was served")
	}
	return lost > maxLost, nil
}

// bookOnKeptConnection makes bookings one after the other on one connection. It returns
// the booking that was cut off without an answer, unless it was the first one of its
// connection, and the number of those that were answered.
func (f *fleet) bookOnKeptConnection(h *host, end time.Time) (cut []string, answered int) {
	conn, err := f.dial(h, time.Until(end)+15*time.Second)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		id := newID()
		if _, err := io.WriteString(conn, head(http.MethodPost, "/book/1", id, 15*time.Second, "wheel 12")+"wheel 12"); err != nil {
			return nil, answered
		}
		a := readAnswer(reader, http.MethodPost)
		if a.err != nil {
			f.record.logf("client at %s: %s was cut off, error %v", h.name, id, a.err)
			if answered > 0 {
				cut = append(cut, id)
			}
			return cut, answered
		}
		answered++
	}
	return nil, answered
}
