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

// AddressList is the response body that lists the entry instances to use.
type AddressList struct {
	// Addresses are in order of preference, which is random in each response.
	Addresses []netip.AddrPort `json:"addresses"`
	// CacheForMS is how long to cache the list, in milliseconds.
	CacheForMS int64 `json:"keep_for_ms"`
}

// serveAddresses lists the live entry instances that are not shutting down and
// have a configuration. The order is random, to balance callers over them.
func (r *Receiver) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	response := AddressList{
		Addresses:  shuffledAddresses(r.Members.Live()),
		CacheForMS: r.AddressTTL.Milliseconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(response)
}

// shuffledAddresses returns the addresses of the members that may be used, in
// random order.
func shuffledAddresses(members []gossiper.Member) []netip.AddrPort {
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

// serveReady reports whether this entry instance accepts requests: it has a
// configuration that may be served and is not shutting down.
func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	_, serving := r.Configs.Head()
	if !serving || r.Members.Self().Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// modelList is the response body that lists the models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (r *Receiver) listModels(_ context.Context, _ any) (any, error) {
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
