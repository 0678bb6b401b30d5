// Package pathfinder decides whether an attempt at a request goes straight to a backend
// server or by a peer: another entry instance, which sends it in turn. It also chooses the
// peer. A request takes one such hop at most, so that two instances that reach no server
// can't send it to each other.
//
// # Usage
//
//	switch pathfinder.Decide(pathfinder.Situation{Here: here, Room: room, ByPeers: byPeers}) {
//	case pathfinder.Straight:
//		send to a server
//	case pathfinder.ByPeer:
//		peer, found := peers.Choose(now, dataCentre, members, tried)
//		peers.Begin(peer.ID)
//		...
//		peers.End(now, peer.ID, pathfinder.Answered, 0)
//	}
//
// The package does no I/O; times and random numbers are passed in.
package pathfinder

//go:generate stringer -type=Path,Outcome -linecomment -output=enum_string.go

// Path is the way that an attempt takes.
type Path int

// Paths of an attempt.
const (
	// Straight means that this entry instance sends the request to a backend server, or
	// lets it wait for one.
	Straight Path = iota // straight
	// ByPeer means that a peer is asked to send it.
	ByPeer // by_peer
)

// Situation is what is known when a request is about to be sent.
type Situation struct {
	// Detoured reports whether the request came from a peer.
	Detoured bool
	// Here reports whether any backend server of the request's pool can be reached from
	// here, and Room whether one of these has room for it.
	Here, Room bool
	// Cut reports whether the path from here to some of the servers is known to be cut.
	Cut bool
	// ByPeers reports whether peers are believed to reach a server of the pool that can't
	// be reached from here.
	ByPeers bool
	// Askable reports whether there is a peer that can be asked now.
	Askable bool
}

// Decide returns the path of an attempt. Lack of room alone is no reason for a hop: the
// peers send to the same servers.
func Decide(s Situation) Path {
	switch {
	case s.Detoured || !s.ByPeers:
		return Straight
	case !s.Here || s.Cut && !s.Room && s.Askable:
		return ByPeer
	}
	return Straight
}
