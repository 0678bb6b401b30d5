package simulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the workload.
const (
	organisations = 10
	// The first largeOrganisations send largeOrganisationsShare of the requests.
	largeOrganisations      = 3
	largeOrganisationsShare = 0.75
	// documentsPerOrganisation is the number of shared prompt prefixes.
	documentsPerOrganisation = 12
	// Range of the shared prefix and of the unique suffix of a prompt, in blocks.
	minSharedBlocks, maxSharedBlocks = 10, 50
	minUniqueBlocks, maxUniqueBlocks = 2, 6
	// Range of the response length, in tokens.
	minOutputTokens, maxOutputTokens = 40, 240
	// urgentShare is the fraction of requests in the urgent class.
	urgentShare = 0.7
	// dailyRateAmplitude is the amplitude of the request rate over the day, as a
	// fraction of its mean.
	dailyRateAmplitude = 0.35
)

// request is a simulated completion request.
type request struct {
	organisation int
	urgent       bool
	blocks       []uint64
	promptTokens int
	outputTokens int
	arrivedAt    time.Duration
	cachedBlocks int
	group        *engine
	entry        *entry
}

// workload generates requests.
type workload struct {
	random *rand.Rand
	// sharedBlocks holds the length of each document of each organisation, in
	// blocks.
	sharedBlocks    [organisations][documentsPerOrganisation]int
	lastUniqueBlock uint64
}

func newWorkload(random *rand.Rand) *workload {
	w := &workload{random: random}
	for o := range w.sharedBlocks {
		for d := range w.sharedBlocks[o] {
			w.sharedBlocks[o][d] = minSharedBlocks + random.IntN(maxSharedBlocks-minSharedBlocks)
		}
	}
	return w
}

// next generates a request that arrives at the given time. During a surge,
// organisation 0 sends at least half of the requests.
func (w *workload) next(at time.Duration, surge bool) *request {
	o := w.pickOrganisation(surge)
	d := w.pickDocument()
	r := &request{organisation: o, arrivedAt: at, urgent: w.random.Float64() < urgentShare}
	for i := range w.sharedBlocks[o][d] {
		r.blocks = append(r.blocks, uint64(o)<<40|uint64(d)<<32|uint64(i)+1)
	}
	for range minUniqueBlocks + w.random.IntN(maxUniqueBlocks-minUniqueBlocks) {
		w.lastUniqueBlock++
		r.blocks = append(r.blocks, 1<<60|w.lastUniqueBlock)
	}
	r.promptTokens = len(r.blocks) * blockTokens
	r.outputTokens = minOutputTokens + w.random.IntN(maxOutputTokens-minOutputTokens)
	return r
}

func (w *workload) pickOrganisation(surge bool) int {
	if surge && w.random.Float64() < 0.5 {
		return 0
	}
	if w.random.Float64() < largeOrganisationsShare {
		return w.random.IntN(largeOrganisations)
	}
	return largeOrganisations + w.random.IntN(organisations-largeOrganisations)
}

// pickDocument picks a random document; low numbers are more likely.
func (w *workload) pickDocument() int {
	return int(float64(documentsPerOrganisation) * math.Pow(w.random.Float64(), 2))
}

// rateAt returns the request rate at a time of a day of the given length.
func rateAt(at, day time.Duration, mean float64) float64 {
	return mean * (1 - dailyRateAmplitude*math.Cos(2*math.Pi*float64(at)/float64(day)))
}
