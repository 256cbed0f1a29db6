package exchange

import (
	"io"
	"sync"
	"sync/atomic"
)

// logQueueLines bounds the lines that wait for a slow reader: some seconds of a busy box.
const logQueueLines = 4096

// LogQueue writes lines beside the work; when its reader is slow it drops and counts them.
type LogQueue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	out     io.Writer
}

// NewLogQueue returns a queue in front of a writer, and a function that writes what waits.
func NewLogQueue(out io.Writer) (*LogQueue, func()) {
	q := &LogQueue{lines: make(chan []byte, logQueueLines), out: out}
	q.done.Go(q.run)
	return q, func() {
		close(q.lines)
		q.done.Wait()
	}
}

// Write implements io.Writer; it never waits.
func (q *LogQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were not written.
func (q *LogQueue) Dropped() uint64 {
	return q.dropped.Load()
}

func (q *LogQueue) run() {
	for line := range q.lines {
		// Nowhere is left to report an error of the log itself; it shows as missing lines.
		if _, err := q.out.Write(line); err != nil {
			q.dropped.Add(1)
		}
	}
}
