// Package relay implements the protocol between nodes. A node that gets no answer from the store
// asks others for what they know, and the holder of a failover lease asks others whether they reach
// a server.
//
// A connection carries one request and one answer, each a msgpack value with a length prefix.
// Requests are rare, so connections are not reused, except those that become a tunnel to a server
// or a link of package remote.
package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/era"
	"dewknot/internal/base/liveness"
	"dewknot/internal/base/position"
	"dewknot/internal/base/stall"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/traffic"
)

// Request is a request to another node.
type Request struct {
	// Kind, if set, requests the objects of a kind: all of them, or with Changes those changed
	// after a revision, waiting up to Wait for a change.
	Kind    string        `msgpack:"k,omitempty"`
	Changes bool          `msgpack:"c,omitempty"`
	After   era.Revision  `msgpack:"a,omitempty"`
	Wait    time.Duration `msgpack:"w,omitempty"`
	// MaxAge rejects answers from a node whose last answer from the store is older. For members
	// and leases it is the maximum age of the listing.
	MaxAge time.Duration `msgpack:"i,omitempty"`
	// AcceptPatches, with Changes, allows objects to be sent as patches of the versions in force
	// at After.
	AcceptPatches bool `msgpack:"p,omitempty"`
	// AcceptPieces allows large objects to be announced instead of sent.
	AcceptPieces bool `msgpack:"g,omitempty"`
	// Piece, if set, requests a part of a large object of the kind.
	Piece *Piece `msgpack:"q,omitempty"`
	// RevisionOnly requests only the revision, and for the configuration also its version. For
	// members it requests their number.
	RevisionOnly bool `msgpack:"e,omitempty"`
	// Server, if set, asks whether the node recently reached a server.
	Server string `msgpack:"s,omitempty"`
	// Tunnel, with Server, requests a connection to the server through the node. After an answer
	// with Reached, the connection carries the server's bytes.
	Tunnel bool `msgpack:"t,omitempty"`
	// StepDown, with Server, requests that the node demotes the server. The answer has Reached set
	// if it did.
	StepDown bool `msgpack:"d,omitempty"`
	// Link requests that the node serves operations on its connections. After an answer with
	// Reached, the connection is a link of package remote.
	Link bool `msgpack:"l,omitempty"`
	// AcceptCompressed allows a compressed answer.
	AcceptCompressed bool `msgpack:"u,omitempty"`
}

// Piece identifies the part at an offset of a version of an object.
type Piece struct {
	Object   string       `msgpack:"o"`
	Revision era.Revision `msgpack:"r"`
	Offset   int          `msgpack:"f,omitempty"`
}

// Answer is the answer to a request.
type Answer struct {
	// Failed is set if a request for objects failed with Outcome.
	Failed   bool                 `msgpack:"f,omitempty"`
	Outcome  objectstore.Outcome  `msgpack:"o,omitempty"`
	Objects  []objectstore.Object `msgpack:"x,omitempty"`
	Revision era.Revision         `msgpack:"r,omitempty"`
	// Patched are further objects, sent as patches.
	Patched []objectstore.PatchedObject `msgpack:"d,omitempty"`
	// Large announces further objects, to be requested in pieces.
	Large []objectstore.LargeObject `msgpack:"g,omitempty"`
	// Piece is the requested part of an object. If RetryAfter is set instead, the node already
	// sends the maximum number of pieces; retry after that delay.
	Piece      []byte        `msgpack:"b,omitempty"`
	RetryAfter time.Duration `msgpack:"z,omitempty"`
	// Reached answers a request about a server.
	Reached bool `msgpack:"y,omitempty"`
	// Received is the end of the log of a server that was demoted.
	Received position.Position `msgpack:"v,omitempty"`
	// Version, with RevisionOnly, is the version of the configuration that the node knows.
	Version uint64 `msgpack:"n,omitempty"`
	// Compressed, if set, is the complete answer in compressed form. The other fields are unset.
	Compressed []byte `msgpack:"s,omitempty"`
}

// Handler answers requests.
type Handler interface {
	Answer(ctx context.Context, request Request) Answer
	// Connect opens a connection to a server, for a tunnel.
	Connect(ctx context.Context, server string) (net.Conn, error)
	// ServeLink serves a link until it ends.
	ServeLink(connection net.Conn)
}

// Limits of the protocol.
const (
	maxMessageBytes = 32 << 20
	lengthBytes     = 4
	// ioTimeout bounds the read of a request, and each write of a part of an answer.
	ioTimeout = 3 * time.Second
	// writeChunkBytes is the size of a write. A client on a slow link has to receive each chunk
	// within ioTimeout.
	writeChunkBytes = 16 << 10
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 400 * time.Millisecond
	// maxWait bounds the wait that a request may ask for.
	maxWait = 30 * time.Second
)

// Accounting assigns the bytes of connections to kinds of traffic. The zero value counts nothing.
type Accounting struct {
	Meter *traffic.Meter
	// Kinds maps the kinds of requested objects to kinds of traffic.
	Kinds map[string]traffic.Kind
}

// setKind sets the kind of a connection's traffic.
func (a *Accounting) setKind(connection net.Conn, request *Request) {
	kind := a.Kinds[request.Kind]
	switch {
	case request.Link:
		kind = traffic.Links
	case request.Tunnel:
		kind = traffic.Tunnels
	}
	traffic.SetKind(connection, kind)
}

// server answers requests.
type server struct {
	handler    Handler
	pieces     pieceLimiter
	accounting Accounting
}

// Serve answers requests until the listener is closed.
func Serve(listener net.Listener, handler Handler, accounting Accounting) {
	s := &server{handler: handler, pieces: newPieceLimiter(), accounting: accounting}
	for {
		connection, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serve(accounting.Meter.Count(connection))
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// serve answers the single request of a connection.
func (s *server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	_ = connection.SetReadDeadline(time.Now().Add(ioTimeout))
	var request Request
	if receive(connection, &request) != nil {
		return
	}
	s.accounting.setKind(connection, &request)
	request.Wait = min(max(request.Wait, 0), maxWait)
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait+ioTimeout)
	defer cancel()
	switch {
	case request.Tunnel:
		_ = connection.SetDeadline(time.Now().Add(request.Wait + ioTimeout))
		serveTunnel(ctx, connection, s.handler, request.Server)
	case request.Link:
		if send(connection, Answer{Reached: true}) == nil {
			_ = connection.SetDeadline(time.Time{})
			s.handler.ServeLink(connection)
		}
	case request.Piece != nil:
		s.servePiece(ctx, connection, request)
	default:
		_ = sendAnswer(connection, &request, s.handler.Answer(ctx, request))
	}
}

// servePiece answers with a piece, or with a retry delay if too many pieces are being sent.
func (s *server) servePiece(ctx context.Context, connection net.Conn, request Request) {
	began, retryAfter := s.pieces.acquire()
	if retryAfter > 0 {
		_ = send(connection, Answer{RetryAfter: retryAfter})
		return
	}
	defer func() { s.pieces.release(time.Since(began)) }()
	_ = send(connection, s.handler.Answer(ctx, request))
}

// serveTunnel copies bytes between the requesting node and a server until either side ends.
func serveTunnel(ctx context.Context, connection net.Conn, handler Handler, server string) {
	target, err := handler.Connect(ctx, server)
	if send(connection, Answer{Reached: err == nil}) != nil || err != nil {
		if err == nil {
			_ = target.Close()
		}
		return
	}
	defer func() { _ = target.Close() }()
	_ = connection.SetDeadline(time.Time{})
	done := make(chan struct{}, 1)
	copyAndClose := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		// Close both, which ends the other direction too.
		_ = to.Close()
		_ = from.Close()
		done <- struct{}{}
	}
	go copyAndClose(target, connection)
	copyAndClose(connection, target)
	<-done
}

// ErrNotReached is returned if the other node cannot reach the server either.
var ErrNotReached = errors.New("the other node does not reach the server; ask a different one")

// Client sends requests to other nodes.
type Client struct{ Accounting }

// Tunnel opens a connection to a server through the node at an address.
func (c *Client) Tunnel(ctx context.Context, address, server string) (net.Conn, error) {
	return c.open(ctx, address, Request{Server: server, Tunnel: true})
}

// Link opens the connection of a link to the node at an address.
func (c *Client) Link(ctx context.Context, address string) (net.Conn, error) {
	return c.open(ctx, address, Request{Link: true})
}

// open sends a request for a tunnel or a link and returns the connection, which stays open after
// the answer.
func (c *Client) open(ctx context.Context, address string, request Request) (net.Conn, error) {
	connection, err := liveness.Dialer(0).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "reach another node; ask a different one")
	}
	connection = c.Meter.Count(connection)
	c.setKind(connection, &request)
	if deadline, set := ctx.Deadline(); set {
		_ = connection.SetDeadline(deadline)
	}
	var answer Answer
	if err = send(connection, request); err == nil {
		err = receive(connection, &answer)
	}
	if err == nil && !answer.Reached {
		err = ErrNotReached
	}
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	_ = connection.SetDeadline(time.Time{})
	return connection, nil
}

// Ask sends a request to the node at an address and returns its answer.
func (c *Client) Ask(ctx context.Context, address string, request Request) (Answer, error) {
	connection, err := liveness.Dialer(dialTimeout).DialContext(ctx, "tcp4", address)
	if err != nil {
		return Answer{}, errors.Wrap(err, "reach another node; ask a different one")
	}
	connection = c.Meter.Count(connection)
	c.setKind(connection, &request)
	defer func() { _ = connection.Close() }()
	if deadline, set := ctx.Deadline(); set {
		_ = connection.SetReadDeadline(deadline)
	}
	// A canceled request ends immediately.
	defer context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Now()) })()
	request.AcceptCompressed = true
	if err := send(connection, request); err != nil {
		return Answer{}, err
	}
	var answer Answer
	if err = receive(stall.Reader(ctx, connection), &answer); err != nil || answer.Compressed == nil {
		return answer, err
	}
	return decompress(answer.Compressed)
}

// send encodes and writes a message.
func send(connection net.Conn, message any) error {
	content, err := msgpack.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a message between nodes")
	}
	return write(connection, content)
}

// write writes an encoded message with a length prefix, in chunks that the other end has to receive
// in time.
func write(connection net.Conn, content []byte) error {
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, len(content)+lengthBytes), uint32(len(content)))
	for part := range slices.Chunk(append(framed, content...), writeChunkBytes) {
		_ = connection.SetWriteDeadline(time.Now().Add(ioTimeout))
		if _, err := connection.Write(part); err != nil {
			return errors.Wrap(err, "send a message to another node")
		}
	}
	return nil
}

// receive reads and decodes a message.
func receive(connection io.Reader, message any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(connection, length[:]); err != nil {
		return errors.Wrap(err, "receive a message from another node")
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return errors.Errorf("a message between nodes has %d bytes; the maximum is %d", size, maxMessageBytes)
	}
	content, err := io.ReadAll(io.LimitReader(connection, int64(size)))
	if err != nil || len(content) < int(size) {
		return errors.Errorf("a message between nodes ended after %d of %d bytes", len(content), size)
	}
	return errors.Wrap(codec.Decode(content, message), "decode a message between nodes")
}
