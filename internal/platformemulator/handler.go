package platformemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// DefaultLoadsPerSecond is the number of model loads per second that the weight
// store serves.
const DefaultLoadsPerSecond = 50

// Handler serves a [Store] and the weight store over HTTP.
type Handler struct {
	store       *Store
	loadLimiter *rate.Limiter
	mux         *http.ServeMux
}

// NewHandler returns a handler of store.
func NewHandler(store *Store) *Handler {
	h := &Handler{
		store:       store,
		loadLimiter: rate.NewLimiter(DefaultLoadsPerSecond, 1),
		mux:         http.NewServeMux(),
	}
	h.mux.HandleFunc("GET /table/row", h.readRow)
	h.mux.HandleFunc("GET /table/rows", h.scanRows)
	h.mux.HandleFunc("POST /table/commit", h.commit)
	h.mux.HandleFunc("GET /table/counts", h.readCounts)
	h.mux.HandleFunc("GET /objects", h.getObject)
	h.mux.HandleFunc("PUT /objects", h.putObject)
	h.mux.HandleFunc("GET /instances", h.listInstances)
	h.mux.HandleFunc("PUT /instances", h.putInstance)
	h.mux.HandleFunc("DELETE /instances", h.deleteInstance)
	h.mux.HandleFunc("GET /weights", h.loadWeights)
	return h
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) readRow(w http.ResponseWriter, r *http.Request) {
	row, err := h.store.Read(r.Context(), r.URL.Query().Get("key"))
	writeResponse(w, row, err)
}

func (h *Handler) scanRows(w http.ResponseWriter, r *http.Request) {
	rows, err := h.store.Scan(r.Context(), r.URL.Query().Get("prefix"))
	writeResponse(w, rows, err)
}

func (h *Handler) commit(w http.ResponseWriter, r *http.Request) {
	var tx provider.Transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		writeResponse(w, nil, faulter.New("commit", provider.KindInvalid, err))
		return
	}
	outcome, err := h.store.Commit(r.Context(), tx)
	writeResponse(w, outcome, err)
}

// tableCounts is the response to GET /table/counts.
type tableCounts struct {
	Commits uint64 `json:"commits"`
	Reads   uint64 `json:"reads"`
}

func (h *Handler) readCounts(w http.ResponseWriter, _ *http.Request) {
	commits, reads := h.store.Counts()
	writeResponse(w, tableCounts{Commits: commits, Reads: reads}, nil)
}

func (h *Handler) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := h.store.GetObject(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	w.Write(data)
}

func (h *Handler) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeResponse(w, nil, faulter.New("put object", provider.KindInvalid, err))
		return
	}
	writeResponse(w, struct{}{}, h.store.PutObject(r.Context(), r.URL.Query().Get("name"), data))
}

func (h *Handler) listInstances(w http.ResponseWriter, r *http.Request) {
	instances, err := h.store.ListInstances(r.Context())
	writeResponse(w, instances, err)
}

func (h *Handler) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance provider.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		writeResponse(w, nil, faulter.New("put instance", provider.KindInvalid, err))
		return
	}
	h.store.PutInstance(instance)
	writeResponse(w, struct{}{}, nil)
}

func (h *Handler) deleteInstance(w http.ResponseWriter, r *http.Request) {
	h.store.DeleteInstance(r.URL.Query().Get("id"))
	writeResponse(w, struct{}{}, nil)
}

func (h *Handler) loadWeights(w http.ResponseWriter, r *http.Request) {
	if err := h.loadLimiter.Wait(r.Context()); err != nil {
		writeResponse(w, nil, faulter.New("load weights", provider.KindUnavailable, err))
		return
	}
	w.Header().Set("Weights-Bytes", strconv.Itoa(1<<20))
	writeResponse(w, struct{}{}, nil)
}

func writeResponse(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), httpStatus(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}

func httpStatus(err error) int {
	kind, _ := faulter.KindOf[provider.Kind](err)
	switch kind {
	case provider.KindNotFound:
		return http.StatusNotFound
	case provider.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
