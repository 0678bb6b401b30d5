// Package operator serves the operators' HTTP API of an entry instance: it
// accepts configurations, changes replica groups, drains entry instances and
// reports the system's status.
//
// # Usage
//
//	handler := operator.New(operator.Dependencies{...}).Handler()
//
// Every request needs the operators' bearer token if the settings have one.
package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingmount/waxwingmount/internal/controller"
	"github.com/waxwingmount/waxwingmount/internal/discoverer"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/prober"
	"github.com/waxwingmount/waxwingmount/internal/server"
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of error.
const (
	// KindInvalid means that the request is invalid.
	KindInvalid Kind = iota
	// KindConflict means that another change was committed first.
	KindConflict
	// KindUnavailable means that the platform did not respond in time.
	KindUnavailable
	// KindForbidden means that the token is missing or wrong.
	KindForbidden
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	// requestTimeout is the timeout of one operator's request.
	requestTimeout = 5 * time.Second
	// MaxBodyBytes bounds the body of an operator's request.
	MaxBodyBytes = 8 << 20
)

// Dependencies are the collaborators of an Operator.
type Dependencies struct {
	Platform   provider.Platform
	Syncer     *syncer.Syncer
	Discoverer *discoverer.Discoverer
	Prober     *prober.Prober
	Controller *controller.Controller
	Pool       *messenger.Pool
	// BeginShutdown starts the graceful shutdown of this entry instance.
	BeginShutdown func()
	// Metrics serves the Prometheus metrics.
	Metrics http.Handler
	// Token is the bearer token of operators; empty means that none is needed.
	Token string
}

// Operator serves the operators' HTTP API.
type Operator struct {
	Dependencies
}

// New returns an Operator with the given dependencies.
func New(d Dependencies) *Operator { return &Operator{Dependencies: d} }

// Handler returns the handler of the operators' HTTP API.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /operator/config", handle(o.applyConfig))
	mux.Handle("GET /operator/config", handle(o.configStatus))
	mux.Handle("GET /operator/config/history", handle(o.configHistory))
	mux.Handle("GET /operator/groups", handle(o.listGroups))
	mux.Handle("POST /operator/groups", handle(o.createGroup))
	mux.Handle("POST /operator/groups/drain", handle(o.drainGroup))
	mux.Handle("POST /operator/groups/delete", handle(o.deleteGroup))
	mux.Handle("GET /operator/entries", handle(o.listEntries))
	mux.Handle("POST /operator/entries/drain", handle(o.drainEntry))
	mux.Handle("GET /operator/status", handle(o.status))
	mux.Handle("GET /metrics", o.Metrics)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	return o.authorise(mux)
}

func (o *Operator) authorise(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if o.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(o.Token)) != 1 {
			writeError(w, faulter.Newf("authorise", KindForbidden, "the operator token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handle returns a handler that decodes the request from JSON, calls f and encodes
// its result as JSON.
func handle[Request, Response any](f func(context.Context, Request) (Response, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		var request Request
		if r.Method == http.MethodPost {
			if err := decode(r, &request); err != nil {
				writeError(w, err)
				return
			}
		}
		response, err := f(ctx, request)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(response)
	})
}

// decode decodes the body of a call.
func decode(r *http.Request, request any) error {
	const op = "decode call"
	data, err := server.ReadBody(r, MaxBodyBytes)
	if kind, known := faulter.KindOf[server.Kind](err); known && kind == server.KindNoMemory {
		return faulter.New(op, KindUnavailable, err)
	}
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(data)).Decode(request)
	}
	if err != nil {
		return faulter.New(op, KindInvalid, err)
	}
	return nil
}

// ErrorResponse is the response body of a request that failed.
type ErrorResponse struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

func writeError(w http.ResponseWriter, err error) {
	kind, status := classify(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(ErrorResponse{Error: err.Error(), Kind: kind.String()})
}

// classify returns the kind and HTTP status for an error of this package or of
// the platform.
func classify(err error) (Kind, int) {
	kind, found := faulter.KindOf[Kind](err)
	if platformKind, platform := faulter.KindOf[provider.Kind](err); !found && platform && platformKind == provider.KindUnavailable {
		kind = KindUnavailable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		kind = KindUnavailable
	}
	switch kind {
	case KindConflict:
		return kind, http.StatusConflict
	case KindUnavailable:
		return kind, http.StatusServiceUnavailable
	case KindForbidden:
		return kind, http.StatusForbidden
	default:
		return KindInvalid, http.StatusBadRequest
	}
}

// Empty is a request without arguments, or a response without content.
type Empty struct{}
