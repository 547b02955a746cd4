package managed

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// Dialer opens connections to the servers of groups.
type Dialer struct {
	// Groups holds the groups by service.
	Groups map[string]*Group
	// Reach, if set, reports whether the node can reach a server.
	Reach func(serverID string) bool
	// SendsCopies makes the sessions send the copies of repeated answers. Otherwise who serves a
	// session sends those that its Repetitions returns.
	SendsCopies bool
}

var errReset = errors.New("connection reset by the server")

// Dial implements upstream.Dialer.
func (d *Dialer) Dial(ctx context.Context, target upstream.Target) (upstream.Connection, position.Position, error) {
	group, address := d.Groups[target.Service], target.Address
	if group == nil {
		return nil, position.Position{}, errReset
	}
	time.Sleep(2 * group.settings.NetworkDelay)
	group.mutex.Lock()
	server := group.find(address)
	reached := server != nil && server.reachable && (d.Reach == nil || d.Reach(address))
	group.mutex.Unlock()
	if !reached {
		<-ctx.Done()
		return nil, position.Position{}, os.ErrDeadlineExceeded
	}
	time.Sleep(2 * group.settings.NetworkDelay)
	server.handshake()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	switch {
	case !server.up:
		return nil, position.Position{}, syscall.ECONNREFUSED
	case server.id != target.Server:
		return nil, position.Position{}, &upstream.RefusedError{Outcome: upstream.WrongServer}
	case len(server.sessions) >= group.settings.Connections:
		return nil, position.Position{}, &upstream.RefusedError{Outcome: upstream.ConnectionLimit}
	}
	session := newSession(server, target.Principal, func() bool { return d.Reach == nil || d.Reach(address) })
	server.sessions[session] = struct{}{}
	server.opened++
	session.serial, session.sendsCopies = server.opened, d.SendsCopies
	go session.serve()
	return session, server.position(), nil
}

// handshake takes the time of opening a connection.
func (s *Server) handshake() {
	if s.group.settings.HandshakeTakesSlot && s.takeSlot() {
		defer s.releaseSlot()
	}
	time.Sleep(s.group.settings.Handshake)
}

// Session is a connection to a server. It implements upstream.Connection.
type Session struct {
	server    *Server
	principal upstream.Principal
	canReach  func() bool

	requests chan upstream.Operation
	answers  chan answer
	broken   chan struct{}
	once     sync.Once

	// serial is the number of the connection on its server.
	serial      int
	sendsCopies bool
	// interrupting holds the copies that are sent in the middle of the next answers.
	interruptingMutex sync.Mutex
	interrupting      []upstream.Result

	// The following fields are used by the goroutine of serve only.
	values   map[string]string
	prepared map[string]command.PreparedStatement
	state    upstream.TransactionState
	readOnly bool
	term     uint64
	writes   []write
	// ran reports whether a statement of the open transaction ran.
	ran bool
	// transaction is the number of the open transaction, 0 without one.
	transaction int
	// answered counts the answers, including that to the opening of the connection.
	answered int
}

type answer struct {
	result upstream.Result
	err    error
	lost   bool
}

// sessionBacklog is the number of operations and answers that a connection can buffer.
const sessionBacklog = 64

func newSession(server *Server, principal upstream.Principal, canReach func() bool) *Session {
	return &Session{
		server: server, principal: principal, canReach: canReach,
		requests: make(chan upstream.Operation, sessionBacklog), answers: make(chan answer, sessionBacklog),
		broken: make(chan struct{}), values: map[string]string{}, prepared: map[string]command.PreparedStatement{},
	}
}

func (s *Session) disconnect() { s.once.Do(func() { close(s.broken) }) }

// Send implements upstream.Connection.
func (s *Session) Send(operations []upstream.Operation, _ time.Time) error {
	if !s.Alive() {
		return errReset
	}
	for _, operation := range operations {
		if operation.Statement != nil {
			copied := *operation.Statement
			operation.Statement = &copied
		}
		s.requests <- operation
	}
	return nil
}

// Receive implements upstream.Connection.
func (s *Session) Receive(_ upstream.OperationKind, deadline time.Time) (upstream.Result, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case received := <-s.answers:
		if received.lost {
			<-timer.C
			return upstream.Result{}, os.ErrDeadlineExceeded
		}
		return received.result, received.err
	case <-s.broken:
		return upstream.Result{}, errReset
	case <-timer.C:
		return upstream.Result{}, os.ErrDeadlineExceeded
	}
}

// Alive implements upstream.Connection.
func (s *Session) Alive() bool {
	select {
	case <-s.broken:
		return false
	default:
		return len(s.answers) == 0
	}
}

// Close implements upstream.Connection.
func (s *Session) Close() {
	s.disconnect()
	defer s.server.lock()()
	delete(s.server.sessions, s)
}

func (s *Session) serve() {
	s.repeat(answer{err: upstream.ErrNoResult})
	for {
		select {
		case <-s.broken:
			return
		case operation := <-s.requests:
			time.Sleep(s.server.group.settings.NetworkDelay)
			if !s.awaitReachable() {
				return
			}
			result, lost := s.run(&operation)
			time.Sleep(s.server.group.settings.NetworkDelay)
			if !s.awaitReachable() {
				return
			}
			given := answer{result: result, lost: lost}
			s.send(given)
			s.repeat(given)
		}
	}
}

// reachCheckInterval is the interval of checking whether the server is reachable again.
const reachCheckInterval = 10 * time.Millisecond

// awaitReachable waits while the server is unreachable and returns false if the connection broke.
func (s *Session) awaitReachable() bool {
	for {
		s.server.group.mutex.Lock()
		open := s.server.reachable
		s.server.group.mutex.Unlock()
		if open && s.canReach() {
			return s.alive()
		}
		select {
		case <-s.broken:
			return false
		case <-time.After(reachCheckInterval):
		}
	}
}

func (s *Session) alive() bool {
	select {
	case <-s.broken:
		return false
	default:
		return true
	}
}

// run executes an operation and reports whether its answer is lost.
func (s *Session) run(operation *upstream.Operation) (upstream.Result, bool) {
	if takesSlot(operation.Kind) {
		if !s.server.takeSlot() {
			return s.rejectBusy(), false
		}
		time.Sleep(s.server.statementTime(operation.RequestID))
		defer s.server.releaseSlot()
	}
	defer s.server.lock()()
	if !s.alive() || !s.server.up {
		return upstream.Result{}, true
	}
	if operation.RequestID != "" {
		s.server.statements++
	}
	result := s.apply(operation)
	lost := false
	if takesSlot(operation.Kind) && s.server.loseAnswers > 0 {
		s.server.loseAnswers--
		lost = true
	}
	return result, lost
}

// takesSlot reports whether an operation takes a slot: callers' work, and the status requests of
// nodes.
func takesSlot(kind upstream.OperationKind) bool {
	return kind.UsesSlot() || kind.ReportsStatus()
}

// takeSlot waits for a slot and takes it. It returns false if the queue is full.
func (s *Server) takeSlot() bool {
	group := s.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if time.Now().Before(s.busyUntil) || (s.running >= group.settings.Slots && s.queued >= group.settings.Queue) {
		return false
	}
	s.queued++
	for s.running >= group.settings.Slots {
		group.mutex.Unlock()
		time.Sleep(time.Millisecond)
		group.mutex.Lock()
	}
	s.queued--
	s.running++
	return true
}

func (s *Server) releaseSlot() {
	defer s.lock()()
	s.running--
}

func (s *Session) rejectBusy() upstream.Result {
	defer s.server.lock()()
	return s.result(upstream.Busy)
}

// result returns the answer to an operation. The lock must be held.
func (s *Session) result(outcome upstream.Outcome) upstream.Result {
	return upstream.Result{Outcome: outcome, State: s.state, Position: s.server.position()}
}

// apply executes an operation. The lock must be held.
func (s *Session) apply(operation *upstream.Operation) upstream.Result {
	if s.state == upstream.FailedTransaction && operation.Kind != upstream.Rollback {
		return s.result(upstream.Rejected)
	}
	primary := s.server.isPrimary()
	switch operation.Kind {
	case upstream.ResetSession:
		clear(s.values)
		clear(s.prepared)
	case upstream.SetValue:
		s.values[operation.Name] = operation.Value
	case upstream.PrepareStatement:
		s.prepared[operation.Name] = operation.Definition
	case upstream.Begin:
		if !primary {
			return s.result(upstream.NotPrimary)
		}
		s.begin(false)
		s.term = s.server.primaryTerm
	case upstream.BeginReadOnly:
		if !s.server.hasApplied(operation.MinimumPosition) {
			return s.result(upstream.Behind)
		}
		s.begin(true)
	case upstream.Rollback:
		s.end()
	case upstream.Commit:
		return s.commit(operation.RequestID, operation.Text)
	case upstream.RunStatement:
		return s.statement(operation)
	case upstream.ReportStatus, upstream.HoldReplication, upstream.StepDown:
		if operation.Kind == upstream.StepDown {
			s.server.stepDown(operation.Term)
		}
		if operation.Kind == upstream.HoldReplication && !primary && !s.server.group.settings.IgnoresHold {
			s.server.replicationHeld = true
		}
		result := s.result(upstream.Succeeded)
		result.Status = s.server.status()
		if operation.Kind == upstream.StepDown && s.server.group.settings.ClaimsStepDown {
			result.Status.Primary = false
		}
		return result
	case upstream.ResumeReplication:
		s.server.replicationHeld = false
		s.server.group.replicateTo(s.server)
	}
	return s.result(upstream.Succeeded)
}
