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

// trace begins the span of a request, as a part of the caller's trace if it has
// one.
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

// traceAttempt begins the span of one attempt.
func (c *clientRequest) traceAttempt(t *target) (context.Context, func(attempt.Outcome)) {
	ctx, span := c.g.Tracing.Tracer.Start(c.ctx, "backend server")
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

// injectTrace tells the backend server which span its work belongs to. Without a
// span that is recorded, the caller's own header is passed on as it is.
func injectTrace(ctx context.Context, h http.Header) {
	if trace.SpanFromContext(ctx).IsRecording() {
		telemetry.Propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}
