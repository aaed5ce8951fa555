package telemetry

import (
	"context"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporter names where spans go.
type Exporter string

// The span exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// Propagator reads and writes W3C trace context.
var Propagator = propagation.TraceContext{}

// Tracing owns a tracer provider.
type Tracing struct {
	Tracer   trace.Tracer
	flush    func(context.Context) error
	shutdown func(context.Context) error
}

// NoTracing returns a Tracing that records nothing.
func NoTracing() *Tracing {
	return &Tracing{
		Tracer:   noop.NewTracerProvider().Tracer("hyssoploom"),
		flush:    func(context.Context) error { return nil },
		shutdown: func(context.Context) error { return nil },
	}
}

// NewTracing starts a tracer provider for one process. Endpoint is the URL of
// an OTLP collector and only used with ExporterOTLP.
func NewTracing(ctx context.Context, exporter Exporter, endpoint, process string, stdout io.Writer) (*Tracing, error) {
	var spans sdktrace.SpanExporter
	var err error
	switch exporter {
	case ExporterNone, "":
		return NoTracing(), nil
	case ExporterStdout:
		spans, err = stdouttrace.New(stdouttrace.WithWriter(stdout))
	case ExporterOTLP:
		spans, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		err = fmt.Errorf("unknown exporter %q", exporter)
	}
	if err != nil {
		return nil, eris.Wrap(err, "set up tracing")
	}
	return NewTracingWithExporter(spans, process), nil
}

// NewTracingWithExporter returns a Tracing that hands its spans to the exporter.
func NewTracingWithExporter(spans sdktrace.SpanExporter, process string) *Tracing {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(spans),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	)
	return &Tracing{Tracer: provider.Tracer("hyssoploom"), flush: provider.ForceFlush, shutdown: provider.Shutdown}
}

// Flush sends the spans that have ended so far.
func (t *Tracing) Flush(ctx context.Context) error { return t.flush(ctx) }

// Shutdown sends the spans that are still buffered.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// TraceParent returns the W3C traceparent value of the span in ctx, or "".
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	Propagator.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// WithTraceParent returns ctx with the remote span of a traceparent value.
func WithTraceParent(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	return Propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceParent})
}
