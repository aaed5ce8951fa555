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

// Exporter is the kind of destination that spans are exported to.
type Exporter string

// The span exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// Propagator reads and writes W3C trace context.
var Propagator = propagation.TraceContext{}

// Tracing holds the tracer of one process and controls the provider behind it.
type Tracing struct {
	Tracer   trace.Tracer
	flush    func(context.Context) error
	shutdown func(context.Context) error
}

// NoTracing returns a Tracing whose tracer is a no-op.
func NoTracing() *Tracing {
	return &Tracing{
		Tracer:   noop.NewTracerProvider().Tracer("hyssoploom"),
		flush:    func(context.Context) error { return nil },
		shutdown: func(context.Context) error { return nil },
	}
}

// NewTracing starts a tracer provider for one process. endpoint is the URL of an OTLP
// collector and used only with ExporterOTLP; stdout is used only with ExporterStdout.
func NewTracing(ctx context.Context, exporter Exporter, endpoint, process string, stdout io.Writer) (*Tracing, error) {
	var spanExporter sdktrace.SpanExporter
	var err error
	switch exporter {
	case ExporterNone, "":
		return NoTracing(), nil
	case ExporterStdout:
		spanExporter, err = stdouttrace.New(stdouttrace.WithWriter(stdout))
	case ExporterOTLP:
		spanExporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		err = fmt.Errorf("unknown exporter %q", exporter)
	}
	if err != nil {
		return nil, eris.Wrap(err, "set up tracing")
	}
	return NewTracingWithExporter(spanExporter, process), nil
}

// NewTracingWithExporter returns a Tracing that exports its spans in batches through
// exporter.
func NewTracingWithExporter(exporter sdktrace.SpanExporter, process string) *Tracing {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	)
	return &Tracing{Tracer: provider.Tracer("hyssoploom"), flush: provider.ForceFlush, shutdown: provider.Shutdown}
}

// Flush exports the spans that have ended so far.
func (t *Tracing) Flush(ctx context.Context) error { return t.flush(ctx) }

// Shutdown exports the spans that are still buffered and stops the provider.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// TraceParent returns the W3C traceparent header value of the span in ctx, or "" if
// there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	Propagator.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// WithTraceParent returns ctx with the remote span context of a traceparent value. If
// the value is empty, it returns ctx unchanged.
func WithTraceParent(ctx context.Context, traceParent string) context.Context {
	if traceParent == "" {
		return ctx
	}
	return Propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceParent})
}
