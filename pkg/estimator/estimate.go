// Package estimator predicts when a model engine answers. Engines work in
// passes: they read pieces of waiting prompts between the token steps of the
// requests that write. From the engine's figures and what is under way there,
// it tells when the first token of one more request comes.
//
// # Usage
//
//	group := estimator.Group{Engine: engine, Pace: model.Pace, Spread: false}
//	delay := group.First(estimator.Work{Running: 5, UnreadTokens: 1200}, 800)
package estimator

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
)

// Group is one replica group as far as its speed goes.
type Group struct {
	Engine *mapper.Engine
	// Pace is the factor of the model on all times.
	Pace float64
	// Spread says that the members are not all in one fabric domain.
	Spread bool
}

// Work is what a group has under way.
type Work struct {
	// Running counts the requests that it has been sent.
	Running int
	// UnreadTokens are the prompt tokens of those without a first event.
	UnreadTokens int
}

// tokenPairsUnit is the unit of the engine's figure for pairs of tokens.
const tokenPairsUnit = 1e6

// timeFactor returns the timeFactor of the group on all times.
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

// StepTime returns the time of one token step while so many requests write.
func (g Group) StepTime(decoding int) time.Duration {
	step := g.Engine.Step + time.Duration(min(decoding, g.Engine.Slots))*g.Engine.StepPerRequest
	return time.Duration(float64(step) * g.timeFactor())
}

// IterationTime returns the time of a pass without reading.
func (g Group) IterationTime(decoding int) time.Duration {
	return time.Duration(max(1, g.Engine.Stride)) * g.StepTime(decoding)
}

// PrefillTime returns the time to read prompts of so many tokens together.
func (g Group) PrefillTime(promptTokens int) time.Duration {
	n := float64(promptTokens)
	read := n / max(1, g.Engine.ReadPerSecond) * float64(time.Second)
	read += n * n / 2 / tokenPairsUnit * float64(g.Engine.PerMillionPairs)
	return time.Duration(read * g.timeFactor())
}

// MaxEventGap returns the longest pause between events that a healthy group makes: a
// pass with a full batch in which each step reads a whole piece of a prompt.
func (g Group) MaxEventGap() time.Duration {
	return g.IterationTime(g.Engine.Slots) + time.Duration(max(1, g.Engine.Stride))*g.PrefillTime(g.Engine.Chunk)
}

// TimeToFirstToken returns how long one more request with a prompt of so many tokens waits
// for its first token: the rest of a pass, the reading of what is unread before
// it, its own, and its first pass. Where no place is free it waits for one too.
func (g Group) TimeToFirstToken(w Work, promptTokens int) time.Duration {
	iteration := g.IterationTime(w.Running)
	first := iteration/2 + g.PrefillTime(w.UnreadTokens) + g.PrefillTime(promptTokens) + iteration
	if excess := w.Running - g.Engine.Slots + 1; excess > 0 {
		answer := time.Duration(g.Engine.UsualAnswer) * g.StepTime(w.Running)
		first += answer * time.Duration(excess) / time.Duration(max(1, g.Engine.Slots))
	}
	return first
}
