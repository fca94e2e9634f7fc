// Package logger writes log lines without blocking the code that logs them.
//
// Lines go through a bounded queue to a goroutine that writes them. When the
// output blocks, or more lines are logged in a second than the limit allows,
// lines are dropped. Routine lines may use only a part of the queue and of the
// limit, so they are dropped first. The number of dropped lines is logged as
// soon as a line is accepted again.
package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// queueLength is the number of lines that can wait for the output.
	queueLength = 2048
	// routineShare is the fraction of the queue, and of the lines per second, that
	// routine lines may use.
	routineShare = 0.5
	// flushTimeout bounds the write of the remaining lines at the end of Run.
	flushTimeout = 300 * time.Millisecond
)

// Writer writes log lines to an output through a bounded queue.
type Writer struct {
	output         io.Writer
	lines          chan []byte
	linesPerSecond int
	now            func() time.Time

	mu             sync.Mutex
	second         int64 // of the wall clock, since 1970
	queuedInSecond int   // lines queued in this second
	dropped        int   // lines dropped since the last report
}

// New returns a Writer that writes at most linesPerSecond lines a second to
// output, besides those that report dropped lines.
func New(output io.Writer, linesPerSecond int) *Writer {
	return &Writer{output: output, lines: make(chan []byte, queueLength), linesPerSecond: linesPerSecond, now: time.Now}
}

// Run writes lines until ctx ends, and then those that are still queued.
func (w *Writer) Run(ctx context.Context) {
	var batch bytes.Buffer
	for {
		select {
		case line := <-w.lines:
			batch.Write(line)
			w.drainQueue(&batch)
			w.flush(&batch)
		case <-ctx.Done():
			w.flushRemaining(&batch)
			return
		}
	}
}

// drainQueue adds the queued lines to the batch, so that one write takes them all.
func (w *Writer) drainQueue(batch *bytes.Buffer) {
	for {
		select {
		case line := <-w.lines:
			batch.Write(line)
		default:
			return
		}
	}
}

// flush writes a batch. An error of the log output cannot be logged.
func (w *Writer) flush(batch *bytes.Buffer) {
	_, _ = w.output.Write(batch.Bytes())
	batch.Reset()
}

// flushRemaining writes the queued lines. It gives up when the output blocks.
func (w *Writer) flushRemaining(batch *bytes.Buffer) {
	w.drainQueue(batch)
	done := make(chan struct{})
	go func() {
		w.flush(batch)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// enqueue queues a line, or counts it as dropped.
func (w *Writer) enqueue(line []byte, routine bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second, w.queuedInSecond = second, 0
	}
	capacity, quota := queueLength, w.linesPerSecond
	if routine {
		capacity, quota = int(routineShare*float64(capacity)), int(routineShare*float64(quota))
	}
	if w.queuedInSecond >= quota || len(w.lines) >= capacity {
		w.dropped++
		return
	}
	if w.dropped > 0 && w.tryQueue(fmt.Appendf(nil, `{"level":"INFO","msg":"log lines left out","count":%d}`+"\n", w.dropped)) {
		w.dropped = 0
	}
	if !w.tryQueue(line) {
		w.dropped++
		return
	}
	w.queuedInSecond++
}

func (w *Writer) tryQueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Logger returns a logger that writes each line as a JSON document through the
// writer. Lines below level info are routine.
func (w *Writer) Logger(level slog.Level) logr.Logger {
	options := &slog.HandlerOptions{Level: level}
	return logr.FromSlogHandler(&handler{
		Handler: slog.NewJSONHandler(lineQueue{w, false}, options),
		routine: slog.NewJSONHandler(lineQueue{w, true}, options),
	})
}

// lineQueue passes the lines that a slog handler writes to the queue.
type lineQueue struct {
	writer  *Writer
	routine bool
}

// Write queues one line. It reports no error when the line is dropped.
func (q lineQueue) Write(line []byte) (int, error) {
	q.writer.enqueue(bytes.Clone(line), q.routine)
	return len(line), nil
}

// handler formats routine and other records with separate handlers, so that the
// writer can tell their lines apart.
type handler struct {
	slog.Handler
	routine slog.Handler
}

// Handle formats one record.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelInfo {
		record.Level = slog.LevelDebug // slog would print logr's V(1), which lies between its levels, as DEBUG+3
		return h.routine.Handle(ctx, record)
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes to each record.
func (h *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attributes), routine: h.routine.WithAttrs(attributes)}
}

// WithGroup returns a handler that puts later attributes into a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), routine: h.routine.WithGroup(name)}
}
