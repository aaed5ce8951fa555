package gateway_test

import (
	"testing"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"hyssoploom/gateway"
	"hyssoploom/platform/fake"
	"hyssoploom/settings"
	"hyssoploom/telemetry"
)

// Guards against hops without a span, spans that belong to no trace, and traces that
// end at the gateway.
func TestSpanPerHop(t *testing.T) {
	store := newStore(t)
	first := fake.NewBackendServer(t, "i-1", fake.RespondNotRun(503))
	second := fake.NewBackendServer(t, "i-2", fake.Respond(200, "hello"))
	register(store, "app", ownDC, first)
	register(store, "app", otherRegionDC, second)
	spans := tracetest.NewInMemoryExporter()
	tracing := telemetry.NewTracingWithExporter(spans, "e1")
	e := startAt(t, store, "e1", ownDC, func(_ *settings.Gateway, d *gateway.Deps) { d.Tracing = tracing })
	e.awaitServers(2)
	const traceID, parent = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	if a := e.send("POST", "/look/a", "x", "X-Request-Id", "traced", "Traceparent", "00-"+traceID+"-"+parent+"-01"); a.status != 200 {
		t.Fatalf("status %d", a.status)
	}
	// Flushing exports the spans; a shutdown would clear the in-memory exporter.
	if err := tracing.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	var request, attempts tracetest.SpanStubs
	for _, s := range spans.GetSpans() {
		if got := s.SpanContext.TraceID().String(); got != traceID {
			t.Errorf("span %q belongs to trace %s", s.Name, got)
		}
		switch s.Name {
		case "gateway":
			request = append(request, s)
		case "backend server":
			attempts = append(attempts, s)
		}
	}
	if len(request) != 1 || len(attempts) != 2 {
		t.Fatalf("%d spans of the request and %d of attempts, want 1 and 2", len(request), len(attempts))
	}
	if request[0].Parent.SpanID().String() != parent {
		t.Errorf("the request's span has the parent %s", request[0].Parent.SpanID())
	}
	for i, want := range []struct {
		server, outcome string
		backendServer   *fake.BackendServer
	}{{"i-1", "not_run", first}, {"i-2", "delivered", second}} {
		s := attempts[i]
		if s.Parent.SpanID() != request[0].SpanContext.SpanID() {
			t.Errorf("the span of attempt %d is not a child of the request's span", i)
		}
		set := attribute.NewSet(s.Attributes...)
		if v, _ := set.Value("backend_server"); v.AsString() != want.server {
			t.Errorf("attempt %d was sent to %s", i, v.AsString())
		}
		if v, _ := set.Value("outcome"); v.AsString() != want.outcome {
			t.Errorf("attempt %d has the outcome %s", i, v.AsString())
		}
		header := want.backendServer.Requests()[0].Header.Get("Traceparent")
		if wanted := "00-" + traceID + "-" + s.SpanContext.SpanID().String() + "-01"; header != wanted {
			t.Errorf("backend server %s received the traceparent %q, want %q", want.server, header, wanted)
		}
	}
}
