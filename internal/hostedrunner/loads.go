package hostedrunner

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/messenger"
	"github.com/waxwingmount/waxwingmount/internal/relayer"
	"github.com/waxwingmount/waxwingmount/pkg/estimator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

const (
	// loadMessagesPerSecond limits the load messages of this instance to all
	// peers together; minLoadInterval is the shortest time between two rounds.
	loadMessagesPerSecond = 160
	minLoadInterval       = 40 * time.Millisecond
	// maxLoadRecipients is the largest number of peers to which an instance sends
	// its own load directly. With more peers it sends only within its data centre.
	maxLoadRecipients = 12
	// maxDirectLoadPeers is the largest number of peers in a data centre to which an
	// instance sends its load directly. With more of them, a few collectors there add up
	// the loads.
	maxDirectLoadPeers = 24
	// collectInterval is the time between two reports to a collector, or between the
	// collectors of a data centre.
	collectInterval = 250 * time.Millisecond
	// remoteLoadInterval is the time between two messages with the total load of
	// this data centre, one to a random member of each other data centre. Every
	// member sends them, so all members there receive about equally many.
	remoteLoadInterval = 400 * time.Millisecond
	// remoteCollectInterval is the time between two requests to a collector for the load of
	// the other data centres.
	remoteCollectInterval = time.Second
	// unchangedLoadInterval is the time between two messages while the load does
	// not change: a third of the time after which a message expires.
	unchangedLoadInterval = 300 * time.Millisecond
	// collectedTTL is how long after the last reply of a collector the loads that peers
	// send directly are ignored, since the reply contains them.
	collectedTTL = time.Second
)

// Sources of loads that stand for several entry instances.
const (
	// collectedPeers is the peer whose load is that of the data centre as a collector
	// tells it.
	collectedPeers = "collected"
	// remoteDataCentres is the data centre whose load is that of all others.
	remoteDataCentres = "remote"
	// collectorPrefix precedes the ID of a collector where its load is that of all that
	// report to it.
	collectorPrefix = "collector/"
)

// loads exchanges the work in progress with the other entry instances.
type loads struct {
	node *Node
	// collectedAt is when a collector replied last, in nanoseconds since the instance was
	// booted, or zero.
	collectedAt atomic.Int64

	last      map[string]estimator.Work
	lastPools map[string]estimator.PoolReport
	sentAt    time.Time
	// remoteAt is when the load of the other data centres was last received.
	remoteAt time.Time
}

// collected reports whether the load of this data centre comes from a collector.
func (l *loads) collected() bool {
	at := l.collectedAt.Load()
	return at != 0 && clocker.Since(time.Unix(0, at)) < collectedTTL
}

// loop reports this instance's load of requests in flight to its peers, directly or
// through a collector.
func (l *loads) loop(ctx context.Context) {
	for {
		self, all := l.node.discoverer.Self(), l.node.discoverer.Peers()
		local := gossiper.InDataCentre(all, self.DataCentre)
		collectors := relayer.Relays(append(local, self))
		recipients := all
		if len(all) > maxLoadRecipients {
			recipients = local
		}
		interval := max(minLoadInterval, time.Duration(len(recipients))*time.Second/loadMessagesPerSecond)
		if len(local) > maxDirectLoadPeers {
			interval = collectInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		switch others, own := gossiper.Without(collectors, self.ID); {
		case len(local) <= maxDirectLoadPeers:
			l.sendDirectly(ctx, recipients)
		case own:
			l.sendReported(ctx, others)
		case !l.collect(ctx, others):
			l.sendDirectly(ctx, recipients)
		}
	}
}

// sendDirectly sends this instance's own load to peers, unless neither the work in flight
// nor the queues have changed.
func (l *loads) sendDirectly(ctx context.Context, recipients []gossiper.Member) {
	works, pools := l.node.forwarder.Works.Local(), l.node.forwarder.Pools.Local()
	same := maps.Equal(works, l.last) && estimator.SameQueues(pools, l.lastPools)
	if same && clocker.Since(l.sentAt) < unchangedLoadInterval {
		return
	}
	l.last, l.lastPools, l.sentAt = works, pools, clocker.Now()
	l.node.peers.send(ctx, recipients, messenger.MethodLoad, &messenger.LoadMessage{
		From: l.node.settings.ID, Works: works, Pools: pools, Limits: l.node.forwarder.ServerLimits(),
	})
}

// sendReported sends the load of this collector and of all that report to it to the other
// collectors of the data centre.
func (l *loads) sendReported(ctx context.Context, others []gossiper.Member) {
	l.collectedAt.Store(0)
	var names []string
	for _, m := range others {
		names = append(names, collectorPrefix+m.ID)
	}
	l.node.peers.send(ctx, others, messenger.MethodLoad, &messenger.LoadMessage{
		From: collectorPrefix + l.node.settings.ID, Works: l.node.forwarder.Works.DataCentreExcept(names...),
		Pools: l.node.forwarder.Pools.DataCentreExcept(names...), Limits: l.node.forwarder.ServerLimits(),
	})
}

// collect reports this instance's load to a collector and takes that of the data centre
// from its reply. It reports false if no collector replied.
func (l *loads) collect(ctx context.Context, collectors []gossiper.Member) bool {
	message := &messenger.LoadMessage{
		From: l.node.settings.ID, Works: l.node.forwarder.Works.Local(), Pools: l.node.forwarder.Pools.Local(),
		Limits:     l.node.forwarder.ServerLimits(),
		WantRemote: clocker.Since(l.remoteAt) >= remoteCollectInterval,
	}
	for _, m := range gossiper.Rotate(collectors, l.node.settings.ID) {
		var reply messenger.CollectReply
		if err := l.callCollector(ctx, m, message, &reply); err != nil {
			log.WithField("peer", m.ID).WithError(err).Debug("report of the load to a collector failed")
			continue
		}
		l.collectedAt.Store(clocker.Now().UnixNano())
		l.node.forwarder.MergeServerLimits(reply.Limits)
		l.node.forwarder.Works.SetPeer(collectedPeers, reply.Works)
		l.node.forwarder.Pools.SetPeer(collectedPeers, reply.Pools)
		if message.WantRemote {
			l.remoteAt = clocker.Now()
			l.node.forwarder.Works.SetDataCentre(remoteDataCentres, reply.Remote)
			l.node.forwarder.Pools.SetDataCentre(remoteDataCentres, reply.RemotePools)
		}
		return true
	}
	return false
}

func (l *loads) callCollector(ctx context.Context, m gossiper.Member, message *messenger.LoadMessage, reply *messenger.CollectReply) error {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	return l.node.pool.Call(ctx, m.Peer, messenger.MethodCollect, message, reply)
}

// remoteLoop reports the total load of this data centre to the other data centres. It is
// idle while loop reaches all peers directly, and where collectors add up the loads it
// runs at these only.
func (l *loads) remoteLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(remoteLoadInterval):
		}
		self, all := l.node.discoverer.Self(), l.node.discoverer.Peers()
		if len(all) <= maxLoadRecipients {
			continue
		}
		local := gossiper.InDataCentre(all, self.DataCentre)
		if _, own := gossiper.Without(relayer.Relays(append(local, self)), self.ID); len(local) > maxDirectLoadPeers && !own {
			continue
		}
		l.node.peers.send(ctx, remoteRecipients(all, self.DataCentre), messenger.MethodLoad, &messenger.LoadMessage{
			From: self.ID, DataCentre: self.DataCentre, Works: l.node.forwarder.Works.DataCentreExcept(),
			Pools: l.node.forwarder.Pools.DataCentreExcept(), Limits: l.node.forwarder.ServerLimits(),
		})
	}
}

// remoteRecipients returns a random member of each other data centre: one of its
// collectors where it has any.
func remoteRecipients(members []gossiper.Member, own string) []gossiper.Member {
	byDataCentre := make(map[string][]gossiper.Member)
	for _, m := range members {
		if m.DataCentre != own {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	var recipients []gossiper.Member
	for _, there := range byDataCentre {
		if len(there) > maxDirectLoadPeers+1 {
			there = relayer.Relays(there)
		}
		recipients = append(recipients, there[rand.IntN(len(there))])
	}
	return recipients
}
