package simulator

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Parameters of the engine model.
const (
	// prefillTokensPerSecond is the prefill rate of prompt tokens that are not
	// cached.
	prefillTokensPerSecond = 6000
	// minPrefillTime is the time of a prefill whose whole prompt is cached.
	minPrefillTime = 15 * time.Millisecond
	// A decoding step takes baseStepTime, and stepTimePerRequest for each request
	// in the batch.
	baseStepTime       = 18 * time.Millisecond
	stepTimePerRequest = 500 * time.Microsecond
	// maxBatchSize is the maximum number of requests that decode concurrently.
	maxBatchSize = 32
	// cacheCapacityBlocks is the capacity of the prefix cache in blocks.
	cacheCapacityBlocks = 400
	// blockTokens is the number of prompt tokens in a block.
	blockTokens = 64
)

// engine simulates the engine of a replica group. It runs one prefill at a time,
// decodes in a continuous batch and has an LRU cache of prompt prefixes.
type engine struct {
	name string
	// slowdown multiplies all durations; it is 1 unless the engine is a straggler.
	slowdown float64
	// unavailable is true while the group is down.
	unavailable bool

	cache *simplelru.LRU[uint64, struct{}]
	// prefillBusyUntil is the end of the last scheduled prefill.
	prefillBusyUntil time.Duration
	decodingCount    int
	waiting          []*request
	inFlight         int
	// reportedInFlight is the in-flight count in the next load report, sampled at
	// the report before.
	reportedInFlight int
}

func newEngine(name string) *engine {
	cache, err := simplelru.NewLRU[uint64, struct{}](cacheCapacityBlocks, nil)
	if err != nil {
		// The capacity is a positive constant.
		panic(err)
	}
	return &engine{name: name, slowdown: 1, cache: cache}
}

// schedulePrefill queues the prefill of r behind those already scheduled, adds
// its blocks to the cache and returns the completion time.
func (e *engine) schedulePrefill(now time.Duration, r *request) time.Duration {
	cachedBlocks := 0
	for _, block := range r.blocks {
		if _, found := e.cache.Get(block); !found {
			break
		}
		cachedBlocks++
	}
	for _, block := range r.blocks {
		e.cache.Add(block, struct{}{})
	}
	r.cachedBlocks = cachedBlocks
	uncachedTokens := float64(r.promptTokens - cachedBlocks*blockTokens)
	prefillTime := minPrefillTime + time.Duration(uncachedTokens/prefillTokensPerSecond*float64(time.Second))
	startAt := max(now, e.prefillBusyUntil)
	e.prefillBusyUntil = startAt + time.Duration(float64(prefillTime)*e.slowdown)
	return e.prefillBusyUntil
}

// stepTime returns the time between two tokens at the current batch size.
func (e *engine) stepTime() time.Duration {
	healthyStepTime := baseStepTime + stepTimePerRequest*time.Duration(e.decodingCount)
	return time.Duration(float64(healthyStepTime) * e.slowdown)
}
