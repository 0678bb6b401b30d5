// Package receiver is the callers' side of an entry instance: the completion
// API in the shape that existing clients know, plain services by route, and
// the question which addresses to use.
//
// # Usage
//
//	handler := receiver.New(receiver.Dependencies{...}).Handler()
//
// Every refusal carries its outcome in the header Waxwing-Outcome and in the
// error body, and Retry-After where coming back makes sense.
package receiver

import (
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/waxwingmount/waxwingmount/internal/dispatcher"
	"github.com/waxwingmount/waxwingmount/pkg/configurer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// Configs gives the configuration in force, and whether it may be served.
type Configs interface {
	Config() *configurer.Config
	Head() (configurer.Head, bool)
}

// Members gives the entry instances.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Dependencies are what a Receiver works with.
type Dependencies struct {
	Configs    Configs
	Members    Members
	Dispatcher *dispatcher.Dispatcher
	Tracer     trace.Tracer
	Scope      tally.Scope
	// KeepAnswer is how long callers keep the answer with the addresses.
	KeepAnswer time.Duration
}

// Receiver serves callers.
type Receiver struct {
	Dependencies
}

// New returns a receiver.
func New(d Dependencies) *Receiver { return &Receiver{Dependencies: d} }

// Handler returns the HTTP interface for callers.
func (r *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", r.server(r.complete, r.decodeCompletion(chatShape), r.encodeCompletion))
	mux.Handle("POST /v1/completions", r.server(r.complete, r.decodeCompletion(textShape), r.encodeCompletion))
	mux.Handle("GET /v1/models", r.server(r.models, r.decodeNothing, kithttp.EncodeJSONResponse))
	mux.HandleFunc("GET /v1/addresses", r.serveAddresses)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.Handle("/", r.server(r.call, r.decodeCall, encodeAnswer))
	return mux
}

// server joins an endpoint to HTTP with what all endpoints share.
func (r *Receiver) server(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc, encode kithttp.EncodeResponseFunc) http.Handler {
	e = endpoint.Chain(r.measure, r.requireConfig)(e)
	server := kithttp.NewServer(e, decode, encode, kithttp.ServerErrorEncoder(encodeError))
	return r.trace(server)
}
