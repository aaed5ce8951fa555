package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against log messages without the prefix of their component.
func TestLoggerPrefix(t *testing.T) {
	var out bytes.Buffer
	l := NewLogger(&out, "info", "entry")
	l.Debug("Not shown.")
	l.WithComponent("link").Warn("Link is down.", "peer", "small-1")
	var line struct{ Level, Message, Peer string }
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v in %s", err, out.String())
	}
	if line.Level != "warn" || line.Message != "link: Link is down." || line.Peer != "small-1" {
		t.Errorf("logged %s", out.String())
	}
}

// Guards against a /debug/vars document that is not valid JSON.
func TestMetricsAreJSON(t *testing.T) {
	m := NewMetrics()
	m.Add("requests", 2)
	m.Func("revision", func() any { return uint64(7) })
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var doc struct {
		Hyssoploom struct{ Requests, Revision int }
	}
	if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
		t.Fatal(err)
	}
	if doc.Hyssoploom.Requests != 2 || doc.Hyssoploom.Revision != 7 || m.Get("requests") != 2 {
		t.Errorf("got %+v", doc.Hyssoploom)
	}
}

// Guards against a trace context that is lost between two processes, so that their
// spans belong to different traces.
func TestTraceParent(t *testing.T) {
	var out bytes.Buffer
	tracing, err := NewTracing(t.Context(), ExporterStdout, "", "test", &out)
	if err != nil {
		t.Fatal(err)
	}
	ctx, span := tracing.Tracer.Start(t.Context(), "entry")
	parent := TraceParent(ctx)
	_, child := tracing.Tracer.Start(WithTraceParent(context.Background(), parent), "agent")
	child.End()
	span.End()
	if err := tracing.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if child.SpanContext().TraceID() != span.SpanContext().TraceID() {
		t.Error("the agent's span has another trace id than the entry's")
	}
	if n := strings.Count(out.String(), span.SpanContext().TraceID().String()); n < 2 {
		t.Errorf("the trace id occurs %d times in the exported spans, want at least 2", n)
	}
	if _, err := NewTracing(t.Context(), "paper", "", "test", &out); err == nil {
		t.Error("an unknown exporter was accepted")
	}
}

// Guards against durations that are counted in the wrong bucket or in none.
func TestHistogram(t *testing.T) {
	m := NewMetrics()
	for _, d := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 6 * time.Millisecond, time.Minute} {
		m.Observe("answer", d)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var doc struct {
		Hyssoploom struct {
			Answer struct {
				Buckets []struct {
					Le    int64 `json:"le_ms"`
					Count int64
				}
				Count int64
				Sum   int64 `json:"sum_ms"`
			}
		}
	}
	if err := json.Unmarshal(w.Body.Bytes(), &doc); err != nil {
		t.Fatal(err)
	}
	a := doc.Hyssoploom.Answer
	if len(a.Buckets) != len(latencyBounds) || a.Buckets[0].Count != 2 || a.Buckets[1].Count != 3 || a.Count != 4 || a.Sum != 60012 {
		t.Errorf("got %+v", a)
	}
}
