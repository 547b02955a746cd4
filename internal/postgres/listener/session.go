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

	// What the caller has set; see docs/CALLERS.md.
	name       string
	kind       string
	floor      position.Position
	carries    bool // the caller carries its position itself
	repeatable string

	// status is the transaction state shown to the caller.
	status byte
	// failedHere is set when the transaction was lost: until ROLLBACK the
	// listener itself answers.
	failedHere bool
	// owner is the node that holds the open transaction, "" if none is open.
	owner string
	// visited holds every node that has served the session.
	visited map[string]bool
	number  uint64
	// unsynced is set between a Flush and the Sync that follows.
	unsynced bool
	// uncommitted is set when statements before a Flush will commit at Sync.
	uncommitted bool
	statements  map[string]preparedStatement
	portals     map[string]statement.Info
	batch       pendingBatch

	mu sync.Mutex // guards busy, current and ended, for cancel and drain
	// busy is true from the arrival of a message until its answer is sent.
	busy    bool
	current group.RequestID
	asked   string // the node that current was sent to
	ended   bool
}

func newSession(server *Server, conn net.Conn) *session {
	protocol := pgproto3.NewBackend(conn, conn)
	protocol.SetMaxBodyLen(server.settings.MaxMessageBytes)
	return &session{
		server: server, conn: conn, protocol: protocol, secret: newSecret(),
		id:     group.SessionID{Listener: server.settings.Epoch, Session: server.nextSession.Add(1)},
		status: backend.Idle, visited: map[string]bool{},
		statements: map[string]preparedStatement{}, portals: map[string]statement.Info{},
	}
}

// loop serves messages until the caller leaves or breaks the protocol.
func (s *session) loop() {
	for {
		message, err := s.protocol.Receive()
		if err != nil {
			s.receiveFailed(err)
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
			s.endIfIdle()
		}
	}
}

// receiveFailed tells a caller that broke the protocol what is wrong.
func (s *session) receiveFailed(err error) {
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

// setBusy notes that work begins or ends; it reports false once the session has
// been ended by a planned stop.
func (s *session) setBusy(busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	return !s.ended
}

// endIfIdle ends a session that has no work and no open transaction. The lock
// keeps the decision and a message's arrival apart: a request that was received
// is served.
func (s *session) endIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.ended || s.status != backend.Idle || s.unsynced || s.batch.started() {
		return
	}
	s.ended = true
	s.fatal(failure.New(failure.Stopping, ""))
	_ = s.conn.Close()
}

// end releases what the session holds elsewhere.
func (s *session) end() {
	for owner := range s.visited {
		s.server.router.EndSession(owner, s.group, s.id)
	}
}

// fatal sends an error that ends the connection. It returns false for use as
// the result of a step.
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
		return s.query(typed)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.collect(message)
		return s.batchWithinLimit()
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Terminate:
		return false
	default:
		s.server.Counters.ProtocolViolations.Add(1)
		return s.fatal(failure.New(failure.Protocol, "unexpected message"))
	}
}

// query serves a simple query.
func (s *session) query(message *pgproto3.Query) bool {
	if s.batch.started() {
		return s.fatal(failure.New(failure.Protocol, "Query before Sync"))
	}
	info := statement.Classify(message.String)
	if info.Parameter != nil {
		return s.serveParameter(*info.Parameter)
	}
	if problem := s.refusal(info); problem != nil {
		return s.answerFailure(problem)
	}
	if s.failedHere {
		return s.answerInFailedTransaction(info)
	}
	encoded, err := message.Encode(nil)
	if err != nil {
		return s.fatal(failure.New(failure.Protocol, err.Error()))
	}
	return s.submit(info, backend.Batch{Messages: encoded}, true)
}

// refusal returns why a statement cannot be carried, or nil.
func (s *session) refusal(info statement.Info) *failure.Error {
	if info.Unsupported == "" {
		return nil
	}
	return failure.New(failure.Unsupported, info.Unsupported)
}

// answerFailure answers one request with an error and becomes ready again.
func (s *session) answerFailure(problem *failure.Error) bool {
	s.failTransaction()
	s.protocol.Send(errorResponse(problem, "ERROR"))
	return s.ready()
}

// failTransaction gives up what is open at the owner, as an error does.
func (s *session) failTransaction() {
	if s.status != backend.InProgress && !s.unsynced {
		return
	}
	if s.status == backend.InProgress {
		s.status = backend.Failed
	}
	s.unsynced, s.uncommitted = false, false
	s.loseTransaction()
}

// loseTransaction gives up the open transaction: it is rolled back at the owner,
// and the caller is kept in a failed transaction until it ends it.
func (s *session) loseTransaction() {
	if s.owner != "" {
		s.server.router.EndSession(s.owner, s.group, s.id)
		delete(s.visited, s.owner)
		s.owner = ""
	}
	s.failedHere = s.status != backend.Idle
}

func (s *session) ready() bool {
	s.protocol.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.protocol.Flush() == nil
}

// answerInFailedTransaction acts as PostgreSQL does in a failed transaction.
func (s *session) answerInFailedTransaction(info statement.Info) bool {
	if info.Control != statement.Rollback && info.Control != statement.Commit {
		s.protocol.Send(errorResponse(failure.New(failure.FailedTransaction, ""), "ERROR"))
		return s.ready()
	}
	s.failedHere = false
	s.status = backend.Idle
	s.protocol.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	return s.ready()
}

// submit has one batch served and answers the caller. A batch that does not end
// with a synchronization leaves its connection open for what follows.
func (s *session) submit(info statement.Info, batch backend.Batch, synced bool) bool {
	if fresh := s.server.settings.Fresh; fresh != nil && !fresh() && s.status == backend.Idle && !s.unsynced {
		return s.answerFailure(failure.Refuse(failure.Isolated, overloadRetry))
	}
	submitted := s.newRequest(info, batch)
	if !synced {
		leaveOpen(&submitted.Info)
	}
	s.server.Counters.Requests.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.noteCurrent(submitted)
	served := s.server.router.Submit(ctx, submitted, s.owner, s.passOn)
	s.number = submitted.Info.ID.Number
	s.noteCurrent(nil)
	if served.Disconnect {
		return s.fatal(failure.New(served.Result.Kind, ""))
	}
	if served.Owner != "" {
		s.visited[served.Owner] = true
	}
	s.uncommitted = s.uncommitted || !synced && !info.ReadOnly && s.status == backend.Idle
	return s.answer(submitted, served)
}

// leaveOpen makes a request ready for whatever may follow on its connection: it
// runs at the primary like the beginning of a transaction, and commits nothing
// before the synchronization.
func leaveOpen(info *group.Request) {
	info.ReadOnly, info.MayCommit = false, false
	info.Begins = !info.InTransaction
}

func (s *session) passOn(data []byte) error {
	_, err := s.conn.Write(data)
	return err
}

func (s *session) newRequest(info statement.Info, batch backend.Batch) *request.Request {
	s.number++
	kind := info.Kind
	if kind == "" {
		kind = s.kind
	}
	rule, weight := s.rule(kind)
	inTransaction := s.status != backend.Idle || s.unsynced
	readOnly := info.ReadOnly && !rule.Write && !inTransaction
	floor := position.Position{}
	if s.carries {
		floor = s.floor
	}
	return &request.Request{
		Group: s.group,
		Info: group.Request{
			ID: group.RequestID{Session: s.id, Number: s.number}, Caller: s.user, Weight: weight, ReadOnly: readOnly,
			Begins: info.Control == statement.Begin, InTransaction: inTransaction,
			MayCommit: s.mayCommit(info, readOnly, inTransaction), Rule: rule, Floor: floor,
		},
		Batch: batch,
	}
}

func (s *session) rule(kind string) (policy.Rule, int) {
	inForce := s.server.router.View().Config.Policies[s.group]
	if inForce == nil {
		return policy.DefaultRule(), 1
	}
	return inForce.Table.Rule(kind), inForce.Table.Weight(s.user)
}

// mayCommit reports whether running a request could commit something: an ending
// of a transaction, or a write that is its own transaction.
func (s *session) mayCommit(info statement.Info, readOnly, inTransaction bool) bool {
	if info.MayCommit || s.uncommitted {
		return true
	}
	return !readOnly && !inTransaction && info.Control == statement.NoControl && !info.Empty && !info.ReadOnly
}

// answer sends the caller what came of its request.
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
		s.floor = position.Max(s.floor, result.Position)
		data = withPosition(data, position.Token{Group: s.group, Position: result.Position})
	}
	_, err := s.conn.Write(data)
	return err == nil
}

func (s *session) answerServedFailure(submitted *request.Request, result request.Result) bool {
	if submitted.Info.InTransaction || submitted.Info.Begins {
		if submitted.Info.MayCommit {
			s.status = backend.Idle // the transaction is over, one way or the other
		}
		s.loseTransaction()
		if s.status == backend.InProgress {
			s.status = backend.Failed
		}
	}
	s.unsynced, s.uncommitted = false, false
	s.protocol.Send(errorResponse(&failure.Error{Kind: result.Kind, Detail: result.Detail, RetryAfter: result.RetryAfter}, "ERROR"))
	return s.ready()
}

// readyForQueryBytes is the length of the message that ends an answer.
const readyForQueryBytes = 6

// withPosition puts the parameter dewknot.position before the final ReadyForQuery.
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

func (s *session) noteCurrent(submitted *request.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if submitted == nil {
		s.current = group.RequestID{}
		return
	}
	s.current = submitted.Info.ID
	s.asked = s.owner
}

// cancelCurrent cancels the request in progress. Any of the group's owners may
// have it, so both are told.
func (s *session) cancelCurrent() {
	s.mu.Lock()
	current, asked := s.current, s.asked
	s.mu.Unlock()
	if current.Number == 0 {
		return
	}
	owners := []string{asked}
	if asked == "" {
		owners = s.server.router.View().Owners(s.group)
	}
	for _, owner := range owners {
		s.server.router.Cancel(owner, s.group, current)
	}
}
