// Package relay is the protocol between nodes: a node that the store does not
// serve asks others for what they know, and the holder of a failover lease asks
// others whether they reach a server.
//
// A connection carries one question and one answer, each a msgpack value behind
// its length. Questions are rare, so connections are not kept, except those that
// become a tunnel to a server or a link of package remote.
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

// Question is what one node asks another.
type Question struct {
	// Kind, if set, asks for the objects of a kind: all of them, or with
	// Changes the changes after a revision, waiting up to Wait for one.
	Kind    string        `msgpack:"k,omitempty"`
	Changes bool          `msgpack:"c,omitempty"`
	After   era.Revision  `msgpack:"a,omitempty"`
	Wait    time.Duration `msgpack:"w,omitempty"`
	// Within, with Changes, refuses an answer from a node that the store itself has
	// not answered for so long.
	Within time.Duration `msgpack:"i,omitempty"`
	// Patches, with Changes, allows objects to be told as patches of the versions
	// that were in force at After.
	Patches bool `msgpack:"p,omitempty"`
	// Pieces allows large objects to be named in place of told.
	Pieces bool `msgpack:"g,omitempty"`
	// Piece, if set, asks for a part of a large object of the kind.
	Piece *Piece `msgpack:"q,omitempty"`
	// Peek asks for the revision only, of the configuration for its version too.
	Peek bool `msgpack:"e,omitempty"`
	// Server, if set, asks whether the node has lately reached a server.
	Server string `msgpack:"s,omitempty"`
	// Tunnel, with Server, asks for a connection to the server through the node:
	// after an answer with Reached, the connection carries its bytes.
	Tunnel bool `msgpack:"t,omitempty"`
	// StepDown, with Server, asks the node to make the server give up the lead; the
	// answer has Reached if it did.
	StepDown bool `msgpack:"d,omitempty"`
	// Link asks the node to serve operations on its connections: after an answer
	// with Reached, the connection is a link of package remote.
	Link bool `msgpack:"l,omitempty"`
	// Packed allows an answer to come compressed.
	Packed bool `msgpack:"u,omitempty"`
}

// Piece names the part of a version of an object that begins at an offset.
type Piece struct {
	Object   string       `msgpack:"o"`
	Revision era.Revision `msgpack:"r"`
	Offset   int          `msgpack:"f,omitempty"`
}

// Answer is the answer to a question.
type Answer struct {
	// Failed carries the outcome of a question for objects that failed.
	Failed   bool                 `msgpack:"f,omitempty"`
	Outcome  objectstore.Outcome  `msgpack:"o,omitempty"`
	Objects  []objectstore.Object `msgpack:"x,omitempty"`
	Revision era.Revision         `msgpack:"r,omitempty"`
	// Patched are further objects, told as patches.
	Patched []objectstore.PatchedObject `msgpack:"d,omitempty"`
	// Large names further objects, to be asked for in pieces.
	Large []objectstore.LargeObject `msgpack:"g,omitempty"`
	// Piece is the part of an object that was asked for. If Later is set in its place,
	// the node hands out as many as it may, and is to be asked again after that.
	Piece []byte        `msgpack:"b,omitempty"`
	Later time.Duration `msgpack:"z,omitempty"`
	// Reached answers a question about a server.
	Reached bool `msgpack:"y,omitempty"`
	// Received is the end of the log of a server that has stepped down.
	Received position.Position `msgpack:"v,omitempty"`
	// Version, with Peek, is that of the configuration that the node knows.
	Version uint64 `msgpack:"n,omitempty"`
	// Packed, if set, is the whole answer, compressed, in place of the other fields.
	Packed []byte `msgpack:"s,omitempty"`
}

// Handler answers questions.
type Handler interface {
	Answer(ctx context.Context, question Question) Answer
	// Connect opens a connection to a server, for a tunnel.
	Connect(ctx context.Context, server string) (net.Conn, error)
	// ServeLink serves a link until it ends.
	ServeLink(connection net.Conn)
}

// Limits of the protocol.
const (
	maxMessageBytes = 32 << 20
	lengthBytes     = 4
	// serveLimit bounds the reading of a question, and the silence of an asker that
	// takes an answer.
	serveLimit = 3 * time.Second
	// writeBytes is how much is written at a time: an asker on a slow link takes each
	// such part within serveLimit.
	writeBytes = 16 << 10
	// dialLimit bounds the opening of a connection.
	dialLimit = 400 * time.Millisecond
	// maxWait bounds the wait that a question may ask for.
	maxWait = 30 * time.Second
)

// Accounting tells what bytes of questions and answers are for. Its zero value counts none.
type Accounting struct {
	Meter *traffic.Meter
	// Kinds are those of the objects that are asked for.
	Kinds map[string]traffic.Kind
}

// set tells what the bytes of a connection are for.
func (a *Accounting) set(connection net.Conn, question *Question) {
	kind := a.Kinds[question.Kind]
	switch {
	case question.Link:
		kind = traffic.Links
	case question.Tunnel:
		kind = traffic.Tunnels
	}
	traffic.SetKind(connection, kind)
}

// server answers questions.
type server struct {
	handler    Handler
	pieces     pieceGate
	accounting Accounting
}

// Serve answers questions until the listener is closed.
func Serve(listener net.Listener, handler Handler, accounting Accounting) {
	s := &server{handler: handler, pieces: newPieceGate(), accounting: accounting}
	for {
		connection, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(accounting.Meter.Count(connection))
	}
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

// serve answers the one question of a connection.
func (s *server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	_ = connection.SetReadDeadline(time.Now().Add(serveLimit))
	var question Question
	if receive(connection, &question) != nil {
		return
	}
	s.accounting.set(connection, &question)
	question.Wait = min(max(question.Wait, 0), maxWait)
	ctx, cancel := context.WithTimeout(context.Background(), question.Wait+serveLimit)
	defer cancel()
	switch {
	case question.Tunnel:
		_ = connection.SetDeadline(time.Now().Add(question.Wait + serveLimit))
		serveTunnel(ctx, connection, s.handler, question.Server)
	case question.Link:
		if send(connection, Answer{Reached: true}) == nil {
			_ = connection.SetDeadline(time.Time{})
			s.handler.ServeLink(connection)
		}
	case question.Piece != nil:
		s.servePiece(ctx, connection, question)
	default:
		_ = answer(connection, &question, s.handler.Answer(ctx, question))
	}
}

// servePiece answers with a piece, unless as many as may be are on their way.
func (s *server) servePiece(ctx context.Context, connection net.Conn, question Question) {
	began, later := s.pieces.enter()
	if later > 0 {
		_ = send(connection, Answer{Later: later})
		return
	}
	defer func() { s.pieces.leave(time.Since(began)) }()
	_ = send(connection, s.handler.Answer(ctx, question))
}

// serveTunnel carries bytes between the asking node and a server until either
// side ends.
func serveTunnel(ctx context.Context, connection net.Conn, handler Handler, server string) {
	opened, err := handler.Connect(ctx, server)
	if send(connection, Answer{Reached: err == nil}) != nil || err != nil {
		if err == nil {
			_ = opened.Close()
		}
		return
	}
	defer func() { _ = opened.Close() }()
	_ = connection.SetDeadline(time.Time{})
	done := make(chan struct{}, 1)
	carry := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		// Closing both ends the other direction too: half a tunnel is of no use.
		_ = to.Close()
		_ = from.Close()
		done <- struct{}{}
	}
	go carry(opened, connection)
	carry(connection, opened)
	<-done
}

// ErrNotReached is returned when the other node cannot reach the server either.
var ErrNotReached = errors.New("the other node does not reach the server; ask a different one")

// Asker asks other nodes.
type Asker struct{ Accounting }

// Tunnel opens a connection to a server through the node at an address.
func (a *Asker) Tunnel(ctx context.Context, address, server string) (net.Conn, error) {
	return a.open(ctx, address, Question{Server: server, Tunnel: true})
}

// Link opens the connection of a link to the node at an address.
func (a *Asker) Link(ctx context.Context, address string) (net.Conn, error) {
	return a.open(ctx, address, Question{Link: true})
}

// open asks a question after whose answer the connection goes on.
func (a *Asker) open(ctx context.Context, address string, question Question) (net.Conn, error) {
	connection, err := liveness.Dialer(0).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "reach another node; ask a different one")
	}
	connection = a.Meter.Count(connection)
	a.set(connection, &question)
	if deadline, set := ctx.Deadline(); set {
		_ = connection.SetDeadline(deadline)
	}
	var answer Answer
	if err = send(connection, question); err == nil {
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

// Ask asks the node at an address.
func (a *Asker) Ask(ctx context.Context, address string, question Question) (Answer, error) {
	connection, err := liveness.Dialer(dialLimit).DialContext(ctx, "tcp4", address)
	if err != nil {
		return Answer{}, errors.Wrap(err, "reach another node; ask a different one")
	}
	connection = a.Meter.Count(connection)
	a.set(connection, &question)
	defer func() { _ = connection.Close() }()
	if deadline, set := ctx.Deadline(); set {
		_ = connection.SetReadDeadline(deadline)
	}
	// A question whose answer is no longer wanted ends at once.
	defer context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Now()) })()
	question.Packed = true
	if err := send(connection, question); err != nil {
		return Answer{}, err
	}
	var answer Answer
	if err = receive(stall.Reader(ctx, connection), &answer); err != nil || answer.Packed == nil {
		return answer, err
	}
	return unpack(answer.Packed)
}

// send writes a message in parts, each of which the other end has to take in time.
func send(connection net.Conn, message any) error {
	content, err := msgpack.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a message between nodes")
	}
	return write(connection, content)
}

// write writes an encoded message behind its length.
func write(connection net.Conn, content []byte) error {
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, len(content)+lengthBytes), uint32(len(content)))
	for part := range slices.Chunk(append(framed, content...), writeBytes) {
		_ = connection.SetWriteDeadline(time.Now().Add(serveLimit))
		if _, err := connection.Write(part); err != nil {
			return errors.Wrap(err, "send a message to another node")
		}
	}
	return nil
}

func receive(connection io.Reader, message any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(connection, length[:]); err != nil {
		return errors.Wrap(err, "receive a message from another node")
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return errors.Errorf("a message between nodes has %d bytes; %d are allowed", size, maxMessageBytes)
	}
	content, err := io.ReadAll(io.LimitReader(connection, int64(size)))
	if err != nil || len(content) < int(size) {
		return errors.Errorf("a message between nodes ended after %d of %d bytes", len(content), size)
	}
	return errors.Wrap(codec.Decode(content, message), "decode a message between nodes")
}
