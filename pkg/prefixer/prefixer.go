// Package prefixer tracks which beginnings of prompts the running requests of replica groups
// have. An engine that shares them reads such a beginning once while any request that has it
// runs. A prompt is a chain of parts: a part is shared only if all parts before it are.
//
// # Usage
//
//	p := prefixer.New()
//	tokens := p.Saved(group, parts)
//	// When the first event of a request arrives:
//	run := p.Hold(group, parts)
//	// When the request ends:
//	p.Release(run)
//
// The package does no I/O and needs no time: what is held follows from the runs alone.
package prefixer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinTokens is the length from which a shared beginning counts. At 50,000 tokens per
	// second 128 take 2.6 ms, less than one running request costs. Shorter beginnings, such
	// as 40 of 700 tokens, change no decision and take no memory.
	MinTokens = 128
	// maxGroups, maxLinks and maxParts bound the groups, the distinct beginnings of one group
	// and the parts of one prompt that are tracked. A group runs 20 requests, whose prompts
	// have 3 parts or so. TestMemory measures what they take.
	maxGroups = 256
	maxLinks  = 128
	maxParts  = 32
	// maxPartTokens bounds what a part may state, so that sums can't overflow.
	maxPartTokens = 1 << 24
)

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Group names one run of a replica group. A group that restarts has another name, so that
// nothing counts as held there.
type Group struct {
	Name        string
	Incarnation string
	Epoch       uint64
}

// link identifies a part together with all parts before it.
type link uint64

// Run is a running request whose prompt has been read. The zero value holds nothing.
type Run struct {
	group Group
	links []link
}

// Prefixer tracks the beginnings that running requests hold, by group.
type Prefixer struct {
	// groups has, for each group, the number of runs that hold each link. Entries are
	// removed with their last run.
	groups map[Group]map[link]int
}

// New returns a Prefixer without runs.
func New() *Prefixer { return &Prefixer{groups: make(map[Group]map[link]int)} }

// Empty reports whether no group holds anything.
func (p *Prefixer) Empty() bool { return len(p.groups) == 0 }

// Hold records that a group has read the beginning of a prompt. At the bound of the memory,
// what is not tracked yet stays untracked.
func (p *Prefixer) Hold(g Group, parts []Part) Run {
	if total(parts) < MinTokens {
		return Run{}
	}
	held, known := p.groups[g]
	if !known {
		if len(p.groups) >= maxGroups {
			return Run{}
		}
		held = make(map[link]int)
		p.groups[g] = held
	}
	run := Run{group: g}
	for l := range chain(parts) {
		if held[l] == 0 && len(held) >= maxLinks {
			break
		}
		held[l]++
		run.links = append(run.links, l)
	}
	return run
}

// Release records that a run has ended. Each run is released once.
func (p *Prefixer) Release(run Run) {
	held := p.groups[run.group]
	for _, l := range run.links {
		if held[l]--; held[l] <= 0 {
			delete(held, l)
		}
	}
	if len(held) == 0 {
		delete(p.groups, run.group)
	}
}

// Saved returns how many tokens at the beginning of a prompt a group need not read, because
// a running request has them. It is zero if they are fewer than MinTokens.
func (p *Prefixer) Saved(g Group, parts []Part) int {
	held := p.groups[g]
	if len(held) == 0 {
		return 0
	}
	saved := 0
	for l, tokens := range chain(parts) {
		if held[l] == 0 {
			break
		}
		saved += tokens
	}
	if saved < MinTokens {
		return 0
	}
	return saved
}

// chain yields the links of a prompt and the tokens that each adds, up to the first part
// that is not valid.
func chain(parts []Part) func(yield func(link, int) bool) {
	return func(yield func(link, int) bool) {
		var previous link
		var buffer [24]byte
		for i, part := range parts {
			if i == maxParts || part.Tokens <= 0 || part.Tokens > maxPartTokens {
				return
			}
			binary.LittleEndian.PutUint64(buffer[:], uint64(previous))
			binary.LittleEndian.PutUint64(buffer[8:], part.ID)
			binary.LittleEndian.PutUint64(buffer[16:], uint64(part.Tokens))
			previous = link(xxhash.Sum64(buffer[:]))
			if !yield(previous, part.Tokens) {
				return
			}
		}
	}
}

// total returns the number of tokens in a chain.
func total(parts []Part) int {
	sum := 0
	for _, tokens := range chain(parts) {
		sum += tokens
	}
	return sum
}
