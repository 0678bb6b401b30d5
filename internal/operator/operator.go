// Package operator is the operators' side of an entry instance: it accepts
// configurations, changes replica groups, drains entry instances and reports
// how all stands.
//
// # Usage
//
//	handler := operator.New(operator.Dependencies{...}).Handler()
//
// Every call needs the operators' bearer token where the settings have one.
package operator

import (
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
	"github.com/waxwingmount/waxwingmount/internal/syncer"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind sorts the failures of this package.
type Kind int

// Kinds of failure.
const (
	// KindInvalid says that the call makes no sense.
	KindInvalid Kind = iota
	// KindConflict says that another change came first.
	KindConflict
	// KindUnavailable says that the platform did not answer in time.
	KindUnavailable
	// KindForbidden says that the token is missing or wrong.
	KindForbidden
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

// callTimeout bounds one operator's call.
const callTimeout = 5 * time.Second

// Dependencies are what an Operator works with.
type Dependencies struct {
	Platform   provider.Platform
	Follower   *syncer.Syncer
	Introducer *discoverer.Discoverer
	Prober     *prober.Prober
	Controller *controller.Controller
	Pool       *messenger.Pool
	// Leave makes this entry instance stop gracefully.
	Leave func()
	// Metrics serves the scrape page.
	Metrics http.Handler
	// Token is the operators' secret; empty is none.
	Token string
}

// Operator serves operators.
type Operator struct {
	Dependencies
}

// New returns an operator's interface.
func New(d Dependencies) *Operator { return &Operator{Dependencies: d} }

// Handler returns the HTTP interface for operators.
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

// handle makes a handler of a function from a typed call to a typed answer.
func handle[Call, Answer any](f func(context.Context, Call) (Answer, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		var call Call
		if r.Method == http.MethodPost {
			if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
				writeError(w, faulter.New("decode call", KindInvalid, err))
				return
			}
		}
		answer, err := f(ctx, call)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	})
}

// ErrorBody is the body of a call that failed.
type ErrorBody struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
}

func writeError(w http.ResponseWriter, err error) {
	kind, status := classify(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(ErrorBody{Error: err.Error(), Kind: kind.String()})
}

// classify sorts an error of this package or of the platform.
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

// Nothing is a call without arguments, or an answer without content.
type Nothing struct{}
