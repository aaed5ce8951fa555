package dialect

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Guards against outgoing requests that do not carry the trace context.
func TestCallsCarryTraceContext(t *testing.T) {
	got := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("Traceparent")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	rater, err := NewHTTPRater(server.URL, 0)
	if err != nil {
		t.Fatal(err)
	}
	calls := map[string]func(context.Context){
		"store":  func(ctx context.Context) { _, _ = NewHTTPStore(server.URL).Get(ctx, "config/model/x") },
		"rater":  func(ctx context.Context) { _, _ = rater.Rate(ctx, RateRequest{RequestID: "r"}) },
		"engine": func(ctx context.Context) { _, _ = NewHTTPEngine(server.URL, nil).Status(ctx) },
		"service": func(ctx context.Context) {
			_, _ = NewHTTPService(server.URL, nil).Call(ctx, ServiceRequest{Method: "GET", Path: "/"})
		},
	}
	for name, call := range calls {
		ctx, span := sdktrace.NewTracerProvider().Tracer("test").Start(t.Context(), "caller")
		call(ctx)
		want := "00-" + span.SpanContext().TraceID().String() + "-" + span.SpanContext().SpanID().String() + "-01"
		if header := <-got; header != want {
			t.Errorf("%s sent traceparent %q, want %q", name, header, want)
		}
		span.End()
		call(t.Context())
		if header := <-got; header != "" {
			t.Errorf("%s without a span sent traceparent %q", name, header)
		}
	}
}
