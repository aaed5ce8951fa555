package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// LineQueue writes log lines in the background. It never blocks: when the reader
// of the output is slow and the queue is full, lines are left out and counted.
type LineQueue struct {
	out     io.Writer
	log     *Logger // for the queue's own lines
	lines   chan []byte
	free    sync.Pool
	dropped atomic.Int64 // since the last report
	total   atomic.Int64
	closed  chan struct{}
	done    chan struct{}
}

// NewLineQueue returns a queue of up to size lines in front of out. process is the
// name in the lines that report what was left out.
func NewLineQueue(out io.Writer, size int, process string) *LineQueue {
	q := &LineQueue{
		out: out, log: NewLogger(out, "info", "log").SetProcess(process), lines: make(chan []byte, size),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	q.free.New = func() any { return new([]byte) }
	go q.write()
	return q
}

// Write queues one line. Its result is always that of a write that succeeded: the
// logger cannot do anything about a slow reader.
func (q *LineQueue) Write(line []byte) (int, error) {
	buffer := q.free.Get().(*[]byte)
	queued := append((*buffer)[:0], line...)
	select {
	case q.lines <- queued:
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out so far.
func (q *LineQueue) Dropped() int64 { return q.total.Load() }

// Close writes the lines that are queued. Later ones are lost.
func (q *LineQueue) Close() {
	close(q.closed)
	<-q.done
}

func (q *LineQueue) write() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.pass(line)
		case <-q.closed:
			for {
				select {
				case line := <-q.lines:
					q.pass(line)
				default:
					return
				}
			}
		}
	}
}

func (q *LineQueue) pass(line []byte) {
	// Without an output there is no place to say that it fails.
	_, _ = q.out.Write(line)
	q.free.Put(&line)
	if n := q.dropped.Swap(0); n > 0 {
		q.log.Warn("Lines were left out because the reader of the log is slow.", "lines", n)
	}
}
