package simulator

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Constants of the model of one replica group's engine.
const (
	// prefillPerSecond is how many uncached prompt tokens are read a second.
	prefillPerSecond = 6000
	// prefillBase is the time of a prefill that finds all in the cache.
	prefillBase = 15 * time.Millisecond
	// stepBase and stepPerRequest make the time of one decoding step.
	stepBase       = 18 * time.Millisecond
	stepPerRequest = 500 * time.Microsecond
	// batchSize is how many requests decode at once.
	batchSize = 32
	// cacheBlocks is how many blocks of prompt tokens an engine keeps.
	cacheBlocks = 400
	// blockTokens is the size of one block.
	blockTokens = 64
)

// engine models a replica group: one prefill at a time, then decoding in a
// continuous batch, and a limited cache of prompt prefixes.
type engine struct {
	name string
	// slow multiplies all times of a straggler.
	slow float64
	// lost says that the group is down.
	lost bool

	cache     *simplelru.LRU[uint64, struct{}]
	prefilled time.Duration
	decoding  int
	waiting   []*request
	inFlight  int
	// reported is the in-flight count that entries were last told.
	reported int
}

func newEngine(name string) *engine {
	cache, err := simplelru.NewLRU[uint64, struct{}](cacheBlocks, nil)
	if err != nil {
		// The capacity is a positive constant.
		panic(err)
	}
	return &engine{name: name, slow: 1, cache: cache}
}

// prefill returns when the prompt will have been read, if it is begun now or
// as soon as the prompts before it are done.
func (e *engine) prefill(now time.Duration, r *request) time.Duration {
	cached := 0
	for _, block := range r.blocks {
		if _, found := e.cache.Get(block); !found {
			break
		}
		cached++
	}
	for _, block := range r.blocks {
		e.cache.Add(block, struct{}{})
	}
	r.cachedBlocks = cached
	uncached := float64(r.promptTokens - cached*blockTokens)
	work := prefillBase + time.Duration(uncached/prefillPerSecond*float64(time.Second))
	begin := max(now, e.prefilled)
	e.prefilled = begin + time.Duration(float64(work)*e.slow)
	return e.prefilled
}

// gap returns the time between two tokens at the present batch.
func (e *engine) gap() time.Duration {
	step := stepBase + stepPerRequest*time.Duration(e.decoding)
	return time.Duration(float64(step) * e.slow)
}
