package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is an output that blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a logger that blocks on a slow reader, and against lines that are
// dropped without being counted, interleaved, or missing after Close.
func TestLineQueue(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	q := NewLineQueue(out, 10, "e1")
	log := NewLogger(q, "info", "test")
	const lineCount = 50
	var all sync.WaitGroup
	for i := range lineCount {
		all.Go(func() { log.Info("Something happened.", "n", i) })
	}
	all.Wait() // must not block, although the output does
	close(out.unblock)
	q.Close()
	log.Info("Logged after Close.") // must not panic after Close
	text := out.text.String()
	written := strings.Count(text, "Something happened.")
	if written < 10 || written >= lineCount || int64(lineCount-written) != q.Dropped() {
		t.Errorf("%d lines were written, %d counted as dropped", written, q.Dropped())
	}
	if !strings.Contains(text, "Lines were left out") || !strings.Contains(text, `"process":"e1"`) {
		t.Errorf("the log does not report the dropped lines with the process: %s", text)
	}
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "{") || !strings.HasSuffix(line, "}\n") {
			t.Errorf("line is not one JSON object: %q", line)
		}
	}
}

// Guards against a data race between SetLevel and a logger in use, and against
// component loggers that keep the old level.
func TestSetLevel(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, "warn", "a")
	component := log.WithComponent("b")
	component.Info("Below the level.")
	log.SetLevel("info")
	component.Info("At the level.")
	component.Debug("Debug line.")
	var all sync.WaitGroup
	all.Go(func() { log.SetLevel("error") })
	all.Go(func() { component.Info("Concurrent line.") })
	all.Wait()
	if text := out.String(); strings.Contains(text, "Below the level.") || !strings.Contains(text, "b: At the level.") || strings.Contains(text, "Debug line.") {
		t.Error(text)
	}
}
