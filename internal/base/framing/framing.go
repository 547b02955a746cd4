// Package framing is the transport that links between nodes share: numbered
// frames with msgpack bodies over one connection.
//
// A frame is its length (4 bytes, of what follows), a kind (1 byte), a stream
// number (8 bytes) and a body. Streams are told apart by the packages that use
// the transport.
package framing

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"dewknot/internal/base/codec"
)

const (
	lengthBytes = 4
	// HeaderBytes is the size of a frame without its body.
	HeaderBytes = lengthBytes + 1 + 8
	// usualBytes is room for most frames.
	usualBytes = 512
)

// Frame is a received frame whose body is not decoded yet.
type Frame struct {
	Kind   uint8
	Stream uint64
	Body   []byte
}

// Encode returns a whole frame.
func Encode(kind uint8, stream uint64, body any) ([]byte, error) {
	frame, err := codec.Append(make([]byte, HeaderBytes, usualBytes), body)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	frame[lengthBytes] = kind
	binary.BigEndian.PutUint64(frame[lengthBytes+1:], stream)
	return frame, nil
}

// Read reads a frame whose body has at most limit bytes.
func Read(r *bufio.Reader, limit int) (Frame, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, errors.Wrap(err, "read frame header")
	}
	size := int(binary.BigEndian.Uint32(header[:])) + lengthBytes - HeaderBytes
	if size < 0 || size > limit {
		return Frame{}, errors.Errorf("frame of %d bytes exceeds the limit of %d", size, limit)
	}
	f := Frame{Kind: header[lengthBytes], Stream: binary.BigEndian.Uint64(header[lengthBytes+1:]), Body: make([]byte, size)}
	_, err := io.ReadFull(r, f.Body)
	return f, errors.Wrap(err, "read frame body")
}

// Writer puts frames of many goroutines onto a connection. Whoever finds nobody
// writing writes its own frame and all that arrive meanwhile, so that frames share
// system calls under load and none waits without. It is safe for concurrent use.
type Writer struct {
	conn    net.Conn
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	writing bool
	failure error
}

// NewWriter returns a writer onto a connection, which it closes when a write fails.
func NewWriter(conn net.Conn) *Writer { return &Writer{conn: conn} }

// Send encodes a frame and writes it.
func (w *Writer) Send(kind uint8, stream uint64, body any) error {
	encoded, err := Encode(kind, stream, body)
	if err != nil {
		return err
	}
	return errors.Wrap(w.write(encoded), "write frame")
}

// write queues bytes and, if nobody else does, writes until nothing waits. An
// error of an earlier write is returned to every later caller.
func (w *Writer) write(frame []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure != nil {
		return w.failure
	}
	w.waiting = append(w.waiting, frame...)
	if w.writing {
		return nil
	}
	w.writing = true
	for len(w.waiting) > 0 && w.failure == nil {
		batch := w.waiting
		w.waiting = w.spare[:0]
		w.mu.Unlock()
		_, err := w.conn.Write(batch)
		w.mu.Lock()
		w.spare = batch[:0]
		if err != nil {
			// Those whose frames were queued learn of it when the link ends.
			w.failure = err
			_ = w.conn.Close()
		}
	}
	w.writing = false
	return w.failure
}
