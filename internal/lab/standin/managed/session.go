package managed

import (
	"context"
	"errors"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// Dialer opens connections to the servers of groups.
type Dialer struct {
	// Groups holds the groups by service.
	Groups map[string]*Group
	// Reach, if set, reports whether the node may reach a server.
	Reach func(serverID string) bool
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
	time.Sleep(2*group.settings.NetworkDelay + group.settings.Handshake)
	group.mutex.Lock()
	defer group.mutex.Unlock()
	switch {
	case !server.up:
		return nil, position.Position{}, errReset
	case server.id != target.Server:
		return nil, position.Position{}, &upstream.RefusedError{Outcome: upstream.WrongServer}
	case len(server.sessions) >= group.settings.Connections:
		return nil, position.Position{}, &upstream.RefusedError{Outcome: upstream.ConnectionLimit}
	}
	session := newSession(server, target.Principal, func() bool { return d.Reach == nil || d.Reach(address) })
	server.sessions[session] = struct{}{}
	return session, server.position(), nil
}

// Session is a connection to a server; it implements upstream.Connection.
type Session struct {
	server    *Server
	principal upstream.Principal
	reach     func() bool

	requests chan upstream.Operation
	answers  chan answer
	broken   chan struct{}
	once     sync.Once

	// The rest is used by the serving goroutine.
	values   map[string]string
	prepared map[string]command.PreparedStatement
	state    upstream.TransactionState
	readOnly bool
	term     uint64
	writes   []write
	// ran is set once a statement of the open transaction ran.
	ran bool
}

type answer struct {
	result upstream.Result
	lost   bool
}

// sessionBacklog bounds the operations sent ahead on a connection.
const sessionBacklog = 64

func newSession(server *Server, principal upstream.Principal, reach func() bool) *Session {
	session := &Session{
		server: server, principal: principal, reach: reach,
		requests: make(chan upstream.Operation, sessionBacklog), answers: make(chan answer, sessionBacklog),
		broken: make(chan struct{}), values: map[string]string{}, prepared: map[string]command.PreparedStatement{},
	}
	go session.serve()
	return session
}

func (s *Session) breakOff() { s.once.Do(func() { close(s.broken) }) }

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
		return received.result, nil
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
	s.breakOff()
	defer s.server.lock()()
	delete(s.server.sessions, s)
}

func (s *Session) serve() {
	for {
		select {
		case <-s.broken:
			return
		case operation := <-s.requests:
			time.Sleep(s.server.group.settings.NetworkDelay)
			if !s.awaitReach() {
				return
			}
			result, lost := s.run(&operation)
			time.Sleep(s.server.group.settings.NetworkDelay)
			if !s.awaitReach() {
				return
			}
			s.answers <- answer{result, lost}
		}
	}
}

// cutCheck is the pause between looks at a cut.
const cutCheck = 10 * time.Millisecond

// awaitReach waits while a cut holds messages up.
func (s *Session) awaitReach() bool {
	for {
		s.server.group.mutex.Lock()
		open := s.server.reachable
		s.server.group.mutex.Unlock()
		if open && s.reach() {
			return s.alive()
		}
		select {
		case <-s.broken:
			return false
		case <-time.After(cutCheck):
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

// run runs an operation and reports whether its answer is lost.
func (s *Session) run(operation *upstream.Operation) (upstream.Result, bool) {
	if takesSlot(operation.Kind) {
		if !s.takeSlot() {
			return s.refuseBusy(), false
		}
		time.Sleep(s.server.work())
		defer s.releaseSlot()
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

// takesSlot tells the operations that take a slot: callers' work, and two kinds of
// questions that only nodes ask.
func takesSlot(kind upstream.OperationKind) bool {
	return kind.UsesSlot() || kind.ReportsStatus()
}

func (s *Session) takeSlot() bool {
	group := s.server.group
	group.mutex.Lock()
	if time.Now().Before(s.server.busyUntil) || (s.server.running >= group.settings.Slots && s.server.queued >= group.settings.Queue) {
		group.mutex.Unlock()
		return false
	}
	s.server.queued++
	for s.server.running >= group.settings.Slots {
		group.mutex.Unlock()
		time.Sleep(time.Millisecond)
		group.mutex.Lock()
	}
	s.server.queued--
	s.server.running++
	group.mutex.Unlock()
	return true
}

func (s *Session) releaseSlot() {
	defer s.server.lock()()
	s.server.running--
}

func (s *Session) refuseBusy() upstream.Result {
	defer s.server.lock()()
	return s.result(upstream.Busy)
}

// result is an operation's answer; the lock is held.
func (s *Session) result(outcome upstream.Outcome) upstream.Result {
	return upstream.Result{Outcome: outcome, State: s.state, Position: s.server.position()}
}

// apply runs an operation; the lock is held.
func (s *Session) apply(operation *upstream.Operation) upstream.Result {
	if s.state == upstream.FailedTransaction && operation.Kind != upstream.Rollback {
		return s.result(upstream.Rejected)
	}
	isPrimary := s.server.leads()
	switch operation.Kind {
	case upstream.ResetSession:
		clear(s.values)
		clear(s.prepared)
	case upstream.SetValue:
		s.values[operation.Name] = operation.Value
	case upstream.PrepareStatement:
		s.prepared[operation.Name] = operation.Definition
	case upstream.Begin:
		if !isPrimary {
			return s.result(upstream.NotPrimary)
		}
		s.state, s.readOnly, s.term = upstream.InTransaction, false, s.server.ledTerm
	case upstream.BeginReadOnly:
		if !s.server.hasApplied(operation.Floor) {
			return s.result(upstream.Behind)
		}
		s.state, s.readOnly = upstream.InTransaction, true
	case upstream.Rollback:
		s.end()
	case upstream.Commit:
		return s.commit()
	case upstream.RunStatement:
		return s.statement(operation)
	case upstream.ReportStatus, upstream.HoldReplication, upstream.StepDown:
		if operation.Kind == upstream.StepDown {
			s.server.stepDown(operation.Term)
		}
		if operation.Kind == upstream.HoldReplication && !isPrimary {
			s.server.held = true
		}
		result := s.result(upstream.Succeeded)
		result.Status = s.server.status()
		return result
	case upstream.ResumeReplication:
		s.server.held = false
		s.server.group.replicateTo(s.server)
	}
	return s.result(upstream.Succeeded)
}

func (s *Session) end() {
	s.state, s.writes, s.ran = upstream.Idle, nil, false
}

// leads reports whether a transaction of the primary still runs on it.
func (s *Session) leads() bool {
	return s.server.leads() && s.term == s.server.ledTerm
}

// commitWrites appends writes to the log of a server that leads; the lock is held.
func (s *Session) commitWrites(writes []write) {
	if s.server.lingering {
		s.server.group.commitAside(s.server, writes)
		return
	}
	s.awaitReplicas(s.server.group.commit(writes))
}

func (s *Session) commit() upstream.Result {
	if s.state != upstream.InTransaction {
		return s.result(upstream.Rejected)
	}
	writes := s.writes
	if len(writes) > 0 && !s.leads() {
		s.end()
		return s.result(upstream.NotPrimary)
	}
	s.end()
	if len(writes) > 0 {
		s.commitWrites(writes)
	}
	result := s.result(upstream.Succeeded)
	result.Signature = "committed"
	return result
}

// awaitReplicas waits until enough replicas have received a commit; the lock is
// held, and given up while it waits. If the server is replaced meanwhile, the
// commit is never answered.
func (s *Session) awaitReplicas(at position.Position) {
	group := s.server.group
	for group.received(at) < group.settings.SynchronousReplicas && s.alive() && s.server == group.primary {
		group.mutex.Unlock()
		time.Sleep(time.Millisecond)
		group.mutex.Lock()
	}
	if group.received(at) < group.settings.SynchronousReplicas {
		s.breakOff()
	}
}

// statement runs a caller's read or write: "READ thing" or "WRITE thing data".
func (s *Session) statement(operation *upstream.Operation) upstream.Result {
	statement := operation.Statement
	text := statement.Text
	if statement.Prepared {
		definition, found := s.prepared[upstream.ServerName(statement.Definition)]
		if !found || definition != statement.Definition {
			return s.result(upstream.StatementMissing)
		}
		text = "read " + statement.Arguments
		if statement.Writes {
			text = "write " + statement.Arguments
		}
	}
	_, arguments, _ := strings.Cut(text, " ")
	thing, data, _ := strings.Cut(arguments, " ")
	inPlain := s.state == upstream.InTransaction && !s.readOnly
	if inPlain && !s.leads() {
		s.state = upstream.FailedTransaction
		return s.result(upstream.NotPrimary)
	}
	if !statement.Writes && !s.server.hasApplied(operation.Floor) {
		return s.result(upstream.Behind)
	}
	if statement.Writes && !s.writable(inPlain) {
		return s.result(upstream.NotPrimary)
	}
	if s.server.fails() {
		return s.result(upstream.Failed)
	}
	s.server.group.observer.StatementRan(Run{RequestID: operation.RequestID, Principal: s.principal, At: time.Now(), First: !s.ran})
	s.ran = s.state == upstream.InTransaction
	if statement.Writes {
		return s.write(write{requestID: operation.RequestID, thing: thing, data: data}, inPlain)
	}
	s.server.group.observer.ReadRan(operation.RequestID, time.Now(), s.server.hasApplied)
	result := s.result(upstream.Succeeded)
	result.Rows = [][]byte{[]byte(s.server.value(thing)), []byte(sessionValues(s.values))}
	result.Signature = operation.RequestID
	return result
}

// writable reports whether a write may run.
func (s *Session) writable(inPlain bool) bool {
	return s.server.leads() && (s.state != upstream.InTransaction || inPlain)
}

func (s *Session) write(made write, inPlain bool) upstream.Result {
	if inPlain {
		s.writes = append(s.writes, made)
	} else {
		s.commitWrites([]write{made})
	}
	result := s.result(upstream.Succeeded)
	result.Signature = made.requestID
	return result
}

// sessionValues writes session values in a fixed order.
func sessionValues(values map[string]string) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text.WriteString(name + "=" + values[name] + ";")
	}
	return text.String()
}
