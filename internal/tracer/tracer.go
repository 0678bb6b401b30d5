// Package tracer writes trace spans to a file as lines of JSON, so that they can
// be read without a tracing service.
//
// # Usage
//
//	provider, err := tracer.Open("trace.jsonl", "entry-1")
//	defer provider.Shutdown(ctx)
//	tracer := provider.Tracer("waxwingmount")
package tracer

import (
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

const fileMode = 0o644

// Open returns a tracer provider that appends spans to the file at path, or that
// drops them if path is empty. process is the service.name of each span.
func Open(path, process string) (*sdktrace.TracerProvider, error) {
	if path == "" {
		return sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, err
	}
	attributes := resource.NewSchemaless(attribute.String("service.name", process))
	return sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(attributes)), nil
}
