package relay

import (
	"net"

	"github.com/klauspost/compress/s2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"dewknot/internal/base/codec"
)

// compressMinBytes is the size from which an answer is compressed. Lists of similar entries shrink
// to a fraction; small answers gain nothing.
const compressMinBytes = 512

// sendAnswer sends an answer, compressed if the request accepts that and it is shorter.
func sendAnswer(connection net.Conn, request *Request, reply Answer) error {
	content, err := msgpack.Marshal(reply)
	if err != nil {
		return errors.Wrap(err, "encode an answer to another node")
	}
	if request.AcceptCompressed && len(content) >= compressMinBytes {
		if compressed := s2.EncodeBetter(nil, content); len(compressed) < len(content) {
			return send(connection, Answer{Compressed: compressed})
		}
	}
	return write(connection, content)
}

// decompress decodes a compressed answer.
func decompress(compressed []byte) (Answer, error) {
	var answer Answer
	size, err := s2.DecodedLen(compressed)
	if err != nil {
		return answer, errors.Wrap(err, "decompress an answer of another node")
	}
	if size > maxMessageBytes {
		return answer, errors.Errorf("an answer of another node has %d bytes after decompression; the maximum is %d", size, maxMessageBytes)
	}
	content, err := s2.Decode(nil, compressed)
	if err != nil {
		return answer, errors.Wrap(err, "decompress an answer of another node")
	}
	return answer, errors.Wrap(codec.Decode(content, &answer), "decode an answer of another node")
}
