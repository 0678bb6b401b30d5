package messenger

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

// maxUnpackedBytes bounds the size of what is packed.
const maxUnpackedBytes = 64 << 20

// Pack encodes a value in a compressed form. The list of hundreds of instances and a
// configuration with thousands of routes are sent to many peers at the same moment, over
// slow links.
func Pack[T any](value T) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(writer).Encode(value); err != nil {
		return nil, err
	}
	err = writer.Close()
	return packed.Bytes(), err
}

// Unpack decodes the result of Pack.
func Unpack[T any](packed []byte) (T, error) {
	var value T
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes)
	err := gob.NewDecoder(reader).Decode(&value)
	return value, err
}

// Unpack replaces Packed by the instances in it, and PackedConfig by the configuration.
func (r *ChangesReply) Unpack() error {
	if r.Packed != nil {
		instances, err := Unpack[[]provider.Instance](r.Packed)
		if err != nil {
			return err
		}
		r.Changed, r.Packed = instances, nil
	}
	if r.PackedConfig != nil {
		config, err := Unpack[mapper.Config](r.PackedConfig)
		if err != nil {
			return err
		}
		r.Config, r.PackedConfig = &config, nil
	}
	return nil
}
