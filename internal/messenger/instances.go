package messenger

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// maxPackedInstances bounds the size of a list of instances in bytes, before it is packed.
const maxPackedInstances = 64 << 20

// PackInstances encodes a list of instances in a compressed form. The list of hundreds of
// instances is sent to many peers when they start together, over slow links.
func PackInstances(instances []provider.Instance) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(writer).Encode(instances); err != nil {
		return nil, err
	}
	err = writer.Close()
	return packed.Bytes(), err
}

// Unpack replaces Packed by the instances in it.
func (r *ChangesReply) Unpack() error {
	if r.Packed == nil {
		return nil
	}
	instances, err := UnpackInstances(r.Packed)
	if err != nil {
		return err
	}
	r.Changed, r.Packed = instances, nil
	return nil
}

// UnpackInstances decodes the result of PackInstances.
func UnpackInstances(packed []byte) ([]provider.Instance, error) {
	var instances []provider.Instance
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPackedInstances)
	err := gob.NewDecoder(reader).Decode(&instances)
	return instances, err
}
