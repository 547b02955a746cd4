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

// SyncSource answers a peer's question for state.
type SyncSource interface {
	AnswerSync(since, membersDigest uint64) core.SyncState
}

// Listener accepts links from peers.
type Listener struct {
	id     string
	keys   Keys
	serve  request.Server
	sync   SyncSource
	log    *zap.Logger
	socket net.Listener
	mu     sync.Mutex
	links  map[net.Conn]string // the peer behind each, "" before its proof
	closed bool
	done   sync.WaitGroup
	// Refused counts links that failed to prove the fleet key.
	refused uint64
}

// Listen opens the address for peers.
func Listen(address, id string, keys Keys, serve request.Server, source SyncSource, log *zap.Logger) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s; name a free address", address)
	}
	listener := &Listener{id: id, keys: keys, serve: serve, sync: source, log: log, socket: socket, links: map[net.Conn]string{}}
	listener.done.Add(1)
	go listener.acceptLoop()
	return listener, nil
}

// Address returns the listening address.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Close ends all links.
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

// handshakeTimeout bounds the proof of the fleet key; handshakeBytes bounds the
// frames before it.
const (
	handshakeTimeout = 3 * time.Second
	handshakeBytes   = 4096
)

// link is the serving end of one link.
type link struct {
	*framing.Writer
	conn     net.Conn
	listener *Listener
	ctx      context.Context
	mu       sync.Mutex
	// sessions holds what must be ended when the link is lost.
	sessions map[endSession]struct{}
	credits  map[uint64]chan struct{}
	requests sync.WaitGroup
}

func (l *Listener) serveLink(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, readBuffer)
	peerID, err := l.handshake(conn, reader)
	if err != nil {
		l.mu.Lock()
		l.refused++
		l.mu.Unlock()
		l.log.Info("peer: link refused", zap.String("address", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	l.name(conn, peerID)
	ctx, cancel := context.WithCancel(context.Background())
	served := &link{
		Writer: framing.NewWriter(conn), conn: conn, listener: l, ctx: ctx,
		sessions: map[endSession]struct{}{}, credits: map[uint64]chan struct{}{},
	}
	err = served.readLoop(reader)
	cancel()
	l.log.Debug("peer: link ended", zap.String("peer", peerID), zap.Error(err))
	served.endSessions()
	_ = conn.Close()
	served.requests.Wait()
}

func (l *Listener) name(conn net.Conn, peerID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[conn] = peerID
}

// Drop closes the links from a peer that is no longer a member, so that the
// sessions it brought end and their transactions are rolled back. A peer that
// vanished without a word is found by membership; the links themselves are silent
// while nothing is asked, which keeps them free of cost.
func (l *Listener) Drop(peerID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, name := range l.links {
		if name == peerID {
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
	if frameKind(received.Kind) != frameHello || !l.keys.Accept(greeting.Proof, nonce, []byte(greeting.ID)) {
		return "", errors.New("the peer does not prove the fleet key; give both nodes the same fleet_keys")
	}
	err = send(out, frameWelcome, 0, &welcome{ID: l.id, Proof: l.keys.Prove(greeting.Nonce, []byte(l.id))})
	_ = conn.SetDeadline(time.Time{})
	return greeting.ID, err
}

// Refused returns how many links failed to prove the fleet key.
func (l *Listener) Refused() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

func (l *link) readLoop(reader *bufio.Reader) error {
	for {
		received, err := framing.Read(reader, maxFrameBytes)
		if err != nil {
			return err
		}
		if err := l.take(received); err != nil {
			return err
		}
	}
}

func (l *link) take(received frame) error {
	switch frameKind(received.Kind) {
	case frameRequest:
		submitted, err := decodeBody[request.Request](received)
		if err != nil {
			return err
		}
		l.begin(received.Stream, submitted)
	case frameCredit:
		l.addCredit(received.Stream)
	case frameEndSession:
		ended, err := decodeBody[endSession](received)
		if err != nil {
			return err
		}
		l.endOne(*ended)
	case frameCancel:
		canceled, err := decodeBody[cancelRequest](received)
		if err != nil {
			return err
		}
		l.listener.serve.Cancel(canceled.Group, canceled.ID)
	case frameSync:
		asked, err := decodeBody[syncRequest](received)
		if err != nil {
			return err
		}
		answer := l.listener.sync.AnswerSync(asked.Since, asked.Members)
		return send(l.Writer, frameSyncAnswer, received.Stream, &answer)
	case framePing:
		return send(l.Writer, framePong, received.Stream, &empty{})
	default:
		return errors.Errorf("unexpected frame of kind %d", frameKind(received.Kind))
	}
	return nil
}

// windowChunks is how many parts of an answer may be on their way.
const windowChunks = 8

func (l *link) begin(stream uint64, submitted *request.Request) {
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

func (l *link) runRequest(stream uint64, submitted *request.Request, credit chan struct{}) {
	result, err := l.listener.serve.Submit(l.ctx, submitted, func(data []byte) error {
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
		_ = l.conn.Close() // the outcome is unknown here too: the lost link says so
		return
	}
	_ = send(l.Writer, frameResult, stream, &result)
}

func (l *link) addCredit(stream uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if credit := l.credits[stream]; credit != nil {
		select {
		case credit <- struct{}{}:
		default:
		}
	}
}

func (l *link) endOne(ended endSession) {
	l.mu.Lock()
	delete(l.sessions, ended)
	l.mu.Unlock()
	l.listener.serve.EndSession(ended.Group, ended.Session)
}

// endSessions rolls back the transactions of every session that came over the link.
func (l *link) endSessions() {
	l.mu.Lock()
	sessions := make([]endSession, 0, len(l.sessions))
	for session := range l.sessions {
		sessions = append(sessions, session)
	}
	l.mu.Unlock()
	for _, session := range sessions {
		l.listener.serve.EndSession(session.Group, session.Session)
	}
}
