package dialect

import (
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracingTransport adds the W3C trace context of a request's span to its headers.
type tracingTransport struct{ base http.RoundTripper }

// RoundTrip sends the request, with trace headers if its context has a span.
func (t tracingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if trace.SpanContextFromContext(req.Context()).IsValid() {
		req = req.Clone(req.Context())
		propagation.TraceContext{}.Inject(req.Context(), propagation.HeaderCarrier(req.Header))
	}
	return t.base.RoundTrip(req)
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t tracingTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
