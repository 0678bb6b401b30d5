package hostedrunner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

// maxRumors is the number of rumors that are remembered. Even many that begin at the same
// moment have reached all instances before they are forgotten.
const maxRumors = 4096

// rumorDegree is the number of neighbours to which a rumor is passed on. With one random
// member besides, it reaches all while a tenth of the instances is paused.
const rumorDegree = 6

// rumors holds the rumors that this instance has begun or received. It is safe for
// concurrent use.
type rumors struct {
	// prefix makes the names of this process's rumors unique.
	prefix string
	begun  atomic.Uint64
	seen   *lru.Cache[string, struct{}]
}

func newRumors(holder string) (*rumors, error) {
	seen, err := lru.New[string, struct{}](maxRumors)
	return &rumors{prefix: holder + "/", seen: seen}, err
}

// begin returns the name of a new rumor of this instance.
func (r *rumors) begin() string {
	name := r.prefix + strconv.FormatUint(r.begun.Add(1), 10)
	r.seen.Add(name, struct{}{})
	return name
}

// note records a received rumor and reports whether it is new. A message without a name
// always is.
func (r *rumors) note(name string) bool {
	if name == "" {
		return true
	}
	known, _ := r.seen.ContainsOrAdd(name, struct{}{})
	return !known
}

// rumorRecipients returns the peers that this instance sends a rumor to: all of them
// where they are few; otherwise its neighbours and one random member, who pass it on, so
// that the messages of an instance do not grow with the number of instances.
func (p *peers) rumorRecipients() []gossiper.Member {
	all := p.node.discoverer.Peers()
	if len(all) <= maxLoadRecipients {
		return all
	}
	return append(p.node.discoverer.Neighbours(rumorDegree), all[rand.IntN(len(all))])
}

// runSpread sends a rumor that begins here.
func (p *peers) runSpread(ctx context.Context, method string, message any) {
	p.send(ctx, p.rumorRecipients(), method, message)
}

// passOn sends a received rumor on, without waiting, where it does not reach all peers
// directly.
func (p *peers) passOn(name, method string, message any) {
	if name == "" || p.node.discoverer.Count() <= maxLoadRecipients+1 {
		return
	}
	go p.runSpread(context.Background(), method, message)
}
