package simulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Constants of the workload.
const (
	organisations = 10
	// largeOrganisations send most of the requests.
	largeOrganisations = 3
	largeShare         = 0.75
	// documents is how many shared prompt beginnings an organisation has.
	documents = 12
	// Range of the shared beginning and of the own end of a prompt, in blocks.
	minShared, maxShared = 10, 50
	minOwn, maxOwn       = 2, 6
	// Range of the answers, in tokens.
	minAnswer, maxAnswer = 40, 240
	// urgentShare is the share of requests of the first class.
	urgentShare = 0.7
	// dayDepth is how far the rate swings around its mean over the day.
	dayDepth = 0.35
)

// request is one request of the workload.
type request struct {
	organisation int
	urgent       bool
	blocks       []uint64
	promptTokens int
	answer       int
	arrived      time.Duration
	cachedBlocks int
	group        *engine
	entry        *entry
}

// workload draws requests.
type workload struct {
	random *rand.Rand
	// shared holds the length of each document of each organisation.
	shared [organisations][documents]int
	serial uint64
}

func newWorkload(random *rand.Rand) *workload {
	w := &workload{random: random}
	for o := range w.shared {
		for d := range w.shared[o] {
			w.shared[o][d] = minShared + random.IntN(maxShared-minShared)
		}
	}
	return w
}

// next draws a request that arrives at a moment.
func (w *workload) next(at time.Duration, surge bool) *request {
	o := w.organisation(surge)
	d := w.document()
	r := &request{organisation: o, arrived: at, urgent: w.random.Float64() < urgentShare}
	for i := range w.shared[o][d] {
		r.blocks = append(r.blocks, uint64(o)<<40|uint64(d)<<32|uint64(i)+1)
	}
	for range minOwn + w.random.IntN(maxOwn-minOwn) {
		w.serial++
		r.blocks = append(r.blocks, 1<<60|w.serial)
	}
	r.promptTokens = len(r.blocks) * blockTokens
	r.answer = minAnswer + w.random.IntN(maxAnswer-minAnswer)
	return r
}

func (w *workload) organisation(surge bool) int {
	if surge && w.random.Float64() < 0.5 {
		return 0
	}
	if w.random.Float64() < largeShare {
		return w.random.IntN(largeOrganisations)
	}
	return largeOrganisations + w.random.IntN(organisations-largeOrganisations)
}

// document draws a document; low numbers are the most used.
func (w *workload) document() int {
	return int(float64(documents) * math.Pow(w.random.Float64(), 2))
}

// rateAt returns the rate at a moment of a day of the given length.
func rateAt(at, day time.Duration, mean float64) float64 {
	return mean * (1 - dayDepth*math.Cos(2*math.Pi*float64(at)/float64(day)))
}
