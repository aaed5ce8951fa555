package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// LineQueue is an io.Writer that writes log lines to its output in the background.
// Write never blocks: if the reader of the output is slow and the queue is full, lines
// are dropped and counted.
type LineQueue struct {
	out          io.Writer
	log          *Logger // reports dropped lines, directly to out
	lines        chan []byte
	buffers      sync.Pool
	unreported   atomic.Int64 // lines dropped since the last report
	droppedTotal atomic.Int64
	closing      chan struct{}
	done         chan struct{}
}

// NewLineQueue returns a queue that holds up to size lines for out. process is the
// process name in the lines that report dropped lines.
func NewLineQueue(out io.Writer, size int, process string) *LineQueue {
	q := &LineQueue{
		out: out, log: NewLogger(out, "info", "log").SetProcess(process), lines: make(chan []byte, size),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	q.buffers.New = func() any { return new([]byte) }
	go q.run()
	return q
}

// Write queues a copy of one line. It always reports success, because a logger cannot
// act on the failure to write a line.
func (q *LineQueue) Write(line []byte) (int, error) {
	buffer := q.buffers.Get().(*[]byte)
	queued := append((*buffer)[:0], line...)
	select {
	case q.lines <- queued:
	default:
		q.unreported.Add(1)
		q.droppedTotal.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *LineQueue) Dropped() int64 { return q.droppedTotal.Load() }

// Close writes the queued lines and stops the queue. Lines that arrive later are lost.
func (q *LineQueue) Close() {
	close(q.closing)
	<-q.done
}

// run writes queued lines until the queue is closed and empty.
func (q *LineQueue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.closing:
			for {
				select {
				case line := <-q.lines:
					q.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes one line and reports the lines dropped since the last report.
func (q *LineQueue) writeLine(line []byte) {
	// An error is ignored, because this output is the only place to report it.
	_, _ = q.out.Write(line)
	q.buffers.Put(&line)
	if n := q.unreported.Swap(0); n > 0 {
		q.log.Warn("Lines were left out because the reader of the log is slow.", "lines", n)
	}
}
