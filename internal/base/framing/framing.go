// Package framing sends and receives frames over the connections between nodes.
//
// A frame consists of the length of the rest (4 bytes), a kind (1 byte), a stream number
// (8 bytes) and a msgpack body. The packages that use the transport define kinds and streams.
package framing

import (
	"bufio"
	"encoding/binary"
	"fmt"
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
	// typicalFrameBytes is the initial capacity of an encoded frame.
	typicalFrameBytes = 512
)

// Frame is a received frame whose body is not decoded yet.
type Frame struct {
	Kind   uint8
	Stream uint64
	Body   []byte
}

// Encode returns an encoded frame.
func Encode(kind uint8, stream uint64, body any) ([]byte, error) {
	frame, err := codec.Append(make([]byte, HeaderBytes, typicalFrameBytes), body)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	frame[lengthBytes] = kind
	binary.BigEndian.PutUint64(frame[lengthBytes+1:], stream)
	return frame, nil
}

// Read reads a frame. It fails if the body is larger than limit bytes.
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

// TooLargeError reports a frame that exceeds the writer's limit. It was not written.
type TooLargeError struct {
	Bytes int
	Limit int
}

// Error implements the error interface.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes exceeds the limit of %d; send less", e.Bytes, e.Limit)
}

// Writer writes frames of many goroutines to a connection. A goroutine that finds no write in
// progress writes its own frame and all frames queued meanwhile. Under load frames share system
// calls, otherwise they are written at once. Writer is safe for concurrent use.
type Writer struct {
	// Limit is the maximum size of a frame's body; 0 means no limit.
	Limit int

	conn    net.Conn
	mu      sync.Mutex
	pending []byte
	spare   []byte // buffer for reuse
	writing bool
	failure error
}

// NewWriter returns a writer to a connection. It closes the connection when a write fails.
func NewWriter(conn net.Conn) *Writer { return &Writer{conn: conn} }

// Send encodes a frame and writes or queues it. An error of an earlier write is returned to all
// later callers. A TooLargeError concerns only the frame.
func (w *Writer) Send(kind uint8, stream uint64, body any) error {
	encoded, err := Encode(kind, stream, body)
	if err != nil {
		return err
	}
	if size := len(encoded) - HeaderBytes; w.Limit > 0 && size > w.Limit {
		return &TooLargeError{Bytes: size, Limit: w.Limit}
	}
	return errors.Wrap(w.write(encoded), "write frame")
}

// write queues a frame and, if no write is in progress, writes until the queue is empty.
func (w *Writer) write(frame []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure != nil {
		return w.failure
	}
	w.pending = append(w.pending, frame...)
	if w.writing {
		return nil
	}
	w.writing = true
	for len(w.pending) > 0 && w.failure == nil {
		batch := w.pending
		w.pending = w.spare[:0]
		w.mu.Unlock()
		_, err := w.conn.Write(batch)
		w.mu.Lock()
		w.spare = batch[:0]
		if err != nil {
			// Callers with queued frames notice the failure when the connection closes.
			w.failure = err
			_ = w.conn.Close()
		}
	}
	w.writing = false
	return w.failure
}
