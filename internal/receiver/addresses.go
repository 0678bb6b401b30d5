package receiver

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// Addresses is the answer to the question which entry instances to use.
type Addresses struct {
	// Addresses are in an order of preference that differs by answer.
	Addresses []netip.AddrPort `json:"addresses"`
	// KeepForMS is how long to keep the answer, in milliseconds.
	KeepForMS int64 `json:"keep_for_ms"`
}

// serveAddresses answers which entry instances to use. It leaves out those
// that are leaving or silent, and spreads callers by a random order.
func (r *Receiver) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	answer := Addresses{
		Addresses: spread(r.Members.Live()),
		KeepForMS: r.KeepAnswer.Milliseconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

func spread(members []gossiper.Member) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		if !m.Leaving && m.ConfigVersion > 0 {
			addresses = append(addresses, m.Caller)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses
}

func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	_, serving := r.Configs.Head()
	if !serving || r.Members.Self().Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// modelList is the answer to the question which models there are.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (r *Receiver) models(_ context.Context, _ any) (any, error) {
	list := modelList{Object: "list", Data: []model{}}
	for name := range r.Configs.Config().Models {
		list.Data = append(list.Data, model{ID: name, Object: "model"})
	}
	slices.SortFunc(list.Data, func(a, b model) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list, nil
}
