package listener

import (
	"context"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/forward"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/policy"
	"dewknot/internal/postgres/request"
	"dewknot/internal/postgres/statement"
)

// session is one caller's connection.
type session struct {
	server   *Server
	conn     net.Conn
	protocol *pgproto3.Backend
	id       group.SessionID
	secret   uint32
	user     string
	group    string

	// Parameters set by the caller; see docs/CALLERS.md.
	name            string // dewknot.session
	kind            string
	minPosition     position.Position // latest position of the session, see setPosition
	carriesPosition bool              // dewknot.position is set, so requests carry minPosition
	repeatable      string

	// status is the transaction state shown to the caller.
	status byte
	// transactionLost is set when the transaction was lost. Until ROLLBACK or COMMIT the
	// listener answers the caller itself.
	transactionLost bool
	// owner is the node with the open transaction, "" if none is open.
	owner string
	// servedBy is the set of nodes that have served the session.
	servedBy   map[string]bool
	lastNumber uint64 // number of the last request
	// unsynced is set between a Flush and the Sync that follows.
	unsynced bool
	// uncommitted is set when statements before a Flush are committed by the next Sync.
	uncommitted bool
	statements  map[string]preparedStatement
	// statementBytes is the size of the names and texts in statements.
	statementBytes int
	portals        map[string]statement.Info
	batch          pendingBatch

	mu sync.Mutex // guards busy, current, currentOwner and ended, which cancel and drain use
	// busy is true from the arrival of a message until its answer is sent.
	busy         bool
	current      group.RequestID
	currentOwner string // the node with the transaction of current, "" if not pinned
	ended        bool
}

func newSession(server *Server, conn net.Conn) *session {
	protocol := pgproto3.NewBackend(conn, conn)
	protocol.SetMaxBodyLen(server.settings.MaxMessageBytes)
	return &session{
		server: server, conn: conn, protocol: protocol, secret: newSecret(),
		id:     group.SessionID{Listener: server.settings.Epoch, Session: server.nextSession.Add(1)},
		status: backend.Idle, servedBy: map[string]bool{},
		statements: map[string]preparedStatement{}, portals: map[string]statement.Info{},
	}
}

// loop handles messages until the caller disconnects or violates the protocol.
func (s *session) loop() {
	for {
		message, err := s.protocol.Receive()
		if err != nil {
			s.handleReceiveError(err)
			return
		}
		if !s.setBusy(true) {
			return
		}
		more := s.handle(message)
		if !more || !s.setBusy(false) {
			return
		}
		if s.server.stopping.Load() {
			s.closeIfIdle()
		}
	}
}

// handleReceiveError reports protocol violations to the caller; network errors are ignored.
func (s *session) handleReceiveError(err error) {
	if _, ok := err.(*pgproto3.ExceededMaxBodyLenErr); ok {
		s.server.Counters.ProtocolViolations.Add(1)
		s.fatal(failure.New(failure.TooLarge, err.Error()))
		return
	}
	if _, network := err.(net.Error); network || isClosed(err) {
		return
	}
	s.server.Counters.ProtocolViolations.Add(1)
	s.fatal(failure.New(failure.Protocol, err.Error()))
}

// setBusy marks the beginning or end of a message's handling. It reports false if Drain
// has ended the session.
func (s *session) setBusy(busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	return !s.ended
}

// closeIfIdle ends a session that has no work and no open transaction, or no work if the server
// ends transactions. Setting ended and busy under the same lock ensures that a message received
// before the end is served.
func (s *session) closeIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.ended {
		return
	}
	if open := s.status != backend.Idle || s.unsynced || s.batch.started(); open && !s.server.endsTransactions.Load() {
		return
	}
	s.ended = true
	s.fatal(failure.New(failure.Stopping, ""))
	_ = s.conn.Close()
}

// endAtOwners ends the session at all nodes that have served it.
func (s *session) endAtOwners() {
	for owner := range s.servedBy {
		s.server.router.EndSession(owner, s.group, s.id)
	}
}

// fatal sends an error that ends the connection. It always returns false, so that
// message handlers can return its result.
func (s *session) fatal(problem *failure.Error) bool {
	s.protocol.Send(errorResponse(problem, "FATAL"))
	_ = s.protocol.Flush()
	return false
}

func errorResponse(problem *failure.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: problem.Kind.SQLState(),
		Message: problem.Message(), Detail: problem.FullDetail(), Hint: problem.Remedy(),
	}
}

func (s *session) handle(message pgproto3.FrontendMessage) bool {
	switch typed := message.(type) {
	case *pgproto3.Query:
		return s.handleQuery(typed)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.collect(message)
		return s.batchWithinLimit()
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Flush:
		return s.handleFlush()
	case *pgproto3.Terminate:
		return false
	default:
		s.server.Counters.ProtocolViolations.Add(1)
		return s.fatal(failure.New(failure.Protocol, "unexpected message"))
	}
}

// handleQuery serves a simple query.
func (s *session) handleQuery(message *pgproto3.Query) bool {
	if s.batch.started() {
		return s.fatal(failure.New(failure.Protocol, "Query before Sync"))
	}
	info := statement.Classify(message.String)
	if info.Parameter != nil {
		return s.serveParameter(*info.Parameter)
	}
	if problem := s.checkSupported(info); problem != nil {
		return s.answerFailure(problem)
	}
	if s.transactionLost {
		return s.answerInFailedTransaction(info)
	}
	encoded, err := message.Encode(nil)
	if err != nil {
		return s.fatal(failure.New(failure.Protocol, err.Error()))
	}
	return s.submit(info, backend.Batch{Messages: encoded}, true)
}

// checkSupported returns an error if pooled connections cannot support the statement.
func (s *session) checkSupported(info statement.Info) *failure.Error {
	if info.Unsupported == "" {
		return nil
	}
	return failure.New(failure.Unsupported, info.Unsupported)
}

// answerFailure answers one request with an error and ReadyForQuery.
func (s *session) answerFailure(problem *failure.Error) bool {
	s.failTransaction()
	s.protocol.Send(errorResponse(problem, "ERROR"))
	return s.ready()
}

// failTransaction puts an open transaction into the failed state, as an error in PostgreSQL does.
func (s *session) failTransaction() {
	if s.status != backend.InProgress && !s.unsynced {
		return
	}
	if s.status == backend.InProgress {
		s.status = backend.Failed
	}
	s.unsynced, s.uncommitted = false, false
	s.abandonTransaction()
}

// abandonTransaction rolls the open transaction back at the owner. For the caller it is a
// failed transaction until the caller ends it.
func (s *session) abandonTransaction() {
	if s.owner != "" {
		s.server.router.EndSession(s.owner, s.group, s.id)
		delete(s.servedBy, s.owner)
		s.owner = ""
	}
	s.transactionLost = s.status != backend.Idle
}

func (s *session) ready() bool {
	s.protocol.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.protocol.Flush() == nil
}

// answerInFailedTransaction answers as PostgreSQL does in a failed transaction.
func (s *session) answerInFailedTransaction(info statement.Info) bool {
	if info.Control != statement.Rollback && info.Control != statement.Commit {
		s.protocol.Send(errorResponse(failure.New(failure.FailedTransaction, ""), "ERROR"))
		return s.ready()
	}
	s.transactionLost = false
	s.status = backend.Idle
	s.protocol.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	return s.ready()
}

// submit submits one batch to the owner and answers the caller. If the batch ends with
// Flush (synced is false), the owner keeps the connection for the following messages.
func (s *session) submit(info statement.Info, batch backend.Batch, synced bool) bool {
	if fresh := s.server.settings.Fresh; fresh != nil && !fresh() && s.status == backend.Idle && !s.unsynced {
		return s.answerFailure(failure.Refuse(failure.Isolated, overloadRetryAfter))
	}
	submitted := s.newRequest(info, batch)
	if !synced {
		prepareForFlush(&submitted.Info)
	}
	s.server.Counters.Requests.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.setCurrent(submitted)
	served := s.server.router.Submit(ctx, submitted, s.owner, s.writeToCaller)
	s.lastNumber = submitted.Info.ID.Number
	s.setCurrent(nil)
	if served.Disconnect {
		return s.fatal(failure.New(served.Result.Kind, ""))
	}
	if served.Owner != "" {
		s.servedBy[served.Owner] = true
	}
	s.uncommitted = s.uncommitted || !synced && !info.ReadOnly && s.status == backend.Idle
	return s.answer(submitted, served)
}

// prepareForFlush marks a request whose batch ends with Flush. Any statement may follow on
// its connection, so it runs at the primary like the beginning of a transaction. Nothing is
// committed before Sync.
func prepareForFlush(info *group.Request) {
	info.ReadOnly, info.MayCommit = false, false
	info.Begins = !info.InTransaction
}

func (s *session) writeToCaller(data []byte) error {
	_, err := s.conn.Write(data)
	return err
}

func (s *session) newRequest(info statement.Info, batch backend.Batch) *request.Request {
	s.lastNumber++
	kind := info.Kind
	if kind == "" {
		kind = s.kind
	}
	rule, weight := s.rule(kind)
	inTransaction := s.status != backend.Idle || s.unsynced
	readOnly := info.ReadOnly && !rule.Write && !inTransaction
	minPosition := position.Position{}
	if s.carriesPosition {
		minPosition = s.minPosition
	}
	return &request.Request{
		Group: s.group,
		Info: group.Request{
			ID: group.RequestID{Session: s.id, Number: s.lastNumber}, Caller: s.user, Weight: weight,
			ReadOnly: readOnly, Begins: info.Control == statement.Begin, InTransaction: inTransaction,
			MayCommit: s.mayCommit(info, readOnly, inTransaction), Rule: rule, Floor: minPosition,
		},
		Batch: batch,
	}
}

func (s *session) rule(kind string) (policy.Rule, int) {
	groupPolicy := s.server.router.View().Config.Policies[s.group]
	if groupPolicy == nil {
		return policy.DefaultRule(), 1
	}
	return groupPolicy.Table.Rule(kind), groupPolicy.Table.Weight(s.user)
}

// mayCommit reports whether running a request could commit something: the end of a
// transaction, or a write outside an explicit transaction.
func (s *session) mayCommit(info statement.Info, readOnly, inTransaction bool) bool {
	if info.MayCommit || s.uncommitted {
		return true
	}
	return !readOnly && !inTransaction && info.Control == statement.NoControl && !info.Empty && !info.ReadOnly
}

// answer sends the result of a request to the caller.
func (s *session) answer(submitted *request.Request, served forward.Served) bool {
	result := served.Result
	if result.Kind != failure.None {
		return s.answerServedFailure(submitted, result)
	}
	s.unsynced = !result.Synced
	if result.Synced {
		s.uncommitted = false
		s.status = result.Status
	}
	s.owner = ""
	if s.status != backend.Idle || s.unsynced {
		s.owner = served.Owner
	}
	data := result.Data
	if !result.Position.IsZero() {
		s.minPosition = position.Max(s.minPosition, result.Position)
		data = withPosition(data, position.Token{Group: s.group, Position: result.Position})
	}
	_, err := s.conn.Write(data)
	return err == nil
}

func (s *session) answerServedFailure(submitted *request.Request, result request.Result) bool {
	if submitted.Info.InTransaction || submitted.Info.Begins {
		if submitted.Info.MayCommit {
			s.status = backend.Idle // the transaction has ended, committed or not
		}
		s.abandonTransaction()
		if s.status == backend.InProgress {
			s.status = backend.Failed
		}
	}
	s.unsynced, s.uncommitted = false, false
	s.protocol.Send(errorResponse(
		&failure.Error{Kind: result.Kind, Detail: result.Detail, RetryAfter: result.RetryAfter}, "ERROR",
	))
	return s.ready()
}

// readyForQueryBytes is the length of an encoded ReadyForQuery message.
const readyForQueryBytes = 6

// withPosition inserts a ParameterStatus of dewknot.position before the final ReadyForQuery.
func withPosition(data []byte, token position.Token) []byte {
	if len(data) < readyForQueryBytes {
		return data
	}
	split := len(data) - readyForQueryBytes
	status := pgproto3.ParameterStatus{Name: parameterPrefix + "position", Value: token.String()}
	out := make([]byte, 0, len(data)+64)
	out = append(out, data[:split]...)
	out, err := status.Encode(out)
	if err != nil {
		return data
	}
	return append(out, data[split:]...)
}

func (s *session) setCurrent(submitted *request.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if submitted == nil {
		s.current = group.RequestID{}
		return
	}
	s.current = submitted.Info.ID
	s.currentOwner = s.owner
}

// cancelCurrent cancels the request in progress. A request that is not pinned may be at
// the owner or at the standby, so both get the cancel request.
func (s *session) cancelCurrent() {
	s.mu.Lock()
	current, currentOwner := s.current, s.currentOwner
	s.mu.Unlock()
	if current.Number == 0 {
		return
	}
	owners := []string{currentOwner}
	if currentOwner == "" {
		owners = s.server.router.View().Owners(s.group)
	}
	for _, owner := range owners {
		s.server.router.Cancel(owner, s.group, current)
	}
}
