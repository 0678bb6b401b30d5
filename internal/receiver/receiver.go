// Package receiver serves the HTTP API of an entry instance: completions in the
// format that existing clients use, plain services by route, and the list of
// addresses to use.
//
// # Usage
//
//	handler := receiver.New(receiver.Dependencies{...}).Handler()
//
// Every error response has its outcome in the header Waxwing-Outcome and in the
// body, and a Retry-After header where a retry makes sense.
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

// Configs provides the configuration in force.
type Configs interface {
	Config() *configurer.Config
	// Head reports whether the configuration may be served.
	Head() (configurer.Head, bool)
}

// Members provides this entry instance and all that are alive.
type Members interface {
	Self() gossiper.Member
	Live() []gossiper.Member
}

// Dependencies are the collaborators of a Receiver.
type Dependencies struct {
	Configs    Configs
	Members    Members
	Dispatcher *dispatcher.Dispatcher
	Tracer     trace.Tracer
	Scope      tally.Scope
	// AddressTTL is how long callers may cache the list of addresses.
	AddressTTL time.Duration
}

// Receiver serves the HTTP API for callers.
type Receiver struct {
	Dependencies
}

// New returns a receiver.
func New(d Dependencies) *Receiver { return &Receiver{Dependencies: d} }

// Handler returns the HTTP handler of the API.
func (r *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", r.server(r.complete, r.decodeCompletion(chatFormat), r.encodeCompletion))
	mux.Handle("POST /v1/completions", r.server(r.complete, r.decodeCompletion(textFormat), r.encodeCompletion))
	mux.Handle("GET /v1/models", r.server(r.listModels, r.decodeEmpty, kithttp.EncodeJSONResponse))
	mux.HandleFunc("GET /v1/addresses", r.serveAddresses)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.Handle("/", r.server(r.callService, r.decodeCall, encodeServiceResponse))
	return mux
}

// server returns the HTTP handler of an endpoint, with the middleware that all
// endpoints share.
func (r *Receiver) server(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc, encode kithttp.EncodeResponseFunc) http.Handler {
	e = endpoint.Chain(r.countRequests, r.requireConfig)(e)
	server := kithttp.NewServer(e, decode, encode, kithttp.ServerErrorEncoder(encodeError))
	return r.traceRequests(server)
}
