package proxy

import (
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/upstream"
)

// ErrIdle is returned by Client.ReadCommand when no command began in time.
var ErrIdle = errors.New("no command began before the deadline; read again or close")

// startMessageTimeout bounds the wait for the first message of a session.
const startMessageTimeout = 5 * time.Second

// session is a session of one caller.
type session struct {
	node     *Node
	client   Client
	database string
	key      catalog.KeyDigest
	// principal is the tenant for which the work runs. It may change when the route does.
	principal upstream.Principal
	// route changes between transactions only.
	route catalog.Route
	// homes are the homes of the route and of the tenant. Work may only go to zones that all of
	// them allow.
	homes    []catalog.Homes
	values   map[string]string
	prepared map[string]command.PreparedStatement
	// stateBytes is the size of values and prepared.
	stateBytes int
	// lastCommit is the session's newest commit.
	lastCommit  freshness.OwnCommit
	transaction *transaction
	// record describes how the current command was served.
	record commandRecord
	// pendingRollback is a transaction that is rolled back after the reply was sent.
	pendingRollback *transaction
	// command is the state of the current command.
	command commandState
}

// serve runs a session until it ends.
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
	start, err := s.client.ReadStart(time.Now().Add(startMessageTimeout))
	if err != nil {
		if failed, ok := failure.As(err); ok {
			_ = s.client.Refuse(failed)
		}
		return false
	}
	s.database, s.key = start.Database, start.Key
	arrived := time.Now()
	s.node.awaitConfiguration(arrived)
	refusal := s.lookUpRoute()
	if refusal != nil && refusal.Kind == failure.UnknownKey {
		s.node.FetchNewerConfiguration(time.Now())
		refusal = s.lookUpRoute()
	}
	if refusal != nil {
		s.node.log.Write(eventlog.SessionRefused, zap.String("database", s.database),
			zap.Stringer("outcome", refusal.Kind),
			zap.String("detail", refusal.FullDetail()),
			zap.Uint64("configuration", s.node.configurationVersion()))
		_ = s.client.Refuse(refusal)
		return false
	}
	if s.node.Isolated.Load() {
		_ = s.client.Refuse(&failure.Error{
			Kind: failure.Isolated, Detail: "no majority of the voters answers", RetryAfter: withJitter(isolatedRetry),
		})
		return false
	}
	s.node.awaitTenure(s.route.Service, s.principal, arrived)
	return s.client.Accept() == nil
}

// isolatedRetry is the retry delay for new sessions on a node that can use no primary. By then the
// voters have probably answered again, or another node is chosen.
const isolatedRetry = 500 * time.Millisecond

// lookUpRoute looks up the current route and the caller's tenant.
func (s *session) lookUpRoute() *failure.Error {
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
	if access == catalog.Identified && !route.Public && s.node.KeysOutdated(time.Now()) {
		return &failure.Error{
			Kind: failure.Isolated, Detail: "which keys are in force is not known",
			RetryAfter: withJitter(uncertainKeysRetry),
		}
	}
	s.route, s.principal = route, upstream.Principal(tenant)
	s.homes = nil
	if configuration.HasHomes {
		s.homes = []catalog.Homes{route.Homes, configuration.Tenants[tenant].Homes}
	}
	return nil
}

// uncertainKeysRetry is the retry delay for callers of a node that doesn't know the valid keys.
// Finding the store takes about as long.
const uncertainKeysRetry = 500 * time.Millisecond

// keyRevoked reports whether the caller's key no longer belongs to the tenant that began the open
// transaction.
func (s *session) keyRevoked() bool {
	configuration := s.node.catalog.Current().Configuration
	tenant, access := configuration.Identify(&s.route, s.key)
	return access == catalog.Denied || upstream.Principal(tenant) != s.principal
}

// next serves one command and reports whether the session continues.
func (s *session) next() bool {
	deadline := s.idleDeadline()
	if s.shouldClose() && !s.rolledBackBeforeEnd() {
		// An interrupt does not reach a session whose caller sends each command at once.
		deadline = time.Now().Add(finalReadTimeout)
	}
	received, err := s.client.ReadCommand(deadline)
	if errors.Is(err, ErrIdle) && s.shouldClose() {
		if s.node.aborting.Load() {
			return s.rollBackBeforeEnd()
		}
		// A command may have arrived while the previous one was served.
		received, err = s.client.ReadCommand(time.Now().Add(finalReadTimeout))
		if errors.Is(err, ErrIdle) {
			return false
		}
	}
	switch {
	case err == nil:
	case errors.Is(err, ErrIdle):
		s.endIdleTransaction()
		return true
	default:
		if failed, ok := failure.As(err); ok {
			_ = s.client.Reply(Reply{Failure: failed, State: s.state()})
		}
		return false
	}
	arrived := time.Now()
	s.record = commandRecord{}
	if refusal := s.refuseBeforeEnd(&received, arrived); refusal != nil {
		s.command.refuse()
		reply := Reply{Failure: refusal, State: upstream.Idle}
		s.report(&received, &reply, arrived)
		_ = s.client.Reply(reply)
		s.command.end()
		return false
	}
	s.command.begin(s.cutOffKind(&received))
	reply := s.handle(&received, arrived)
	s.report(&received, &reply, arrived)
	if !s.command.claim() {
		return false
	}
	err = s.client.Reply(reply)
	s.command.end()
	if err != nil {
		return false
	}
	s.afterReply()
	return reply.Failure == nil || !reply.Failure.Kind.Fatal()
}

// idleDeadline is when an open transaction without a command is rolled back; zero if no transaction
// is open.
func (s *session) idleDeadline() time.Time {
	if s.transaction == nil || s.transaction.lease == nil {
		return time.Time{}
	}
	timeout := s.node.catalog.Current().Configuration.TransactionIdle
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// finalReadTimeout bounds the last read of a session that is about to be closed.
const finalReadTimeout = 3 * time.Millisecond

// shouldClose reports whether the session should be closed now. An open transaction delays that
// until the node rolls transactions back.
func (s *session) shouldClose() bool {
	leaving := s.node.closing.Load() || s.node.impaired()
	return leaving && (s.transaction == nil || s.node.aborting.Load())
}

// endIdleTransaction rolls back a transaction that has been idle too long.
func (s *session) endIdleTransaction() {
	if s.transaction != nil && s.transaction.lease != nil && !s.node.closing.Load() && !s.node.impaired() {
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

// abandon rolls back the open transaction when the session ends.
func (s *session) abandon() {
	if s.transaction != nil {
		s.transaction.end()
		s.transaction = nil
	}
}

// handle runs a command and returns the reply.
func (s *session) handle(received *command.Command, arrived time.Time) Reply {
	endsTransaction := received.Kind == command.Commit || received.Kind == command.Rollback
	if s.transaction == nil {
		if refusal := s.lookUpRoute(); refusal != nil {
			return s.fail(refusal)
		}
	} else if !s.transaction.failed && s.keyRevoked() {
		s.transaction.fail(s, "key revoked")
		if !endsTransaction {
			return s.fail(failure.New(failure.TransactionLost, "the key was taken away"))
		}
	} else if s.transaction.failed && !endsTransaction {
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

// Limits of the state that a node keeps for a session.
const (
	maxSessionValues      = 256
	maxPreparedStatements = 1024
	// maxSessionBytes bounds the names, values and shapes together. It fits the largest message a few
	// times, and all values fit a request to an owner of connections.
	maxSessionBytes = 4 << 20
)

// resizeState changes the size of the session's state and reports whether it stays within its limit.
// If it does not, nothing changes.
func (s *session) resizeState(change int) bool {
	if s.stateBytes+change > maxSessionBytes {
		return false
	}
	s.stateBytes += change
	return true
}

func (s *session) setValue(received *command.Command) Reply {
	if s.values == nil {
		s.values = map[string]string{}
	}
	previous, exists := s.values[received.Name]
	change := len(received.Value) - len(previous)
	if !exists {
		change += len(received.Name)
	}
	if !exists && len(s.values) >= maxSessionValues || !s.resizeState(change) {
		return s.fail(failure.New(failure.TooManyValues, received.Name))
	}
	s.values[received.Name] = received.Value
	return s.done()
}

func (s *session) prepare(received *command.Command) Reply {
	if s.prepared == nil {
		s.prepared = map[string]command.PreparedStatement{}
	}
	if !s.node.fits(&upstream.Operation{
		Kind: upstream.PrepareStatement, Name: upstream.ServerName(received.Statement), Definition: received.Statement,
	}) {
		return s.fail(failure.New(failure.StatementTooLarge, ""))
	}
	previous, exists := s.prepared[received.Name]
	change := len(received.Statement.Shape) - len(previous.Shape)
	if !exists {
		change += len(received.Name)
	}
	if !exists && len(s.prepared) >= maxPreparedStatements || !s.resizeState(change) {
		return s.fail(failure.New(failure.TooManyValues, received.Name))
	}
	s.prepared[received.Name] = received.Statement
	return s.done()
}

func (s *session) deallocate(received *command.Command) Reply {
	statement, found := s.prepared[received.Name]
	if !found {
		return s.fail(failure.New(failure.UnknownStatement, received.Name))
	}
	s.stateBytes -= len(received.Name) + len(statement.Shape)
	delete(s.prepared, received.Name)
	return s.done()
}

// statement runs a read or a write, inside the transaction if one is open.
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
	operation := run.operation()
	if !s.node.fits(&operation) {
		return s.fail(failure.New(failure.StatementTooLarge, ""))
	}
	if s.transaction != nil {
		return s.transaction.run(run)
	}
	if reply, charged := run.charge(); !charged {
		return reply
	}
	switch {
	case statement.Writes:
		return run.write()
	case s.route.Freshness == catalog.Current || !s.node.fitsWithPosition(operation):
		return run.readCurrent()
	default:
		return run.read()
	}
}

// fits reports whether an operation's message to a server is within the size limit.
func (n *Node) fits(operation *upstream.Operation) bool {
	return n.ports.Fits == nil || n.ports.Fits(operation)
}

// fitsWithPosition reports whether the operation also fits with any minimum position. A read that
// does not runs on the primary, which needs no minimum position.
func (n *Node) fitsWithPosition(operation upstream.Operation) bool {
	operation.MinimumPosition = position.Position{Term: math.MaxUint64, Offset: math.MaxUint64}
	return n.fits(&operation)
}
