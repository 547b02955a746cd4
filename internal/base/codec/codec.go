// Package codec is the encoding of the protocols between nodes: msgpack with
// structures as arrays.
//
// Fields are told apart by their order, so a field may only be added at the end
// of a structure, and never removed or moved: nodes of two versions must
// understand each other while a fleet is being replaced.
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
	return out.Bytes(), nil
}

// Decode decodes a value that Append encoded. The data is walked through first: a
// length that it claims but does not have must not be allocated. A decoder that met
// such a length has grown its buffer towards it, a megabyte each time, so it is not put
// back for the next user.
func Decode(data []byte, value any) error {
	decoder := msgpack.GetDecoder()
	decoder.Reset(bytes.NewReader(data))
	if err := decoder.Skip(); err != nil {
		return errors.Wrap(err, "decode: the data is not whole")
	}
	msgpack.PutDecoder(decoder)
	return errors.Wrap(msgpack.Unmarshal(data, value), "decode")
}
