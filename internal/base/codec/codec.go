// Package codec is the encoding of the protocols between nodes: msgpack with
// structures as arrays.
//
// Fields are told apart by their order and their number, so a structure that nodes of an
// earlier version read must keep its fields: nodes of two versions must understand each
// other while a fleet is being replaced. What a later version tells besides travels behind
// the message in a value of its own, which the earlier one does not read (Extended).
package codec

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Append encodes a value at the end of a buffer.
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
	if extended, is := value.(Extended); is {
		if more := extended.Extension(); more != nil {
			if err := encoder.Encode(more); err != nil {
				return nil, errors.Wrap(err, "encode an extension")
			}
		}
	}
	return out.Bytes(), nil
}

// Extended is a message that tells more than an earlier version of it. The fields that hold
// this are left out of the message itself with the tag `msgpack:"-"`.
type Extended interface {
	// Extension returns what is told besides, nil if there is nothing.
	Extension() any
	// Extend takes it from a message that has an extension.
	Extend(decode func(extension any) error) error
}

// Decode decodes a value that Append encoded. The data is walked through first: a
// length that it claims but does not have must not be allocated. A decoder that met
// such a length has grown its buffer towards it, a megabyte each time, so it is not put
// back for the next user.
func Decode(data []byte, value any) error {
	rest, err := skip(data)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, value); err != nil {
		return errors.Wrap(err, "decode")
	}
	extended, is := value.(Extended)
	if !is || len(rest) == 0 {
		return nil
	}
	if _, err := skip(rest); err != nil {
		return err
	}
	return extended.Extend(func(extension any) error {
		return errors.Wrap(msgpack.Unmarshal(rest, extension), "decode an extension")
	})
}

// skip walks through the first value of the data and returns what is behind it.
func skip(data []byte) (rest []byte, err error) {
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	decoder.Reset(reader)
	if err := decoder.Skip(); err != nil {
		return nil, errors.Wrap(err, "decode: the data is not whole")
	}
	msgpack.PutDecoder(decoder)
	return data[len(data)-reader.Len():], nil
}
