package apportioner

import (
	"math"
	"time"
)

const (
	// moveHorizon is the time over which a move must pay, the load of the weights
	// included.
	moveHorizon = 20 * time.Second
	// moveRatio is how many requests a move must save for each one that it costs.
	moveRatio = 2
	// loadMargin is the fraction by which the loads of a very short observation, which
	// may have seen a peak only, are assumed to be too small for the giving model and
	// too large for the receiving one. It falls to zero as the averages fill.
	loadMargin = 1
	// minMoveGain is the smallest saving of a move, as a fraction of the receiving
	// model's requests over moveHorizon.
	minMoveGain = 0.005
	// maxMoves is the largest number of moves proposed at a time.
	maxMoves = 2
	// reverseDelay is how long after a move was proposed none goes the opposite way.
	reverseDelay = 30 * time.Second
	// drainTime is the usual time until a group that ends has finished its requests.
	drainTime = 2 * time.Second
)

// candidate is a move with its balance of requests.
type candidate struct {
	from, to int
	// given and received are the numbers of groups that end and that are formed.
	given, received int
	balance         float64
}

// moves returns the moves that pay, the best first. Each is judged with those before
// it carried out.
func (a *Apportioner) moves(now time.Time, instances int, loads []load) []Move {
	counts := make([]int, len(loads))
	staged := make([]int, len(loads))
	for i, l := range loads {
		counts[i], staged[i] = l.model.groups(), l.model.Staged
	}
	least := minimum(float64(instances), loads)
	margin := 1 + loadMargin*(1-a.span.Seconds()/averageTime.Seconds())
	var chosen []Move
	for len(chosen) < maxMoves {
		best, found := a.bestMove(now, loads, counts, staged, least, margin)
		if !found {
			break
		}
		from, to := loads[best.from].model, loads[best.to].model
		chosen = append(chosen, Move{From: from.Name, To: to.Name, Groups: best.given})
		a.proposedAt[direction{from.Name, to.Name}] = now
		counts[best.from] -= best.given
		counts[best.to] += best.received
		staged[best.to] -= best.received * to.Size
	}
	return chosen
}

// bestMove returns the move with the largest balance.
func (a *Apportioner) bestMove(now time.Time, loads []load, counts, staged, least []int, margin float64) (candidate, bool) {
	var best candidate
	found := false
	for from, donor := range loads {
		for to, receiver := range loads {
			reversed, proposed := a.proposedAt[direction{receiver.model.Name, donor.model.Name}]
			if from == to || receiver.mean == 0 || proposed && now.Sub(reversed) < reverseDelay {
				continue
			}
			c := candidate{from: from, to: to}
			c.given, c.received = exchange(donor.model.Size, receiver.model.Size)
			if counts[from]-c.given < max(1, least[from]) {
				continue
			}
			loadTime := receiver.model.Load
			if staged[to] >= c.received*receiver.model.Size {
				loadTime = receiver.model.Warm
			}
			gain := receiver.scaled(1/margin).gain(counts[to], c.received, loadTime)
			loss := donor.scaled(margin).lossOf(counts[from], c.given)
			c.balance = gain - moveRatio*loss
			if c.balance < 0 || gain < minMoveGain*receiver.arrived*moveHorizon.Seconds() {
				continue
			}
			if !found || c.balance > best.balance {
				best, found = c, true
			}
		}
	}
	return best, found
}

// exchange returns how many groups of one size end and how many of another are formed
// of their instances: one group of the larger size.
func exchange(from, to int) (given, received int) {
	if from >= to {
		return 1, max(1, from/max(1, to))
	}
	return int(math.Ceil(float64(to) / float64(max(1, from)))), 1
}

// gain returns the requests that more groups save over moveHorizon, if their weights
// load for loadTime.
func (l load) gain(groups, more int, loadTime time.Duration) float64 {
	usable := max(0, moveHorizon-loadTime-drainTime)
	return (l.lost(float64(groups)) - l.lost(float64(groups+more))) * usable.Seconds()
}

// lossOf returns the requests that fewer groups lose over moveHorizon.
func (l load) lossOf(groups, fewer int) float64 {
	return (l.lost(float64(groups-fewer)) - l.lost(float64(groups))) * moveHorizon.Seconds()
}
