// Package codec encodes the messages between nodes as msgpack, with structs as arrays.
//
// Fields are identified by their order and number, so a struct that an earlier version reads
// must keep its fields: nodes of two versions communicate during a rolling upgrade. A later
// version appends additional data as a separate value after the message. Earlier versions
// ignore it (see Extended).
package codec

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Append appends the encoding of a value to a buffer.
func Append(buffer []byte, value any) ([]byte, error) {
	out := bytes.NewBuffer(buffer)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if extended, ok := value.(Extended); ok {
		if extension := extended.Extension(); extension != nil {
			if err := encoder.Encode(extension); err != nil {
				return nil, errors.Wrap(err, "encode an extension")
			}
		}
	}
	return out.Bytes(), nil
}

// Extended is a message with data that an earlier version of it does not have. The fields
// with this data are excluded from the message itself by the tag `msgpack:"-"`.
type Extended interface {
	// Extension returns the additional data, nil if there is none.
	Extension() any
	// Extend sets the additional data. It is only called for a message with an extension.
	Extend(decode func(extension any) error) error
}

// Decode decodes a value that Append encoded. It first skips through the data, so that a
// claimed length beyond the actual data is not allocated.
func Decode(data []byte, value any) error {
	rest, err := skip(data)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, value); err != nil {
		return errors.Wrap(err, "decode")
	}
	extended, ok := value.(Extended)
	if !ok || len(rest) == 0 {
		return nil
	}
	if _, err := skip(rest); err != nil {
		return err
	}
	return extended.Extend(func(extension any) error {
		return errors.Wrap(msgpack.Unmarshal(rest, extension), "decode an extension")
	})
}

// skip skips the first value of the data and returns the remaining data. A decoder that fails
// is not returned to the pool: it has grown its buffer towards the claimed length.
func skip(data []byte) (rest []byte, err error) {
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	decoder.Reset(reader)
	if err := decoder.Skip(); err != nil {
		return nil, errors.Wrap(err, "decode: the data is incomplete")
	}
	msgpack.PutDecoder(decoder)
	return data[len(data)-reader.Len():], nil
}
