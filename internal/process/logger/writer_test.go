package logger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/logger"
)

// output is a buffer that is safe for concurrent use.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(b)
}

// lines returns the fields of each line that was written.
func (o *output) lines(t *testing.T) []map[string]any {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var lines []map[string]any
	for line := range strings.Lines(o.buffer.String()) {
		var fields map[string]any
		is.New(t).NoErr(json.Unmarshal([]byte(line), &fields))
		lines = append(lines, fields)
	}
	return lines
}

// run runs a writer. The returned function stops it and waits until it has
// written the queued lines.
func run(w *logger.Writer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { w.Run(ctx) })
	return func() { cancel(); goroutines.Wait() }
}

func TestLinesAreWrittenAsJSON(t *testing.T) {
	is := is.New(t)
	out := &output{}
	w := logger.New(out, 100)
	stop := run(w)
	log := w.Logger(slog.LevelDebug).WithValues("host", "h")
	log.Info("request failed", "request", "7")
	log.V(1).Info("request answered", "request", "8")
	stop()
	lines := out.lines(t)
	is.Equal(len(lines), 2)
	is.Equal(lines[0]["request"], "7")
	is.Equal(lines[1]["host"], "h")
	is.Equal(lines[0]["level"], "INFO")
	is.Equal(lines[1]["level"], "DEBUG")
}

// TestExcessRoutineLinesAreDroppedFirst logs far more lines than the limit per
// second: routine lines are dropped and counted, and all others are written.
func TestExcessRoutineLinesAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	out := &output{}
	w := logger.New(out, 100)
	stop := run(w)
	log := w.Logger(slog.LevelDebug)
	for range 1000 {
		log.V(1).Info("request answered")
	}
	for range 30 {
		log.Info("request failed")
	}
	time.Sleep(1100 * time.Millisecond)
	log.Info("request failed")
	stop()
	count := map[string]int{}
	dropped := 0.0
	for _, line := range out.lines(t) {
		count[line["msg"].(string)]++
		if line["msg"] == "log lines left out" {
			dropped += line["count"].(float64)
		}
	}
	is.Equal(count["request failed"], 31)
	is.True(count["request answered"] <= 100) // the routine half of two seconds
	is.Equal(count["request answered"]+int(dropped), 1000)
}

// TestLoggerDoesNotWaitForABlockedOutput logs to a pipe that nobody reads.
func TestLoggerDoesNotWaitForABlockedOutput(t *testing.T) {
	is := is.New(t)
	reader, blocked := io.Pipe()
	defer func() { _ = reader.Close() }()
	w := logger.New(blocked, 1_000_000)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	log := w.Logger(slog.LevelInfo)
	began := time.Now()
	for range 10_000 {
		log.Info("request failed")
	}
	is.True(time.Since(began) < 2*time.Second)
	cancel()
}
