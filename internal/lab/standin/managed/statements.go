package managed

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// signed returns the successful answer to a request. Its signature is the request's ID, with the
// number of the run if the server has run the request before. The lock must be held.
func (s *Session) signed(requestID string, rows ...[]byte) upstream.Result {
	result := s.result(upstream.Succeeded)
	result.Rows = rows
	result.Signature = requestID
	s.server.runs[requestID]++
	if run := s.server.runs[requestID]; run > 1 {
		result.Signature += "#" + strconv.Itoa(run)
	}
	s.server.group.observer.AnswerGiven(requestID, result.Signature, rows)
	return result
}

// begin begins a transaction. One that is open stays the same.
func (s *Session) begin(readOnly bool) {
	if s.transaction == 0 {
		s.server.group.transactions++
		s.transaction = s.server.group.transactions
	}
	s.state, s.readOnly = upstream.InTransaction, readOnly
}

func (s *Session) end() {
	s.state, s.writes, s.ran, s.transaction = upstream.Idle, nil, false, 0
}

// observe reports a statement or COMMIT that the server runs.
func (s *Session) observe(statement command.Statement, commit bool) {
	if statement.Prepared {
		// The text has the caller's name of the statement.
		statement.Text = ""
	}
	s.server.group.observer.StatementRan(Run{
		Statement: statement, Commit: commit, Values: ValuesText(s.values), Transaction: s.transaction,
		Principal: s.principal, At: time.Now(), First: !s.ran,
	})
}

// stillPrimary reports whether the server is still the primary of the term in which the open
// transaction began.
func (s *Session) stillPrimary() bool {
	return s.server.isPrimary() && s.term == s.server.primaryTerm
}

// commitWrites appends writes to the log of a server that acts as the primary. The lock must be
// held.
func (s *Session) commitWrites(writes []write) {
	if s.server.lingering {
		s.server.group.commitOnReplaced(s.server, writes)
		return
	}
	s.awaitReplicas(s.server.group.commit(writes))
}

func (s *Session) commit(requestID, text string) upstream.Result {
	if s.state != upstream.InTransaction {
		return s.result(upstream.Rejected)
	}
	writes := s.writes
	if len(writes) > 0 && !s.stillPrimary() {
		s.end()
		return s.result(upstream.NotPrimary)
	}
	s.observe(command.Statement{RequestID: requestID, Text: text}, true)
	s.end()
	if len(writes) > 0 {
		s.commitWrites(writes)
	}
	return s.signed(requestID)
}

// awaitReplicas waits until enough replicas have received a commit. The lock must be held and is
// released while waiting. If the server is replaced before, the connection breaks, so that the
// commit is never answered.
func (s *Session) awaitReplicas(at position.Position) {
	group := s.server.group
	for group.received(at) < group.settings.SynchronousReplicas && s.alive() && s.server == group.primary {
		group.mutex.Unlock()
		time.Sleep(time.Millisecond)
		group.mutex.Lock()
	}
	if group.received(at) < group.settings.SynchronousReplicas {
		s.disconnect()
	}
}

// statement executes a caller's read ("READ key") or write ("WRITE key data").
func (s *Session) statement(operation *upstream.Operation) upstream.Result {
	statement := operation.Statement
	text := statement.Text
	if statement.Prepared {
		definition, found := s.preparedStatement(operation)
		if !found {
			return s.result(upstream.StatementMissing)
		}
		statement.Definition, statement.Writes = definition, definition.Writes
		text = "read " + statement.Arguments
		if statement.Writes {
			text = "write " + statement.Arguments
		}
	}
	_, arguments, _ := strings.Cut(text, " ")
	key, data := arguments, ""
	if statement.Writes {
		key, data, _ = strings.Cut(arguments, " ")
	}
	readWrite := s.state == upstream.InTransaction && !s.readOnly
	if readWrite && !s.stillPrimary() {
		s.state = upstream.FailedTransaction
		return s.result(upstream.NotPrimary)
	}
	if !statement.Writes && !s.server.hasApplied(operation.MinimumPosition) {
		return s.result(upstream.Behind)
	}
	if statement.Writes && !s.writable(readWrite) {
		return s.result(upstream.NotPrimary)
	}
	if s.server.fails() {
		return s.result(upstream.Failed)
	}
	s.observe(*statement, false)
	s.ran = s.state == upstream.InTransaction
	if statement.Writes {
		return s.write(write{requestID: operation.RequestID, key: key, data: data}, readWrite)
	}
	s.server.group.observer.ReadRan(operation.RequestID, time.Now(), s.server.hasApplied)
	return s.signed(operation.RequestID, []byte(s.server.value(key)), []byte(ValuesText(s.values)))
}

// preparedStatement returns the statement that an operation executes. Over the line protocol, the
// operation has only its name.
func (s *Session) preparedStatement(operation *upstream.Operation) (command.PreparedStatement, bool) {
	if operation.Name != "" {
		definition, found := s.prepared[operation.Name]
		return definition, found
	}
	definition, found := s.prepared[upstream.ServerName(operation.Statement.Definition)]
	return definition, found
}

// writable reports whether a write is allowed.
func (s *Session) writable(readWrite bool) bool {
	return s.server.isPrimary() && (s.state != upstream.InTransaction || readWrite)
}

func (s *Session) write(added write, readWrite bool) upstream.Result {
	if readWrite {
		s.writes = append(s.writes, added)
	} else {
		s.commitWrites([]write{added})
	}
	return s.signed(added.requestID)
}

// ValuesText formats session values in a fixed order.
func ValuesText(values map[string]string) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text.WriteString(name + "=" + values[name] + ";")
	}
	return text.String()
}
