package gateway

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"hyssoploom/attempt"
	"hyssoploom/telemetry"
)

// trace starts the span of a request, as a child of the client's span if the request
// carries one.
func (c *clientRequest) trace(ctx context.Context) (context.Context, func()) {
	ctx = telemetry.Propagator.Extract(ctx, propagation.HeaderCarrier(c.r.Header))
	ctx, span := c.g.Tracing.Tracer.Start(ctx, "gateway")
	if !span.IsRecording() {
		return ctx, func() {}
	}
	span.SetAttributes(attribute.String("request_id", c.meta.ID), attribute.String("route", c.route.Name))
	if c.workspace != nil {
		span.SetAttributes(attribute.String("workspace", c.workspace.Name))
	}
	return ctx, func() { span.End() }
}

// traceAttempt starts the span of one attempt.
func (c *clientRequest) traceAttempt(ctx context.Context, t *target) (context.Context, func(attempt.Outcome)) {
	ctx, span := c.g.Tracing.Tracer.Start(ctx, "backend server")
	if !span.IsRecording() {
		return ctx, func(attempt.Outcome) {}
	}
	span.SetAttributes(attribute.String("backend_server", t.server.ID), attribute.String("version", t.server.Version),
		attribute.String("model", t.model))
	return ctx, func(o attempt.Outcome) {
		span.SetAttributes(attribute.String("outcome", o.String()))
		span.End()
	}
}

// injectTrace adds the trace context to the headers for the backend server. If the span
// is not recorded, the client's own header is forwarded unchanged.
func injectTrace(ctx context.Context, h http.Header) {
	if trace.SpanFromContext(ctx).IsRecording() {
		telemetry.Propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}
