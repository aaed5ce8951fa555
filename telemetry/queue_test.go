package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// gate is an output whose reader is slow until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// Guards against a logger that blocks on a slow reader, lines that are lost
// without a count, mixed up or missing at the end.
func TestLineQueue(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	q := NewLineQueue(out, 10, "e1")
	log := NewLogger(q, "info", "test")
	const lines = 50
	var all sync.WaitGroup
	for i := range lines {
		all.Go(func() { log.Info("Something happened.", "n", i) })
	}
	all.Wait() // does not block, though nobody reads
	close(out.open)
	q.Close()
	log.Info("After the end.") // must not panic
	text := out.text.String()
	written := strings.Count(text, "Something happened.")
	if written < 10 || written >= lines || int64(lines-written) != q.Dropped() {
		t.Errorf("%d lines were written, %d counted as left out", written, q.Dropped())
	}
	if !strings.Contains(text, "Lines were left out") || !strings.Contains(text, `"process":"e1"`) {
		t.Errorf("the log does not say that lines were left out: %s", text)
	}
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "{") || !strings.HasSuffix(line, "}\n") {
			t.Errorf("a broken line: %q", line)
		}
	}
}

// Guards against a level that changes while lines are written, and parts that
// keep the old one.
func TestSetLevel(t *testing.T) {
	var out bytes.Buffer
	l := NewLogger(&out, "warn", "a")
	part := l.WithComponent("b")
	part.Info("Not yet.")
	l.SetLevel("info")
	part.Info("Now.")
	part.Debug("Never.")
	var all sync.WaitGroup
	all.Go(func() { l.SetLevel("error") })
	all.Go(func() { part.Info("Perhaps.") })
	all.Wait()
	if text := out.String(); strings.Contains(text, "Not yet.") || !strings.Contains(text, "b: Now.") || strings.Contains(text, "Never.") {
		t.Error(text)
	}
}
