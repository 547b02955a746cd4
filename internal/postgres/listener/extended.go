package listener

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"dewknot/internal/base/failure"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/statement"
)

// preparedStatement is a statement that a caller has prepared. Its name on back-end
// connections is derived from its text, so that it is the same on all pooled connections.
type preparedStatement struct {
	definition backend.Statement
	info       statement.Info
}

// pendingBatch collects extended-protocol messages up to Sync or Flush.
type pendingBatch struct {
	messages   []byte // encoded for the server
	statements map[string]backend.Statement
	info       statement.Info
	nonEmpty   bool // a message has been collected
	// problem is the first error found by the listener; later messages up to Sync are skipped.
	problem *failure.Error
	// reported is set when the problem was already sent at a Flush.
	reported bool
	// parameter is set when the batch runs one SET or SHOW of a dewknot parameter.
	parameter *statement.Parameter
	// outlines describes the messages in order, for answers that the listener makes itself.
	outlines []pgproto3.FrontendMessage
}

func (b *pendingBatch) started() bool { return b.nonEmpty }

func (b *pendingBatch) reset() { *b = pendingBatch{} }

// backendName returns the name of a statement on back-end connections.
func backendName(query string, oids []uint32) string {
	const nameBytes = 16
	digest := sha256.New()
	// The length separates the text from the types.
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(query))))
	_, _ = digest.Write([]byte(query))
	for _, oid := range oids {
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return "dk_" + hex.EncodeToString(digest.Sum(nil)[:nameBytes])
}

// collect adds one message to the batch.
func (s *session) collect(message pgproto3.FrontendMessage) {
	if !s.batch.nonEmpty {
		s.batch = pendingBatch{
			nonEmpty: true, statements: map[string]backend.Statement{},
			info: statement.Info{ReadOnly: true, Empty: true},
		}
	}
	if s.batch.problem != nil {
		return
	}
	s.batch.outlines = append(s.batch.outlines, outline(message))
	switch typed := message.(type) {
	case *pgproto3.Parse:
		s.collectParse(typed)
	case *pgproto3.Bind:
		s.collectBind(typed)
	case *pgproto3.Describe:
		s.collectDescribe(typed)
	case *pgproto3.Execute:
		s.collectExecute(typed)
	case *pgproto3.Close:
		s.collectClose(typed)
	}
}

// outline copies the parts of a message that the listener's own answers depend on. The
// message itself is overwritten when the next one is received.
func outline(message pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch typed := message.(type) {
	case *pgproto3.Parse:
		return &pgproto3.Parse{}
	case *pgproto3.Bind:
		return &pgproto3.Bind{}
	case *pgproto3.Describe:
		return &pgproto3.Describe{ObjectType: typed.ObjectType}
	case *pgproto3.Execute:
		return &pgproto3.Execute{}
	default:
		return &pgproto3.Close{}
	}
}

func (s *session) append(message pgproto3.FrontendMessage) {
	encoded, err := message.Encode(s.batch.messages)
	if err != nil {
		s.batch.problem = failure.New(failure.Protocol, err.Error())
		return
	}
	s.batch.messages = encoded
}

func (s *session) collectParse(message *pgproto3.Parse) {
	oids := append([]uint32(nil), message.ParameterOIDs...)
	prepared := preparedStatement{
		definition: backend.Statement{Name: backendName(message.Query, oids), Query: message.Query, OIDs: oids},
		info:       statement.Classify(message.Query),
	}
	if problem := s.checkSupported(prepared.info); problem != nil {
		s.batch.problem = problem
		return
	}
	if !s.keepStatement(message.Name, prepared) {
		s.batch.problem = failure.New(failure.TooManyValues, message.Name)
		return
	}
	if prepared.info.Parameter != nil {
		s.batch.parameter = prepared.info.Parameter
	}
	s.batch.statements[prepared.definition.Name] = prepared.definition
	s.append(&pgproto3.Parse{Name: prepared.definition.Name, Query: message.Query, ParameterOIDs: oids})
}

// Limits of the statements that a node keeps for a session.
const (
	maxStatements = 4096
	// maxStatementMessages is the size of their names and texts, in messages of the maximum size.
	maxStatementMessages = 2
	minStatementBytes    = 1 << 20
)

// maxStatementBytes returns the maximum size of the names and texts of a session's statements.
func (s *session) maxStatementBytes() int {
	return max(maxStatementMessages*s.server.settings.MaxMessageBytes, minStatementBytes)
}

// keepStatement keeps a prepared statement and reports whether the session's limits allow it.
func (s *session) keepStatement(name string, prepared preparedStatement) bool {
	previous, exists := s.statements[name]
	change := len(prepared.definition.Query) - len(previous.definition.Query)
	if !exists {
		change += len(name)
	}
	if !exists && len(s.statements) >= maxStatements || s.statementBytes+change > s.maxStatementBytes() {
		return false
	}
	s.statements[name] = prepared
	s.statementBytes += change
	return true
}

// dropStatement ends a prepared statement, if there is one.
func (s *session) dropStatement(name string) {
	if dropped, exists := s.statements[name]; exists {
		delete(s.statements, name)
		s.statementBytes -= len(name) + len(dropped.definition.Query)
	}
}

// lookupStatement returns a prepared statement and adds its definition to the batch.
func (s *session) lookupStatement(name string) (preparedStatement, bool) {
	found, ok := s.statements[name]
	if !ok {
		s.batch.problem = failure.New(failure.Protocol, "prepared statement \""+name+"\" does not exist")
		return found, false
	}
	s.batch.statements[found.definition.Name] = found.definition
	if found.info.Parameter != nil {
		s.batch.parameter = found.info.Parameter
	}
	return found, true
}

func (s *session) collectBind(message *pgproto3.Bind) {
	found, ok := s.lookupStatement(message.PreparedStatement)
	if !ok {
		return
	}
	s.portals[message.DestinationPortal] = found.info
	renamed := *message
	renamed.PreparedStatement = found.definition.Name
	s.append(&renamed)
}

func (s *session) collectDescribe(message *pgproto3.Describe) {
	if message.ObjectType != 'S' {
		s.append(message)
		return
	}
	if found, ok := s.lookupStatement(message.Name); ok {
		s.append(&pgproto3.Describe{ObjectType: 'S', Name: found.definition.Name})
	}
}

func (s *session) collectExecute(message *pgproto3.Execute) {
	info, ok := s.portals[message.Portal]
	if !ok {
		s.batch.problem = failure.New(failure.Protocol, "portal \""+message.Portal+"\" does not exist")
		return
	}
	s.batch.info = combine(s.batch.info, info)
	s.append(message)
}

// combine merges the classification of two statements of one batch.
func combine(first, second statement.Info) statement.Info {
	joined := second
	if !first.Empty {
		joined.Control = first.Control
	}
	joined.ReadOnly = first.ReadOnly && second.ReadOnly
	joined.MayCommit = first.MayCommit || second.MayCommit
	joined.Empty = first.Empty && second.Empty
	if first.Kind != "" {
		joined.Kind = first.Kind
	}
	return joined
}

func (s *session) collectClose(message *pgproto3.Close) {
	if message.ObjectType == 'S' {
		s.dropStatement(message.Name)
	} else {
		delete(s.portals, message.Name)
	}
	s.append(message)
}

// batchWithinLimit ends the connection if the batch is larger than MaxMessageBytes.
func (s *session) batchWithinLimit() bool {
	if len(s.batch.messages) <= s.server.settings.MaxMessageBytes {
		return true
	}
	return s.fatal(failure.New(failure.TooLarge, "messages before Sync"))
}

// handleSync ends the batch and submits or answers it.
func (s *session) handleSync() bool {
	batch := s.batch
	s.batch.reset()
	if s.status == backend.Idle {
		defer clear(s.portals)
	}
	switch {
	case batch.reported:
		return s.ready()
	case batch.problem != nil:
		return s.answerFailure(batch.problem)
	case batch.parameter != nil:
		return s.serveExtendedParameter(batch)
	case s.transactionLost && batch.nonEmpty:
		return s.syncInFailedTransaction(batch)
	case !batch.nonEmpty && !s.unsynced:
		return s.ready()
	}
	return s.submitBatch(batch, &pgproto3.Sync{})
}

func (s *session) syncInFailedTransaction(batch pendingBatch) bool {
	ends := batch.info.Control == statement.Rollback || batch.info.Control == statement.Commit
	if !ends {
		return s.answerInFailedTransaction(batch.info)
	}
	s.transactionLost = false
	s.status = backend.Idle
	return s.answerLocally(batch.outlines, &pgproto3.NoData{}, []pgproto3.BackendMessage{
		&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")},
	})
}

// answerLocally answers each message of a batch as a server would.
func (s *session) answerLocally(
	outlines []pgproto3.FrontendMessage, description pgproto3.BackendMessage, execution []pgproto3.BackendMessage,
) bool {
	for _, message := range outlines {
		switch typed := message.(type) {
		case *pgproto3.Parse:
			s.protocol.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			s.protocol.Send(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			if typed.ObjectType == 'S' {
				s.protocol.Send(&pgproto3.ParameterDescription{})
			}
			s.protocol.Send(description)
		case *pgproto3.Execute:
			for _, part := range execution {
				s.protocol.Send(part)
			}
		case *pgproto3.Close:
			s.protocol.Send(&pgproto3.CloseComplete{})
		}
	}
	return s.ready()
}

// handleFlush submits the collected messages. The owner keeps the back-end connection until Sync.
func (s *session) handleFlush() bool {
	batch := s.batch
	if batch.problem != nil && !batch.reported {
		return s.reportProblem()
	}
	if !batch.nonEmpty || batch.problem != nil || batch.parameter != nil || s.transactionLost {
		return true
	}
	s.batch.reset()
	return s.submitBatch(batch, &pgproto3.Flush{})
}

// reportProblem sends the batch's error before Sync, because the caller waits for it after a Flush.
func (s *session) reportProblem() bool {
	s.batch.reported = true
	s.failTransaction()
	s.protocol.Send(errorResponse(s.batch.problem, "ERROR"))
	return s.protocol.Flush() == nil
}

func (s *session) submitBatch(batch pendingBatch, end pgproto3.FrontendMessage) bool {
	messages, err := end.Encode(batch.messages)
	if err != nil {
		return s.fatal(failure.New(failure.Protocol, err.Error()))
	}
	out := backend.Batch{Messages: messages}
	for _, definition := range batch.statements {
		out.Statements = append(out.Statements, definition)
	}
	info := batch.info
	if !batch.nonEmpty {
		info.ReadOnly = true
	}
	_, synced := end.(*pgproto3.Sync)
	return s.submit(info, out, synced)
}

// serveExtendedParameter answers a prepared SET or SHOW of a dewknot parameter.
func (s *session) serveExtendedParameter(batch pendingBatch) bool {
	description, execution, problem := s.parameterAnswer(*batch.parameter, batch.executes())
	if problem != nil {
		return s.answerFailure(problem)
	}
	return s.answerLocally(batch.outlines, description, execution)
}

// executes reports whether the batch has an Execute message.
func (b *pendingBatch) executes() bool {
	for _, message := range b.outlines {
		if _, ok := message.(*pgproto3.Execute); ok {
			return true
		}
	}
	return false
}
