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
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"dewknot/internal/codec"
	"dewknot/internal/objectstore"
	"dewknot/internal/position"
)

// Question is what one node asks another.
type Question struct {
	// Kind, if set, asks for the objects of a kind: all of them, or with
	// Changes the changes after a revision, waiting up to Wait for one.
	Kind    string        `msgpack:"k,omitempty"`
	Changes bool          `msgpack:"c,omitempty"`
	After   uint64        `msgpack:"a,omitempty"`
	Wait    time.Duration `msgpack:"w,omitempty"`
	// Within, with Changes, refuses an answer from a node that the store itself has
	// not answered for so long.
	Within time.Duration `msgpack:"i,omitempty"`
	// Patches, with Changes, allows objects to be told as patches of the versions
	// that were in force at After.
	Patches bool `msgpack:"p,omitempty"`
	// Peek asks for the revision only.
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
}

// Answer is the answer to a question.
type Answer struct {
	// Failed carries the outcome of a question for objects that failed.
	Failed   bool                 `msgpack:"f,omitempty"`
	Outcome  objectstore.Outcome  `msgpack:"o,omitempty"`
	Objects  []objectstore.Object `msgpack:"x,omitempty"`
	Revision uint64               `msgpack:"r,omitempty"`
	// Patched are further objects, told as patches.
	Patched []objectstore.PatchedObject `msgpack:"d,omitempty"`
	// Reached answers a question about a server.
	Reached bool `msgpack:"y,omitempty"`
	// Received is the end of the log of a server that has stepped down.
	Received position.Position `msgpack:"v,omitempty"`
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
	// serveLimit bounds one exchange, beyond the wait that a question asks for.
	serveLimit = 3 * time.Second
	// dialLimit bounds the opening of a connection.
	dialLimit = 400 * time.Millisecond
	// maxWait bounds the wait that a question may ask for.
	maxWait = 30 * time.Second
)

// Serve answers questions until the listener is closed.
func Serve(listener net.Listener, handler Handler) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		go serveOne(connection, handler)
	}
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

func serveOne(connection net.Conn, handler Handler) {
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(serveLimit))
	var question Question
	if receive(connection, &question) != nil {
		return
	}
	question.Wait = min(max(question.Wait, 0), maxWait)
	_ = connection.SetDeadline(time.Now().Add(question.Wait + serveLimit))
	ctx, cancel := context.WithTimeout(context.Background(), question.Wait+serveLimit)
	defer cancel()
	if question.Tunnel {
		serveTunnel(ctx, connection, handler, question.Server)
		return
	}
	if question.Link {
		if send(connection, Answer{Reached: true}) == nil {
			_ = connection.SetDeadline(time.Time{})
			handler.ServeLink(connection)
		}
		return
	}
	_ = send(connection, handler.Answer(ctx, question))
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

// Tunnel opens a connection to a server through the node at an address.
func Tunnel(ctx context.Context, address, server string) (net.Conn, error) {
	return open(ctx, address, Question{Server: server, Tunnel: true})
}

// Link opens the connection of a link to the node at an address.
func Link(ctx context.Context, address string) (net.Conn, error) {
	return open(ctx, address, Question{Link: true})
}

// open asks a question after whose answer the connection goes on.
func open(ctx context.Context, address string, question Question) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "reach another node; ask a different one")
	}
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
func Ask(ctx context.Context, address string, question Question) (Answer, error) {
	dialer := net.Dialer{Timeout: dialLimit}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return Answer{}, errors.Wrap(err, "reach another node; ask a different one")
	}
	defer func() { _ = connection.Close() }()
	if deadline, set := ctx.Deadline(); set {
		_ = connection.SetDeadline(deadline)
	}
	// A question whose answer is no longer wanted ends at once.
	defer context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Now()) })()
	if err := send(connection, question); err != nil {
		return Answer{}, err
	}
	var answer Answer
	err = receive(connection, &answer)
	return answer, err
}

func send(connection net.Conn, message any) error {
	content, err := msgpack.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a message between nodes")
	}
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, len(content)+lengthBytes), uint32(len(content)))
	_, err = connection.Write(append(framed, content...))
	return errors.Wrap(err, "send a message to another node")
}

func receive(connection net.Conn, message any) error {
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
