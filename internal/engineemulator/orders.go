package engineemulator

import (
	"encoding/json"
	"net/http"

	"github.com/waxwingmount/waxwingmount/pkg/reconciler"
)

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(e.Report())
}

// serveLeave makes the engine report that it is leaving.
func (e *Engine) serveLeave(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.report.Leaving = true
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order reconciler.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	accepted := e.applyOrder(order)
	e.recorder.Record(ServerEvent{
		Kind: EventOrder, Instance: order.Instance, Incarnation: order.Incarnation,
		Group: order.Group, Fence: order.Fence, Refused: !accepted,
	})
	if !accepted {
		http.Error(w, "order refused", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder applies an order and reports whether it was accepted. An order to form
// the current group under the current fence is accepted without effect.
func (e *Engine) applyOrder(order reconciler.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.fencing && (order.Fence < e.report.Fence || order.Incarnation != e.report.Incarnation) {
		return false
	}
	alreadyApplied := order.Group == e.report.Group && order.Fence == e.report.Fence
	if order.Action == reconciler.ActionForm && alreadyApplied {
		return true
	}
	e.generation++
	e.report.Fence = order.Fence
	e.report.Group = order.Group
	e.report.Model = order.Model
	e.report.ModelVersion = order.ModelVersion
	e.report.Phase = reconciler.PhaseIdle
	e.members = order.Members
	e.memberLost = false
	if order.Action == reconciler.ActionForm {
		e.report.Phase = reconciler.PhaseLoading
		go e.runModelLoad(order)
	}
	return true
}
