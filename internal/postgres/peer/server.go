package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/framing"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/request"
)

// SyncSource answers a peer's request for this node's state.
type SyncSource interface {
	AnswerSync(since, membersDigest uint64) core.SyncState
}

// Listener accepts links from peers.
type Listener struct {
	id     string
	keys   Keys
	server request.Server
	sync   SyncSource
	log    *zap.Logger
	socket net.Listener
	mu     sync.Mutex
	links  map[net.Conn]string // ID of the peer, "" before the handshake
	closed bool
	done   sync.WaitGroup
	// refused counts links whose handshake failed.
	refused uint64
}

// Listen listens on the address and begins to accept peers.
func Listen(
	address, id string, keys Keys, server request.Server, source SyncSource, log *zap.Logger,
) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s; name a free address", address)
	}
	listener := &Listener{
		id: id, keys: keys, server: server, sync: source, log: log, socket: socket, links: map[net.Conn]string{},
	}
	listener.done.Add(1)
	go listener.acceptLoop()
	return listener, nil
}

// Address returns the listening address.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Close closes all links and waits for their goroutines.
func (l *Listener) Close() {
	_ = l.socket.Close()
	l.mu.Lock()
	l.closed = true
	for link := range l.links {
		_ = link.Close()
	}
	l.mu.Unlock()
	l.done.Wait()
}

func (l *Listener) acceptLoop() {
	defer l.done.Done()
	for {
		conn, err := l.socket.Accept()
		if err != nil {
			return
		}
		if !l.track(conn) {
			_ = conn.Close()
			return
		}
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			defer l.untrack(conn)
			l.serveLink(conn)
		}()
	}
}

func (l *Listener) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[conn] = ""
	return !l.closed
}

func (l *Listener) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, conn)
	_ = conn.Close()
}

// handshakeTimeout is the timeout of the handshake, and handshakeBytes the maximum size of
// its frames.
const (
	handshakeTimeout = 3 * time.Second
	handshakeBytes   = 4096
)

// serverLink is the serving end of a link.
type serverLink struct {
	*framing.Writer
	conn     net.Conn
	listener *Listener
	ctx      context.Context
	mu       sync.Mutex
	// sessions are the sessions to end when the link is lost.
	sessions map[endSession]struct{}
	credits  map[uint64]chan struct{} // by stream
	requests sync.WaitGroup
}

func (l *Listener) serveLink(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	peerID, err := l.handshake(conn, reader)
	if err != nil {
		l.mu.Lock()
		l.refused++
		l.mu.Unlock()
		l.log.Info("peer: handshake failed", zap.String("address", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	l.setPeer(conn, peerID)
	ctx, cancel := context.WithCancel(context.Background())
	served := &serverLink{
		Writer: framing.NewWriter(conn), conn: conn, listener: l, ctx: ctx,
		sessions: map[endSession]struct{}{}, credits: map[uint64]chan struct{}{},
	}
	err = served.readLoop(reader)
	cancel()
	l.log.Debug("peer: link closed", zap.String("peer", peerID), zap.Error(err))
	served.endSessions()
	_ = conn.Close()
	served.requests.Wait()
}

func (l *Listener) setPeer(conn net.Conn, peerID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[conn] = peerID
}

// Drop closes the links from a peer that is no longer a member, which ends its sessions and
// rolls their transactions back. Idle links have no traffic, so a peer that disappeared is
// detected by membership and not by its links.
func (l *Listener) Drop(peerID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, peer := range l.links {
		if peer == peerID {
			_ = conn.Close()
		}
	}
}

func (l *Listener) handshake(conn net.Conn, reader *bufio.Reader) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	out := framing.NewWriter(conn)
	nonce := newNonce()
	if err := send(out, frameChallenge, 0, &challenge{Nonce: nonce}); err != nil {
		return "", err
	}
	received, err := framing.Read(reader, handshakeBytes)
	if err != nil {
		return "", err
	}
	greeting, err := decodeBody[hello](received)
	if err != nil {
		return "", err
	}
	if frameKind(received.Kind) != frameHello || !l.keys.Verify(greeting.Proof, nonce, []byte(greeting.ID)) {
		return "", errors.New("the peer did not prove the fleet key; configure the same fleet_keys on both nodes")
	}
	err = send(out, frameWelcome, 0, &welcome{ID: l.id, Proof: l.keys.Prove(greeting.Nonce, []byte(l.id))})
	_ = conn.SetDeadline(time.Time{})
	return greeting.ID, err
}

// Refused returns the number of links whose handshake failed.
func (l *Listener) Refused() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

func (l *serverLink) readLoop(reader *bufio.Reader) error {
	for {
		received, err := framing.Read(reader, maxFrameBytes)
		if err != nil {
			return err
		}
		if err := l.handleFrame(received); err != nil {
			return err
		}
	}
}

func (l *serverLink) handleFrame(received frame) error {
	switch frameKind(received.Kind) {
	case frameRequest:
		submitted, err := decodeBody[request.Request](received)
		if err != nil {
			return err
		}
		l.startRequest(received.Stream, submitted)
	case frameCredit:
		l.addCredit(received.Stream)
	case frameEndSession:
		ended, err := decodeBody[endSession](received)
		if err != nil {
			return err
		}
		l.endOneSession(*ended)
	case frameCancel:
		canceled, err := decodeBody[cancelRequest](received)
		if err != nil {
			return err
		}
		l.listener.server.Cancel(canceled.Group, canceled.ID)
	case frameSync:
		wanted, err := decodeBody[syncRequest](received)
		if err != nil {
			return err
		}
		answer := l.listener.sync.AnswerSync(wanted.Since, wanted.Members)
		return send(l.Writer, frameSyncAnswer, received.Stream, &answer)
	case framePing:
		return send(l.Writer, framePong, received.Stream, &empty{})
	default:
		return errors.Errorf("unexpected frame of kind %d", frameKind(received.Kind))
	}
	return nil
}

// windowChunks is the maximum number of chunks of an answer in flight.
const windowChunks = 8

func (l *serverLink) startRequest(stream uint64, submitted *request.Request) {
	credit := make(chan struct{}, windowChunks)
	for range windowChunks {
		credit <- struct{}{}
	}
	l.mu.Lock()
	l.sessions[endSession{submitted.Group, submitted.Info.ID.Session}] = struct{}{}
	l.credits[stream] = credit
	l.mu.Unlock()
	l.requests.Add(1)
	go func() {
		defer l.requests.Done()
		l.runRequest(stream, submitted, credit)
	}()
}

func (l *serverLink) runRequest(stream uint64, submitted *request.Request, credit chan struct{}) {
	result, err := l.listener.server.Submit(l.ctx, submitted, func(data []byte) error {
		select {
		case <-credit:
			return send(l.Writer, frameChunk, stream, &chunk{Data: data})
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
	})
	l.mu.Lock()
	delete(l.credits, stream)
	l.mu.Unlock()
	if err != nil {
		_ = l.conn.Close() // the outcome is unknown, which the peer learns from the lost link
		return
	}
	_ = send(l.Writer, frameResult, stream, &result)
}

func (l *serverLink) addCredit(stream uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if credit := l.credits[stream]; credit != nil {
		select {
		case credit <- struct{}{}:
		default:
		}
	}
}

func (l *serverLink) endOneSession(ended endSession) {
	l.mu.Lock()
	delete(l.sessions, ended)
	l.mu.Unlock()
	l.listener.server.EndSession(ended.Group, ended.Session)
}

// endSessions ends all sessions of the link, which rolls their transactions back.
func (l *serverLink) endSessions() {
	l.mu.Lock()
	sessions := make([]endSession, 0, len(l.sessions))
	for session := range l.sessions {
		sessions = append(sessions, session)
	}
	l.mu.Unlock()
	for _, session := range sessions {
		l.listener.server.EndSession(session.Group, session.Session)
	}
}
