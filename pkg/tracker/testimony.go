package tracker

//go:generate stringer -type=Testimony -linecomment -output=testimony_string.go

// Testimony is what a peer says of an instance that does not respond here.
type Testimony int

const (
	// Unknown means that the peer can't tell, or did not reply.
	Unknown Testimony = iota // unknown
	// Reached means that the instance responded to the peer.
	Reached // reached
	// Silent means that it did not, though the peer's path is sound.
	Silent // silent
)

// Testimonies counts what peers say of one instance.
type Testimonies struct {
	// Asked is the number of peers that were asked.
	Asked, Reached, Silent int
}

// Credible reports whether any peer can tell.
func (t Testimonies) Credible() bool { return t.Reached+t.Silent > 0 }

// CountTestimonies returns the counts of the peers' testimonies.
func CountTestimonies(all []Testimony) Testimonies {
	counts := Testimonies{Asked: len(all)}
	for _, testimony := range all {
		switch testimony {
		case Reached:
			counts.Reached++
		case Silent:
			counts.Silent++
		}
	}
	return counts
}
