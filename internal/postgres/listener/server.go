// Package listener is the callers' edge: it accepts PostgreSQL connections,
// follows each caller's session and has its requests served by the group's owner.
package listener

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/failure"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/forward"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/request"
)

// Router serves requests; forward.Router implements it.
type Router interface {
	Submit(ctx context.Context, submitted *request.Request, pinned string, chunk func([]byte) error) forward.Served
	EndSession(owner, groupName string, session group.SessionID)
	Cancel(owner, groupName string, id group.RequestID)
	View() *core.View
}

// Settings are the limits of the edge.
type Settings struct {
	// Epoch is unique to this run of this process.
	Epoch uint64
	// MaxMessageBytes bounds one message from a caller.
	MaxMessageBytes int
	// MaxConnections bounds the callers connected at a time.
	MaxConnections int
	// StartupTimeout bounds connecting and authenticating.
	StartupTimeout time.Duration
	// Fresh reports whether the node may take new requests: its knowledge of
	// policies is recent. A node that was paused or is cut off may not.
	Fresh func() bool
	// Authenticate is false when callers are trusted, in demos and tests.
	Authenticate bool
}

// Counters count what happened at the edge.
type Counters struct {
	Accepted, Refused, AuthenticationFailures atomic.Uint64
	ProtocolViolations, Requests              atomic.Uint64
}

// Server accepts callers.
type Server struct {
	settings Settings
	router   Router
	log      *zap.Logger
	socket   net.Listener
	Counters Counters

	nextSession atomic.Uint64
	stopping    atomic.Bool

	mu       sync.Mutex
	sessions map[uint64]*session // by session number
	done     sync.WaitGroup
}

// Listen opens the address for callers. Serve must be called to accept them.
func Listen(address string, settings Settings, router Router, log *zap.Logger) (*Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s; name a free address", address)
	}
	server := &Server{settings: settings, router: router, log: log, socket: socket, sessions: map[uint64]*session{}}
	server.done.Add(1)
	go server.acceptLoop()
	return server, nil
}

// Address returns the listening address.
func (s *Server) Address() string { return s.socket.Addr().String() }

func (s *Server) acceptLoop() {
	defer s.done.Done()
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		s.Counters.Accepted.Add(1)
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			s.serve(conn)
		}()
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	current := newSession(s, conn)
	if !current.startup() {
		return
	}
	if !s.register(current) {
		current.fatal(failure.Refuse(failure.Overloaded, overloadRetry))
		return
	}
	defer s.unregister(current)
	current.loop()
}

// overloadRetry is what a caller is told when the node has no room for it.
const overloadRetry = time.Second

func (s *Server) register(current *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.settings.MaxConnections {
		s.Counters.Refused.Add(1)
		return false
	}
	s.sessions[current.id.Session] = current
	return true
}

func (s *Server) unregister(current *session) {
	s.mu.Lock()
	delete(s.sessions, current.id.Session)
	s.mu.Unlock()
	current.end()
}

// Connected returns how many callers are connected.
func (s *Server) Connected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// newSecret returns the secret key of a session's cancel requests.
func newSecret() uint32 {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // crypto/rand.Read never fails
	return binary.BigEndian.Uint32(secret[:])
}

// cancel handles a CancelRequest. Session numbers serve as process identifiers.
func (s *Server) cancel(processID uint32, secret []byte) {
	s.mu.Lock()
	target := s.sessions[uint64(processID)]
	s.mu.Unlock()
	if target != nil && len(secret) == 4 && binary.BigEndian.Uint32(secret) == target.secret {
		target.cancelCurrent()
	}
}

// Drain stops accepting callers. Idle callers get a clean end at once, others as
// soon as their transaction has ended; past the limit whatever remains is ended.
func (s *Server) Drain(limit time.Duration) {
	s.stopping.Store(true)
	_ = s.socket.Close()
	deadline := time.Now().Add(limit)
	for {
		s.endIdle()
		if s.Connected() == 0 {
			break
		}
		if time.Now().After(deadline) {
			s.log.Warn("listener: drain limit reached, closing callers", zap.Int("callers", s.Connected()))
			s.closeAll()
			break
		}
		time.Sleep(drainPoll)
	}
	s.done.Wait()
}

// drainPoll is the time between looks for callers that have become idle.
const drainPoll = 20 * time.Millisecond

func (s *Server) snapshot() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, current := range s.sessions {
		all = append(all, current)
	}
	return all
}

func (s *Server) endIdle() {
	for _, current := range s.snapshot() {
		current.endIfIdle()
	}
}

func (s *Server) closeAll() {
	for _, current := range s.snapshot() {
		_ = current.conn.Close()
	}
}

// Close ends all callers at once.
func (s *Server) Close() {
	s.stopping.Store(true)
	_ = s.socket.Close()
	s.closeAll()
	s.done.Wait()
}
