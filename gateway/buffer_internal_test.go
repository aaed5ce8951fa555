package gateway

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"hyssoploom/backend"
)

// Guards against buffered bodies that are changed, cut or accepted above the bounds, and
// against memory that is not given back.
func TestReadBuffered(t *testing.T) {
	fail := errors.New("reset")
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int64
		limit  int64
		size   int
		bound  backend.Bound
		err    error
	}{
		{"empty", strings.NewReader(""), 0, 0, 0, "", nil},
		{"short, without memory", strings.NewReader("hello"), 5, 0, 5, "", nil},
		{"short, length unknown", strings.NewReader("hello"), -1, 0, 5, "", nil},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(strings.Repeat("a", 100_000))), -1, 1 << 20, 100_000, "", nil},
		{"long", strings.NewReader(strings.Repeat("a", 3<<20)), 3 << 20, 4 << 20, 3 << 20, "", nil},
		{"too long", strings.NewReader(strings.Repeat("a", 5<<20)), -1, 1 << 30, 0, backend.BoundBuffer, nil},
		{"no memory left", strings.NewReader(strings.Repeat("a", 1<<20)), -1, 100 << 10, 0, backend.BoundMemory, nil},
		{"reset", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(fail)), 10, 0, 0, "", fail},
	} {
		budget := &memoryBudget{limit: c.limit}
		content, held, err := readBuffered(c.body, c.length, budget)
		var exceeded *backend.BoundError
		switch {
		case c.bound != "":
			if !errors.As(err, &exceeded) || exceeded.Bound != c.bound {
				t.Errorf("%s: error %v, want bound %s", c.name, err, c.bound)
			}
		case !errors.Is(err, c.err):
			t.Errorf("%s: error %v, want %v", c.name, err, c.err)
		case err == nil && content.size() != c.size:
			t.Errorf("%s: %d bytes, want %d", c.name, content.size(), c.size)
		}
		budget.release(held)
		if used := budget.used.Load(); used != 0 {
			t.Errorf("%s: %d bytes are still taken", c.name, used)
		}
	}
}

// Guards against a stream that waits for ever for events which bring nothing new, and
// against one that is ended because its server is silent or slow. The time in it is
// virtual, so that a slow machine does not reach the timeout.
func TestProgressReader(t *testing.T) {
	const timeout = 60 * time.Millisecond
	for _, c := range []struct {
		name string
		// steps are the bytes of each read and the pause before it; a negative number of
		// bytes brings a new event.
		steps []readStep
		fails bool
	}{
		{"new events", []readStep{{0, -10}, {timeout, -10}, {timeout, -10}}, false},
		{"silence before an event", []readStep{{0, -10}, {5 * timeout, -10}}, false},
		{"half an event before a pause", []readStep{{0, 5}, {timeout / 3, -5}, {0, -10}}, false},
		{"trickle", []readStep{{0, -10}, {timeout / 2, 1}, {timeout / 2, 1}, {timeout / 2, 1}, {timeout / 2, 1}}, true},
		{"flood", []readStep{{0, -10}, {0, maxStaleBytes / 2}, {0, maxStaleBytes / 2}, {0, 1}}, true},
		{"many small events", slices.Repeat([]readStep{{0, 1}}, maxStaleEvents+1), true},
		{"fewer small events", slices.Repeat([]readStep{{0, 1}}, maxStaleEvents/2), false},
		{"flood after an event", []readStep{{0, maxStaleBytes / 2}, {0, -maxStaleBytes / 2}, {0, maxStaleBytes / 2}}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			if err := readSteps(c.steps, timeout); err != nil != c.fails {
				t.Errorf("%s: error %v, want one: %v", c.name, err, c.fails)
			}
		})
	}
}

// readSteps reads a stream to the end of its steps, or until a bound is reached.
func readSteps(steps []readStep, timeout time.Duration) *backend.BoundError {
	r := &progressReader{source: &steppedReader{steps: steps}, timeout: timeout}
	for _, step := range steps {
		_, err := r.Read(make([]byte, maxStaleBytes))
		if err == nil {
			err = r.record(step.bytes < 0)
		}
		if exceeded := (*backend.BoundError)(nil); errors.As(err, &exceeded) {
			return exceeded
		}
	}
	return nil
}

type readStep struct {
	pause time.Duration
	bytes int
}

type steppedReader struct{ steps []readStep }

func (r *steppedReader) Read(p []byte) (int, error) {
	step := r.steps[0]
	r.steps = r.steps[1:]
	time.Sleep(step.pause)
	return max(step.bytes, -step.bytes), nil
}

// Guards against events that count as progress although they are no part of the answer.
func TestIsProgress(t *testing.T) {
	for _, c := range []struct {
		hasIDs bool
		event  string
		want   bool
	}{
		{false, "id: 1\ndata: a\n\n", true},
		{false, "data: a\n\n", true},
		{false, ": comment\n\n", false},
		{false, "\n", false},
		{true, "id: 4\n\n", true},
		{true, "data: a\n\n", false},
	} {
		s := streamState{hasIDs: c.hasIDs}
		if got := s.isProgress([]byte(c.event)); got != c.want {
			t.Errorf("events with ids %v, %q: %v", c.hasIDs, c.event, got)
		}
	}
}

// FuzzReadBuffered guards against bodies that are read differently when they arrive in
// other parts.
func FuzzReadBuffered(f *testing.F) {
	f.Add([]byte("hello"), int64(5))
	f.Add(bytes.Repeat([]byte("a"), freeBufferBytes), int64(-1))
	f.Add(bytes.Repeat([]byte("a"), freeBufferBytes+bufferChunkBytes+1), int64(3))
	f.Fuzz(func(t *testing.T, body []byte, length int64) {
		budget := &memoryBudget{limit: 1 << 20}
		content, held, err := readBuffered(iotest.HalfReader(bytes.NewReader(body)), length, budget)
		if err == nil && !bytes.Equal(bytes.Join(content, nil), body) {
			t.Errorf("%d bytes were read as %d", len(body), content.size())
		}
		if budget.release(held); budget.used.Load() != 0 {
			t.Errorf("%d bytes are still taken", budget.used.Load())
		}
	})
}
