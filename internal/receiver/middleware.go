package receiver

import (
	"context"
	"net/http"

	"github.com/go-kit/kit/endpoint"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// countRequests counts the requests to an endpoint by result.
func (r *Receiver) countRequests(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		kind := "ok"
		if err != nil {
			kind = problemOf(err).Code
		}
		r.Scope.Tagged(map[string]string{"result": kind}).Counter("requests").Inc(1)
		return response, err
	}
}

// requireConfig refuses requests while there is no configuration to serve.
func (r *Receiver) requireConfig(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if _, serving := r.Configs.Head(); !serving {
			return nil, problemf(http.StatusServiceUnavailable, "not_ready", "this entry instance has no configuration yet")
		}
		return next(ctx, request)
	}
}

// traceRequests adds a server span, as a child of the caller's trace context.
func (r *Receiver) traceRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		ctx := propagation.TraceContext{}.Extract(request.Context(), propagation.HeaderCarrier(request.Header))
		ctx, span := r.Tracer.Start(ctx, "receive", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("path", request.URL.Path)))
		defer span.End()
		next.ServeHTTP(w, request.WithContext(ctx))
	})
}
