package relay

import (
	"net"

	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"dewknot/internal/base/codec"
)

// packedFrom is the size from which an answer is compressed: lists of members and servers,
// whose entries are alike, become a fifth or less; a position or a yes gains nothing.
const packedFrom = 512

// answer sends an answer, compressed if the question allows it and that is shorter.
func answer(connection net.Conn, question *Question, told Answer) error {
	content, err := msgpack.Marshal(told)
	if err != nil {
		return errors.Wrap(err, "encode an answer to another node")
	}
	if question.Packed && len(content) >= packedFrom {
		if packed := s2.EncodeBetter(nil, content); len(packed) < len(content) {
			return send(connection, Answer{Packed: packed})
		}
	}
	return write(connection, content)
}

// unpack returns the answer that compressed content holds.
func unpack(packed []byte) (Answer, error) {
	var told Answer
	size, err := s2.DecodedLen(packed)
	if err != nil {
		return told, errors.Wrap(err, "unpack an answer of another node")
	}
	if size > maxMessageBytes {
		return told, errors.Errorf("an answer of another node unpacks to %d bytes; %d are allowed", size, maxMessageBytes)
	}
	content, err := s2.Decode(nil, packed)
	if err != nil {
		return told, errors.Wrap(err, "unpack an answer of another node")
	}
	return told, errors.Wrap(codec.Decode(content, &told), "decode an answer of another node")
}
