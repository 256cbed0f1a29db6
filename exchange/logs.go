package exchange

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

const (
	// logQueueLines bounds the lines that wait for a slow reader: some seconds of a busy box.
	logQueueLines = 4096
	// dropReportLines is the number of lines after which the log reports dropped ones at the latest, if its reader
	// never catches up.
	dropReportLines = 1000
)

// LogQueue writes log lines asynchronously; while its reader is slow it drops and counts lines, and reports the number
// of missing lines in a line of its own.
type LogQueue struct {
	lines     chan []byte
	dropped   atomic.Uint64
	reported  uint64 // of the dropped lines; used by run only, as written
	written   int
	done      sync.WaitGroup
	out       io.Writer
	ownLogger *slog.Logger // writes to out, bypassing the queue

	mu     sync.RWMutex
	closed bool // lines are written at once
}

// NewLogQueue returns a queue in front of a writer, and a function that flushes and closes it; the logger that loggerTo
// makes writes the queue's own lines.
func NewLogQueue(out io.Writer, loggerTo func(io.Writer) *slog.Logger) (*LogQueue, func()) {
	q := &LogQueue{lines: make(chan []byte, logQueueLines), out: out, ownLogger: loggerTo(out)}
	q.done.Go(q.run)
	return q, q.close
}

func (q *LogQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.lines)
	q.done.Wait()
	q.closed = true
}

// Write implements io.Writer; it never blocks, unless the queue is closed: a process that ends has time for its last lines.
func (q *LogQueue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return q.out.Write(line)
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (q *LogQueue) Dropped() uint64 {
	return q.dropped.Load()
}

func (q *LogQueue) run() {
	for line := range q.lines {
		// An error of the log itself can't be logged; it counts as a dropped line.
		if _, err := q.out.Write(line); err != nil {
			q.dropped.Add(1)
		}
		if q.written++; len(q.lines) == 0 || q.written%dropReportLines == 0 {
			q.reportDropped()
		}
	}
}

// reportDropped logs how many lines before this one are missing, so that whoever looks for a request sees that its line
// may be among them.
func (q *LogQueue) reportDropped() {
	dropped := q.dropped.Load()
	if dropped == q.reported {
		return
	}
	q.ownLogger.Warn("log lines were dropped", "lines", dropped-q.reported, "dropped_so_far", dropped)
	q.reported = dropped
}
