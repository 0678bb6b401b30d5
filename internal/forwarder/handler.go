package forwarder

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// defaultMaxBodyBytes bounds a request's body before there is a configuration.
	defaultMaxBodyBytes = 4 << 20
	// bodyRefusalLinesPerSecond bounds the log lines about bodies that are refused.
	bodyRefusalLinesPerSecond = 5
)

// Handler returns the HTTP handler for callers.
func (f *Forwarder) Handler() http.Handler {
	server := kithttp.NewServer(f.endpoint, f.decode, f.encode,
		kithttp.ServerErrorEncoder(f.encodeError),
		kithttp.ServerBefore(withRequestHeader))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.shouldCloseConnections() {
			w.Header().Set("Connection", "close")
		}
		server.ServeHTTP(w, r)
	})
}

func (f *Forwarder) shouldCloseConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keepAlivesDisabled
}

type requestHeaderKey struct{}

// withRequestHeader adds the caller's header to the context, where encodeError
// reads the request ID.
func withRequestHeader(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, requestHeaderKey{}, r.Header)
}

func (f *Forwarder) endpoint(ctx context.Context, request any) (any, error) {
	return f.Forward(ctx, request.(*Request))
}

// decode reads a request with its whole body.
func (f *Forwarder) decode(ctx context.Context, r *http.Request) (any, error) {
	limit := int64(defaultMaxBodyBytes)
	if config := f.Observer.Config(); config != nil && config.Limits.BodyBytes > 0 {
		limit = config.Limits.BodyBytes
	}
	body, err := server.ReadBody(r, limit)
	if err != nil {
		return nil, bodyRefusal(ctx, err)
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return &Request{
		RequestMetadata: f.Codec.ParseRequest(r.Header),
		Host:            host,
		Method:          r.Method,
		Target:          r.RequestURI,
		Path:            r.URL.EscapedPath(),
		Header:          r.Header,
		Body:            body,
		Arrived:         clocker.Now(),
	}, nil
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(ctx context.Context, err error) *Refusal {
	refusal := &Refusal{Op: "decode", Kind: KindMalformed, Outcome: retrier.NotRun, Err: err}
	kind, known := faulter.KindOf[server.Kind](err)
	switch {
	case ctx.Err() != nil:
		// The process ends before the whole request has arrived.
		refusal = shuttingDown("decode")
		refusal.Err = err
	case known && kind == server.KindTooLarge:
		refusal.Kind = KindTooLarge
	case known && kind == server.KindTooSlow:
		refusal.Kind = KindTooSlow
	case known && kind == server.KindNoMemory:
		refusal.Kind, refusal.RetryAfter = KindNoMemory, jitter(defaultRetryAfter)
	}
	return refusal
}

// isOfBody reports whether a request is refused before its body has been read.
func (r *Refusal) isOfBody() bool {
	return slices.Contains([]Kind{KindTooLarge, KindTooSlow, KindNoMemory, KindMalformed}, r.Kind)
}

// encode writes a response to its caller.
func (f *Forwarder) encode(_ context.Context, w http.ResponseWriter, response any) error {
	result := response.(*Response)
	defer result.memory.Close()
	header := w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	if result.stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(result.Body)))
		w.WriteHeader(result.Status)
		_, err := w.Write(result.Body)
		return logWriteError(err)
	}
	w.WriteHeader(result.Status)
	return logWriteError(result.relay(w))
}

// logWriteError logs the failure to write to a caller and returns nil: the
// caller has disconnected, so no error response can reach it.
func logWriteError(err error) error {
	if err != nil {
		log.WithError(err).Debug("could not write the response; the caller has disconnected")
	}
	return nil
}

// encodeError writes a refusal to its caller.
func (f *Forwarder) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = &Refusal{Op: "forward", Kind: KindFailed, Outcome: retrier.MayHaveRun, Err: err}
	}
	id := ""
	if header, found := ctx.Value(requestHeaderKey{}).(http.Header); found {
		id = f.Codec.ParseRequest(header).ID
		f.Codec.SetRequestID(w.Header(), id)
	}
	status := refusal.Status()
	f.metrics.recordRefusal(refusal)
	f.logRefusal(id, status, refusal)
	if refusal.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// logRefusal logs a refusal. Those of bodies are caused by callers alone, and there may be any
// number of them.
func (f *Forwarder) logRefusal(id string, status int, refusal *Refusal) {
	if refusal.isOfBody() && !f.bodyRefusalLines.Allow() {
		return
	}
	line := log.WithFields(log.Fields{
		logger.FieldRequest: id, "route": refusal.Route, logger.FieldService: refusal.Service, logger.FieldModel: refusal.Model, "lanes": refusal.Upstreams, logger.FieldKind: refusal.Kind.String(), logger.FieldOutcome: refusal.Outcome.String(), "status": status,
		"retry_after": refusal.RetryAfter.String(), "config_age": f.Observer.ConfigAge().Round(time.Millisecond).String(),
	})
	if config := f.Observer.Config(); config != nil {
		line = line.WithField(logger.FieldConfigVersion, config.Version)
	}
	if refusal.Kind == KindNoServer {
		line = line.WithField(logger.FieldServers, f.verdicts(poolKey{service: refusal.Service, model: refusal.Model}))
	}
	if refusal.Err != nil {
		line = line.WithError(refusal.Err)
	}
	line.Info(logger.LineRefused)
}
