package proxy

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/upstream"
)

// ErrIdle is returned by Client.ReadCommand when no command began in time.
var ErrIdle = errors.New("no command began before the deadline; read again or close")

// startLimit bounds the wait for the first message of a session.
const startLimit = 5 * time.Second

// session is one caller's session.
type session struct {
	node     *Node
	client   Client
	database string
	key      catalog.KeyDigest
	// principal is in whose name the session's work runs; it changes with the route.
	principal upstream.Principal
	// bound is the route of the session; it changes between transactions only.
	bound catalog.Route
	// homes are where the session's work may go, of its route and its tenant.
	homes    []catalog.Homes
	values   map[string]string
	prepared map[string]command.PreparedStatement
	// own is the session's newest commit.
	own         freshness.OwnCommit
	transaction *transaction
	// account tells how the present command was served.
	account account
	// ended is a transaction whose rollback the caller does not wait for.
	ended *transaction
}

// serve runs a session until its end.
func (n *Node) serve(client Client) {
	defer client.Close()
	s := &session{node: n, client: client}
	if !s.start() {
		return
	}
	n.sessions.Store(s, struct{}{})
	n.sessionCount.Add(1)
	defer func() {
		n.sessions.Delete(s)
		n.sessionCount.Add(-1)
		s.abandon()
	}()
	for s.next() {
	}
}

func (s *session) start() bool {
	start, err := s.client.ReadStart(time.Now().Add(startLimit))
	if err != nil {
		if failed, ok := failure.As(err); ok {
			_ = s.client.Refuse(failed)
		}
		return false
	}
	s.database, s.key = start.Database, start.Key
	s.node.awaitInformed(time.Now())
	refusal := s.bind()
	if refusal != nil && refusal.Kind == failure.UnknownKey {
		s.node.SeekNewer(time.Now())
		refusal = s.bind()
	}
	if refusal != nil {
		s.node.log.Write(eventlog.SessionRefused, zap.String("database", s.database), zap.Stringer("outcome", refusal.Kind),
			zap.String("detail", refusal.FullDetail()), zap.Uint64("configuration", s.node.configurationVersion()))
		_ = s.client.Refuse(refusal)
		return false
	}
	s.node.awaitTenure(s.bound.Service, s.principal, time.Now())
	return s.client.Accept() == nil
}

// bind looks up the route that is in force now, and the tenant that the caller works for.
func (s *session) bind() *failure.Error {
	configuration := s.node.catalog.Current().Configuration
	if configuration == nil {
		return failure.New(failure.NotReady, "")
	}
	route, found := configuration.Routes[s.database]
	if !found {
		return failure.New(failure.UnknownService, s.database)
	}
	tenant, access := configuration.Identify(&route, s.key)
	if access == catalog.Denied {
		return failure.New(failure.UnknownKey, "")
	}
	if access == catalog.Identified && !route.Public && s.node.KeysUncertain(time.Now()) {
		return &failure.Error{Kind: failure.Isolated, Detail: "which keys are in force is not known", RetryAfter: spread(uncertainPause)}
	}
	s.bound, s.principal = route, upstream.Principal(tenant)
	s.homes = nil
	if configuration.HasHomes {
		s.homes = []catalog.Homes{route.Homes, configuration.Tenants[tenant].Homes}
	}
	return nil
}

// uncertainPause is when to come back to a node that does not know which keys are in force:
// about as long as a search for the store takes.
const uncertainPause = 500 * time.Millisecond

// revoked reports whether the key that the open transaction began with no longer is the
// tenant's.
func (s *session) revoked() bool {
	configuration := s.node.catalog.Current().Configuration
	tenant, access := configuration.Identify(&s.bound, s.key)
	return access == catalog.Denied || upstream.Principal(tenant) != s.principal
}

// next serves one command and reports whether the session goes on.
func (s *session) next() bool {
	received, err := s.client.ReadCommand(s.idleDeadline())
	if errors.Is(err, ErrIdle) && s.closes() {
		if s.node.aborting.Load() {
			return false
		}
		// A command may have come while the last one was served.
		received, err = s.client.ReadCommand(time.Now().Add(lastLook))
		if errors.Is(err, ErrIdle) {
			return false
		}
	}
	switch {
	case err == nil:
	case errors.Is(err, ErrIdle):
		s.idled()
		return true
	default:
		if failed, ok := failure.As(err); ok {
			_ = s.client.Reply(Reply{Failure: failed, State: s.state()})
		}
		return false
	}
	arrived := time.Now()
	s.account = account{}
	reply := s.handle(&received, arrived)
	s.report(&received, &reply, arrived)
	if err := s.client.Reply(reply); err != nil {
		return false
	}
	s.afterReply()
	return reply.Failure == nil || !reply.Failure.Kind.Fatal()
}

// idleDeadline is when a resting transaction may be ended; zero without one.
func (s *session) idleDeadline() time.Time {
	if s.transaction == nil || s.transaction.lease == nil {
		return time.Time{}
	}
	limit := s.node.catalog.Current().Configuration.TransactionIdle
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// lastLook is how long a session that is about to be closed is read once more.
const lastLook = 3 * time.Millisecond

// closes reports whether the session is to be closed, and nothing of it would be
// lost.
func (s *session) closes() bool {
	leaves := s.node.closing.Load() || s.node.secluded()
	return leaves && (s.transaction == nil || s.node.aborting.Load())
}

// idled ends a transaction that has rested too long.
func (s *session) idled() {
	if s.transaction != nil && s.transaction.lease != nil && !s.node.closing.Load() && !s.node.secluded() {
		s.transaction.fail(s, "idle")
	}
}

func (s *session) state() upstream.TransactionState {
	switch {
	case s.transaction == nil:
		return upstream.Idle
	case s.transaction.failed:
		return upstream.FailedTransaction
	default:
		return upstream.InTransaction
	}
}

// abandon rolls back what the caller has left open.
func (s *session) abandon() {
	if s.transaction != nil {
		s.transaction.end()
		s.transaction = nil
	}
}

// handle runs a command that arrived at a time and returns its answer.
func (s *session) handle(received *command.Command, arrived time.Time) Reply {
	ends := received.Kind == command.Commit || received.Kind == command.Rollback
	if s.transaction == nil {
		if refusal := s.bind(); refusal != nil {
			return s.fail(refusal)
		}
	} else if !s.transaction.failed && s.revoked() {
		s.transaction.fail(s, "key taken away")
		if !ends {
			return s.fail(failure.New(failure.TransactionLost, "the key was taken away"))
		}
	} else if s.transaction.failed && !ends {
		return s.fail(failure.New(failure.FailedTransaction, ""))
	}
	switch received.Kind {
	case command.Begin, command.BeginReadOnly:
		return s.begin(received)
	case command.Commit:
		return s.commit(received, arrived)
	case command.Rollback:
		return s.rollback()
	case command.SetValue:
		return s.setValue(received)
	case command.Prepare:
		return s.prepare(received)
	case command.Deallocate:
		return s.deallocate(received)
	case command.Read, command.Write, command.Execute:
		return s.statement(received, arrived)
	default:
		return s.fail(failure.New(failure.InvalidCommand, "the command is not known"))
	}
}

func (s *session) fail(reason *failure.Error) Reply {
	return Reply{Failure: reason, State: s.state()}
}

func (s *session) done() Reply { return Reply{State: s.state()} }

// The bounds of what a session may keep at a node.
const (
	maxSessionValues      = 256
	maxPreparedStatements = 1024
)

func (s *session) setValue(received *command.Command) Reply {
	if s.values == nil {
		s.values = map[string]string{}
	}
	if _, known := s.values[received.Name]; !known && len(s.values) >= maxSessionValues {
		return s.fail(failure.New(failure.TooManyValues, received.Name))
	}
	s.values[received.Name] = received.Value
	return s.done()
}

func (s *session) prepare(received *command.Command) Reply {
	if s.prepared == nil {
		s.prepared = map[string]command.PreparedStatement{}
	}
	if _, known := s.prepared[received.Name]; !known && len(s.prepared) >= maxPreparedStatements {
		return s.fail(failure.New(failure.TooManyValues, received.Name))
	}
	s.prepared[received.Name] = received.Statement
	return s.done()
}

func (s *session) deallocate(received *command.Command) Reply {
	if _, found := s.prepared[received.Name]; !found {
		return s.fail(failure.New(failure.UnknownStatement, received.Name))
	}
	delete(s.prepared, received.Name)
	return s.done()
}

// statement runs a read or write, inside the transaction if one is open.
func (s *session) statement(received *command.Command, arrived time.Time) Reply {
	statement := command.Statement{
		RequestID: received.RequestID, Text: received.Text, Writes: received.Kind == command.Write,
	}
	if received.Kind == command.Execute {
		definition, found := s.prepared[received.Name]
		if !found {
			return s.fail(failure.New(failure.UnknownStatement, received.Name))
		}
		statement.Prepared, statement.Definition, statement.Arguments = true, definition, received.Value
		statement.Writes = definition.Writes
	}
	run := s.newRun(&statement, arrived)
	if s.transaction != nil {
		return s.transaction.run(run)
	}
	if reply, charged := run.charge(); !charged {
		return reply
	}
	switch {
	case statement.Writes:
		return run.write()
	case s.bound.Freshness == catalog.Current:
		return run.readCurrent()
	default:
		return run.read()
	}
}
