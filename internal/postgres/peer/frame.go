// Package peer implements the protocol between nodes: msgpack frames over TCP.
//
// A link begins with a handshake in which both nodes prove that they have the fleet key.
// After that it carries the frames of many streams. A stream is one request. Its number is
// not reused on the link, and frames of unknown streams are dropped, so that a late frame
// cannot reach another request. A link whose peer is silent while streams are open is
// closed; the outcome of requests in progress on it is unknown.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/framing"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/request"
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	frameChallenge frameKind = iota
	frameHello
	frameWelcome
	frameRequest
	frameChunk
	frameCredit
	frameResult
	frameEndSession
	frameCancel
	frameSync
	frameSyncAnswer
	framePing
	framePong
)

// maxFrameBytes is the maximum size of a frame; a larger one ends the link.
const maxFrameBytes = 64 << 20

// Frame bodies that are not defined in other packages.
type (
	challenge struct {
		Nonce []byte `msgpack:"n"`
	}
	hello struct {
		ID    string `msgpack:"i"`
		Nonce []byte `msgpack:"n"`
		Proof []byte `msgpack:"p"`
	}
	welcome struct {
		ID    string `msgpack:"i"`
		Proof []byte `msgpack:"p"`
	}
	endSession struct {
		Group   string          `msgpack:"g"`
		Session group.SessionID `msgpack:"s"`
	}
	cancelRequest struct {
		Group string          `msgpack:"g"`
		ID    group.RequestID `msgpack:"i"`
	}
	syncRequest struct {
		Since   uint64 `msgpack:"s"`
		Members uint64 `msgpack:"m"`
	}
	chunk struct {
		Data []byte `msgpack:"d"`
	}
	empty struct{}
)

// body is the constraint of the types that a frame can carry.
type body interface {
	challenge | hello | welcome | request.Request | request.Result | endSession | cancelRequest |
		syncRequest | core.SyncState | chunk | empty
}

// frame is a received frame with an encoded body.
type frame = framing.Frame

func send[T body](w *framing.Writer, kind frameKind, stream uint64, value *T) error {
	return w.Send(uint8(kind), stream, value)
}

func decodeBody[T body](received frame) (*T, error) {
	value := new(T)
	return value, codec.Decode(received.Body, value)
}

// Keys are the fleet's keys. The first is used for proofs and all are accepted, so that a
// key can be replaced node by node.
type Keys []string

const nonceBytes = 16

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails
	return nonce
}

// Prove returns an HMAC of the parts with the first key.
func (k Keys) Prove(parts ...[]byte) []byte { return proof(k[0], parts) }

func proof(key string, parts [][]byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	for _, part := range parts {
		_, _ = mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

// Verify reports whether the digest is an HMAC of the parts with one of the keys.
func (k Keys) Verify(digest []byte, parts ...[]byte) bool {
	for _, key := range k {
		if hmac.Equal(digest, proof(key, parts)[:min(len(digest), sha256.Size)]) && len(digest) >= nonceBytes {
			return true
		}
	}
	return false
}
