package detourer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/waxwingmount/waxwingmount/pkg/bounder"
	"github.com/waxwingmount/waxwingmount/pkg/faulter"
)

//go:generate stringer -type=frameType -trimprefix=frame -output=frametype_string.go

// frameType says what a frame carries.
type frameType byte

// Types of frames. A request is an envelope and a body. A response is a head, data, and an
// end or a refusal; a refusal may come at any time and ends it.
const (
	frameEnvelope frameType = iota + 1
	frameBody
	frameHead
	frameData
	frameEnd
	frameRefusal
	// frameKeepAlive says that the peer works on the request.
	frameKeepAlive
)

// frameHeaderBytes is the size of a frame's type and of the length of its payload.
const frameHeaderBytes = 1 + 4

// smallPayloadBytes is the size up to which a payload is read into a buffer of its length.
const smallPayloadBytes = 4 << 10

// limit returns the longest payload of a frame.
func (t frameType) limit(maxBodyBytes int) (int, bool) {
	switch t {
	case frameEnvelope, frameHead, frameRefusal:
		return maxHeaderBytes + maxMetadataBytes, true
	case frameBody:
		return maxBodyBytes, true
	case frameData:
		return maxDataBytes, true
	case frameEnd, frameKeepAlive:
		return 0, true
	}
	return 0, false
}

// frameHeader returns the bytes before a payload.
func frameHeader(t frameType, length int) [frameHeaderBytes]byte {
	var header [frameHeaderBytes]byte
	header[0] = byte(t)
	binary.BigEndian.PutUint32(header[1:], uint32(length))
	return header
}

func appendFrame(out *bytes.Buffer, t frameType, payload []byte) {
	header := frameHeader(t, len(payload))
	out.Write(header[:])
	out.Write(payload)
}

// readFrameHeader reads the type of the next frame and the length of its payload, which it
// checks. It returns io.EOF only before the first byte.
func readFrameHeader(r io.Reader, maxBodyBytes int) (frameType, int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	t := frameType(header[0])
	length := binary.BigEndian.Uint32(header[1:])
	limit, known := t.limit(maxBodyBytes)
	if !known {
		return 0, 0, faulter.Newf("read frame", KindMalformed, "unknown type %d", header[0])
	}
	if int64(length) > int64(limit) {
		return 0, 0, faulter.Newf("read frame", KindTooLarge, "%s of %d bytes; %d are allowed", t, length, limit)
	}
	return t, int(length), nil
}

// readPayload reads the payload of a frame whose length has been checked. Memory for a long
// one grows with what arrives.
func readPayload(r io.Reader, length int) ([]byte, error) {
	if length > smallPayloadBytes {
		payload, err := bounder.ReadAll(io.LimitReader(r, int64(length)), int64(length), nil)
		if err == nil && len(payload) < length {
			err = io.ErrUnexpectedEOF
		}
		return payload, err
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, unexpected(err)
	}
	return payload, nil
}

// unexpected turns the end of input into the error that says that there should be more.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
