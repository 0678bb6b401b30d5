// Package estimator predicts the latency of a model engine with continuous
// batching. An engine works in iterations of several token steps; between the
// steps of the requests that decode, it prefills waiting prompts in chunks. From
// the engine's parameters and its work in flight, the package predicts the time
// to first token of one more request.
//
// # Usage
//
//	group := estimator.Group{Engine: engine, Pace: model.Pace, Spread: false}
//	delay := group.TimeToFirstToken(estimator.Work{Running: 5, UnreadTokens: 1200}, 800)
package estimator

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
)

// Group holds the parameters that set the speed of one replica group.
type Group struct {
	Engine *mapper.Engine
	// Pace is the model's multiplier for all times; 0 or less counts as 1.
	Pace float64
	// Spread reports whether the members are in several fabric domains.
	Spread bool
}

// Work is the work that a replica group or backend server has in flight.
type Work struct {
	// Running is the number of requests sent to it that have not ended.
	Running int
	// UnreadTokens is the number of prompt tokens that are not prefilled yet: those
	// of the requests without a first event.
	UnreadTokens int
}

// tokenPairsUnit is the number of token pairs that Engine.PerMillionPairs is for.
const tokenPairsUnit = 1e6

// timeFactor returns the multiplier for all times of the group.
func (g Group) timeFactor() float64 {
	f := g.Pace
	if f <= 0 {
		f = 1
	}
	if g.Spread && g.Engine.SpreadFactor > 1 {
		f *= g.Engine.SpreadFactor
	}
	return f
}

// StepTime returns the duration of one token step while the given number of
// requests decode.
func (g Group) StepTime(decoding int) time.Duration {
	step := g.Engine.Step + time.Duration(min(decoding, g.Engine.Slots))*g.Engine.StepPerRequest
	return time.Duration(float64(step) * g.timeFactor())
}

// IterationTime returns the duration of an engine iteration without prefill.
func (g Group) IterationTime(decoding int) time.Duration {
	return time.Duration(max(1, g.Engine.Stride)) * g.StepTime(decoding)
}

// PrefillTime returns the time to prefill prompts of promptTokens tokens in total.
// The attention part grows with the square of that number.
func (g Group) PrefillTime(promptTokens int) time.Duration {
	n := float64(promptTokens)
	prefill := n / max(1, g.Engine.ReadPerSecond) * float64(time.Second)
	prefill += n * n / 2 / tokenPairsUnit * float64(g.Engine.PerMillionPairs)
	return time.Duration(prefill * g.timeFactor())
}

// MaxEventGap returns the longest time between two events of a stream from a
// healthy group: an iteration with a full batch in which each step also prefills
// a whole chunk.
func (g Group) MaxEventGap() time.Duration {
	return g.IterationTime(g.Engine.Slots) + time.Duration(max(1, g.Engine.Stride))*g.PrefillTime(g.Engine.Chunk)
}

// TimeToFirstToken predicts the time to first token of one more request: half an
// iteration on average until the current one ends, the prefill of the prompts
// ahead of it and of its own, and its first iteration. With no free slot, the
// wait for one is added.
func (g Group) TimeToFirstToken(w Work, promptTokens int) time.Duration {
	iteration := g.IterationTime(w.Running)
	first := iteration/2 + g.PrefillTime(w.UnreadTokens) + g.PrefillTime(promptTokens) + iteration
	if excess := w.Running - g.Engine.Slots + 1; excess > 0 {
		response := time.Duration(g.Engine.UsualAnswer) * g.StepTime(w.Running)
		first += response * time.Duration(excess) / time.Duration(max(1, g.Engine.Slots))
	}
	return first
}
