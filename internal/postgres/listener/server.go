// Package listener accepts PostgreSQL connections from callers, tracks the state of each
// session and submits its requests to the owner of the database group.
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

// Settings configure a Server.
type Settings struct {
	// Epoch identifies this incarnation of the process.
	Epoch uint64
	// MaxMessageBytes is the maximum size of a message or batch from a caller.
	MaxMessageBytes int
	// MaxConnections is the maximum number of connected callers.
	MaxConnections int
	// StartupTimeout is the timeout of the startup phase, authentication included.
	StartupTimeout time.Duration
	// Fresh reports whether the node's configuration is recent enough to accept new
	// requests. It returns false after a pause of the process and while the node is isolated.
	Fresh func() bool
	// Authenticate is false if callers need no password, as in demos and tests.
	Authenticate bool
}

// Counters count events of the listener, for metrics.
type Counters struct {
	Accepted, Refused, AuthenticationFailures atomic.Uint64
	ProtocolViolations, Requests              atomic.Uint64
}

// Server accepts and serves connections of callers.
type Server struct {
	settings Settings
	router   Router
	log      *zap.Logger
	socket   net.Listener
	Counters Counters

	nextSession atomic.Uint64
	stopping    atomic.Bool
	// endsTransactions is set once callers with an open transaction are disconnected too.
	endsTransactions atomic.Bool

	mu       sync.Mutex
	sessions map[uint64]*session // by session number
	done     sync.WaitGroup
}

// Listen listens on the address and begins to accept callers.
func Listen(address string, settings Settings, router Router, log *zap.Logger) (*Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s; name a free address", address)
	}
	server := &Server{
		settings: settings, router: router, log: log, socket: socket, sessions: map[uint64]*session{},
	}
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
		current.fatal(failure.Refuse(failure.Overloaded, overloadRetryAfter))
		return
	}
	defer s.unregister(current)
	current.loop()
}

// overloadRetryAfter is the retry delay suggested to callers that the node cannot serve now.
const overloadRetryAfter = time.Second

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
	current.endAtOwners()
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

// cancel handles a CancelRequest. Its process ID is the session's number.
func (s *Server) cancel(processID uint32, secret []byte) {
	s.mu.Lock()
	target := s.sessions[uint64(processID)]
	s.mu.Unlock()
	if target != nil && len(secret) == 4 && binary.BigEndian.Uint32(secret) == target.secret {
		target.cancelCurrent()
	}
}

// transactionShare is the part of a drain during which open transactions may continue. The rest of it is
// for the answers to messages that have arrived before.
const transactionShare = 0.8

// Drain stops accepting callers and waits until all are disconnected. Idle callers are
// disconnected at once, others when their transaction ends. Near the timeout, open transactions
// are rolled back as soon as the last message is answered. Connections that remain after
// the timeout are closed.
func (s *Server) Drain(timeout time.Duration) {
	s.stopping.Store(true)
	_ = s.socket.Close()
	began := time.Now()
	deadline := began.Add(timeout)
	endTransactionsAt := began.Add(time.Duration(transactionShare * float64(timeout)))
	for {
		s.endsTransactions.Store(time.Now().After(endTransactionsAt))
		s.closeIdle()
		if s.Connected() == 0 {
			break
		}
		if time.Now().After(deadline) {
			s.log.Warn("listener: drain timeout reached, closing the remaining connections",
				zap.Int("callers", s.Connected()))
			s.closeAll()
			break
		}
		time.Sleep(drainPollInterval)
	}
	s.done.Wait()
}

// drainPollInterval is the interval between checks for idle callers while draining.
const drainPollInterval = 20 * time.Millisecond

func (s *Server) snapshot() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, current := range s.sessions {
		all = append(all, current)
	}
	return all
}

func (s *Server) closeIdle() {
	for _, current := range s.snapshot() {
		current.closeIfIdle()
	}
}

func (s *Server) closeAll() {
	for _, current := range s.snapshot() {
		_ = current.conn.Close()
	}
}

// Close disconnects all callers.
func (s *Server) Close() {
	s.stopping.Store(true)
	_ = s.socket.Close()
	s.closeAll()
	s.done.Wait()
}
