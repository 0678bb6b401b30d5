// Package detourer hands a request from one entry instance to another, which sends it to a
// backend server and passes the response back as it arrives. It is the wire of such a hop;
// when a request takes one, and to which peer, is decided elsewhere.
//
// # Usage
//
// The entry instance that has the request:
//
//	client := detourer.NewClient(pool.DialDetour)
//	response, head, err := client.Do(ctx, peer, &detourer.Envelope{ID: id, Remaining: remaining, Body: body})
//	defer response.Body.Close()
//
// The one that sends it to a server:
//
//	handler := detourer.NewHandler(func(ctx context.Context, e *detourer.Envelope, w *detourer.ResponseWriter) {
//		w.WriteHead(detourer.Head{Status: 200, Header: header, Delimited: true})
//		w.Write(event)
//		w.End()
//	})
//	server, err := messenger.NewServer(security, name, receiver, nonce, messenger.WithDetourHandler(handler))
//
// Sizes are in bytes. Errors are of type *[Error]. Only [KindUnreachable] and
// [KindTooLarge] prove that the request has not run; after [KindRefused], the [Refusal]
// says what is known.
//
// A hop is one HTTP request whose body and response are sequences of frames. The body is
// sent only when the peer has asked for it, so that a peer that does not respond is known
// not to have the request. A response is complete only if it ends with an end frame. While
// it is open, a frame comes at least every 200 ms; a client that receives nothing for 700 ms
// gives the hop up.
package detourer

import (
	"time"

	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=Kind -trimprefix=Kind -output=kind_string.go

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// KindUnreachable means that the peer cannot have received the whole request, so
	// that it has not run: there is no connection, the peer does not offer the service,
	// or the hop failed while the request was being sent.
	KindUnreachable Kind = iota
	// KindRefused means that the peer has no response, or not the rest of it. The cause
	// is a *[Refusal].
	KindRefused
	// KindBroken means that the hop broke after the request was sent, or that what
	// arrived is not a valid response. The request may have run.
	KindBroken
	// KindSilent means that nothing arrived for too long after the request was sent. The
	// request may have run.
	KindSilent
	// KindTooLarge means that a request is beyond the bounds. It was not sent.
	KindTooLarge
	// KindMalformed means that what arrived at the server is not a valid request.
	KindMalformed
	// KindMisused means that the parts of a response were written in a wrong order.
	KindMisused
)

// Error is the error type of this package.
type Error = faulter.Error[Kind]

const (
	// defaultMaxBodyBytes bounds the body of a request.
	defaultMaxBodyBytes = 8 << 20
	// maxHeaderBytes bounds the header of a request or of a response.
	maxHeaderBytes = 64 << 10
	// maxMetadataBytes bounds the fields of this package beside a header.
	maxMetadataBytes = 16 << 10
	// maxEnvelopeBytes bounds a request without its body.
	maxEnvelopeBytes = maxHeaderBytes + maxMetadataBytes + 2*frameHeaderBytes
	// maxDataBytes bounds the data of one frame of a response.
	maxDataBytes = 64 << 10
	// keepAliveInterval is the longest time between two frames of a response.
	keepAliveInterval = 200 * time.Millisecond
	// defaultSilence is the time without any byte after which a client gives up. At first,
	// the time to open a connection counts too.
	defaultSilence = 700 * time.Millisecond
	// confirmationTimeout only has to be above the time after which a hop counts as silent:
	// the transport sends the body without confirmation when it is over.
	confirmationTimeout = time.Hour
	// requestTimeout bounds the time in which a request must arrive.
	requestTimeout = 10 * time.Second
	// lastWriteTimeout is the time left for writing once a request's context has ended.
	lastWriteTimeout = 500 * time.Millisecond
	// maxIdleConnsPerPeer and maxIdleConns bound the connections that a client keeps, and
	// idleTimeout the time for which it keeps them.
	maxIdleConnsPerPeer = 32
	maxIdleConns        = 128
	idleTimeout         = 10 * time.Second
	// readBufferBytes is the size of the buffer in which a client reads frames.
	readBufferBytes = 4 << 10
)
