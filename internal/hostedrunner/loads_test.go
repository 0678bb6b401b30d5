package hostedrunner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingmount/waxwingmount/internal/relayer"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// TestLoadMessagesAtSize guards against load messages that grow with the number of entry
// instances: with 295 and 390 of them in five data centres an instance sends at most 200 a
// second, and receives at most 400, also as a collector.
func TestLoadMessagesAtSize(t *testing.T) {
	const (
		dataCentres = 5
		maxSent     = 200
		maxReceived = 400
	)
	for _, n := range []int{9, 30, 89, 100, 295, 390} {
		var members []gossiper.Member
		for i := range n {
			members = append(members, gossiper.Member{ID: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprint("hall-", i%dataCentres)})
		}
		sent, received := make(map[string]float64), make(map[string]float64)
		send := func(from string, to []gossiper.Member, perSecond float64) {
			for _, m := range to {
				sent[from] += perSecond
				received[m.ID] += perSecond
			}
		}
		for _, self := range members {
			all, _ := gossiper.Without(members, self.ID)
			local := gossiper.InDataCentre(all, self.DataCentre)
			collectors, own := gossiper.Without(relayer.Relays(append(local, self)), self.ID)
			recipients := all
			if len(all) > maxLoadRecipients {
				recipients = local
			}
			switch {
			case len(local) <= maxDirectLoadPeers:
				interval := max(minLoadInterval.Seconds(), float64(len(recipients))/loadMessagesPerSecond)
				send(self.ID, recipients, 1/interval)
			case own:
				send(self.ID, collectors, 1/collectInterval.Seconds())
			default:
				send(self.ID, gossiper.Rotate(collectors, self.ID)[:1], 1/collectInterval.Seconds())
			}
			if len(all) > maxLoadRecipients && (own || len(local) <= maxDirectLoadPeers) {
				send(self.ID, remoteRecipients(all, self.DataCentre), 1/remoteLoadInterval.Seconds())
			}
		}
		for _, m := range members {
			assert.Assert(t, sent[m.ID] <= maxSent, "%d instances: %s sends %.0f a second", n, m.ID, sent[m.ID])
			assert.Assert(t, received[m.ID] <= maxReceived, "%d instances: %s receives %.0f a second", n, m.ID, received[m.ID])
		}
	}
}

// TestRemoteLoadReachesCollectors guards against the load of another data centre that
// reaches instances which do not pass it on.
func TestRemoteLoadReachesCollectors(t *testing.T) {
	var members []gossiper.Member
	for i := range 120 {
		members = append(members, gossiper.Member{ID: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprint("hall-", i%2)})
	}
	there := relayer.Relays(gossiper.InDataCentre(members, "hall-1"))
	for range 50 {
		chosen := remoteRecipients(members, "hall-0")
		assert.Equal(t, len(chosen), 1)
		assert.Assert(t, slices.Contains(there, chosen[0]))
	}
}
