package upstream

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"os"
	"time"

	"dewknot/internal/proxy/command"
)

// Batch is the result of running several operations.
type Batch struct {
	// SentAt is a time before the first byte was sent.
	SentAt  time.Time
	Results []Result
	// Err is set if not all operations were answered. The state of the connection is then unknown
	// and it must be discarded.
	Err error
}

// First returns the first result, or nil if there is none.
func (b *Batch) First() *Result {
	if len(b.Results) == 0 {
		return nil
	}
	return &b.Results[0]
}

// Last returns the last result, or nil if there is none.
func (b *Batch) Last() *Result {
	if len(b.Results) == 0 {
		return nil
	}
	return &b.Results[len(b.Results)-1]
}

// TimedOut reports whether answers are missing because the deadline passed.
func (b *Batch) TimedOut() bool { return errors.Is(b.Err, os.ErrDeadlineExceeded) }

// mismatched reports whether an answer did not match its operation.
func (b *Batch) mismatched() bool {
	var mismatch *MismatchError
	return errors.As(b.Err, &mismatch)
}

// Run sends operations and waits for all their answers. If the server refuses session state that the
// operations need, the others have the outcome of that refusal.
func (l *Lease) Run(operations []Operation, deadline time.Time) Batch {
	if setup := setupLength(operations); setup > 0 && !l.Remote() {
		return l.runWithSetup(operations, setup, deadline)
	}
	return l.run(operations, deadline)
}

// run sends operations at once and waits for all their answers.
func (l *Lease) run(operations []Operation, deadline time.Time) Batch {
	sent := l.pad(operations)
	batch := Batch{SentAt: time.Now(), Results: make([]Result, 0, len(sent))}
	l.recordSent(batch.SentAt)
	if batch.Err = l.Send(sent, deadline); batch.Err != nil {
		l.recordBroken()
		return batch
	}
	for i := range sent {
		result, err := l.receive(&sent[i], deadline)
		if err != nil {
			return l.endUnanswered(batch, err)
		}
		l.trackSessionState(&sent[i], &result)
		batch.Results = append(batch.Results, result)
	}
	if l.unconfirmed {
		if err := l.confirm(deadline); err != nil {
			batch.Results = nil
			return l.endUnanswered(batch, err)
		}
	}
	batch.Results = unpad(batch.Results, operations)
	l.recordAnswers(operations, &batch)
	return batch
}

// endUnanswered returns a batch that has not got all its answers.
func (l *Lease) endUnanswered(batch Batch, err error) Batch {
	batch.Err = err
	if !batch.TimedOut() && !batch.mismatched() {
		l.recordBroken()
	}
	return batch
}

// rollbackTimeout limits the wait for the answer to a rollback.
const rollbackTimeout = 500 * time.Millisecond

// RollBack rolls back the open transaction and returns the connection, or discards it if it does
// not become idle.
func (l *Lease) RollBack() {
	batch := l.Run([]Operation{{Kind: Rollback}}, time.Now().Add(rollbackTimeout))
	if batch.Err != nil {
		l.Discard()
		return
	}
	l.Settle(batch.Last())
}

// Settle returns the connection if its last answer left it idle, and discards it otherwise.
func (l *Lease) Settle(last *Result) {
	if last.State == Idle {
		l.Return()
		return
	}
	l.Discard()
}

// recordSent records a sent request. The other node does this for a server that is reached through
// it.
func (l *Lease) recordSent(now time.Time) {
	if !l.Remote() {
		l.stats.RecordRequest(now)
	}
}

// recordBroken records a broken connection. A broken link to another node says nothing about the
// server behind it.
func (l *Lease) recordBroken() {
	if !l.Remote() {
		l.stats.RecordFailure(time.Now())
	}
}

// recordAnswers updates the server's statistics from its answers.
func (l *Lease) recordAnswers(operations []Operation, batch *Batch) {
	last := batch.Last()
	now := time.Now()
	if last.Outcome == Unreached && l.Remote() {
		l.onUnreachable()
	}
	if last.Outcome == Unreached || last.Outcome == NoConnection {
		return
	}
	if l.Remote() {
		l.stats.RecordIndirectAnswer(now)
	} else {
		l.stats.RecordAnswer(now)
	}
	l.stats.RecordPosition(last.Position)
	if runsStatement(operations) {
		l.stats.RecordLatency(now, now.Sub(batch.SentAt))
	}
	if l.Remote() && last.State == Idle {
		// The other node keeps the session state only while a transaction is open.
		clear(l.Values)
		clear(l.Prepared)
	}
}

func runsStatement(operations []Operation) bool {
	for i := range operations {
		if operations[i].Kind == RunStatement {
			return true
		}
	}
	return false
}

// trackSessionState mirrors the session state that the server keeps for the connection.
func (l *Lease) trackSessionState(operation *Operation, result *Result) {
	if operation.Kind == RunStatement && result.Outcome == StatementMissing {
		clear(l.Prepared)
		return
	}
	if result.Outcome != Succeeded {
		return
	}
	switch operation.Kind {
	case ResetSession:
		clear(l.Values)
		clear(l.Prepared)
	case SetValue:
		l.Values[operation.Name] = operation.Value
	case PrepareStatement:
		l.Prepared[operation.Name] = struct{}{}
	default:
	}
}

// Adapt returns the operations that set the session values on the connection and prepare the
// statement if it executes a prepared one that the connection lacks.
func (l *Lease) Adapt(values map[string]string, statement *command.Statement) []Operation {
	var operations []Operation
	if l.needsReset(values) {
		operations = append(operations, Operation{Kind: ResetSession})
		clear(l.Values)
		clear(l.Prepared)
	}
	for name, value := range values {
		if present, set := l.Values[name]; !set || present != value {
			operations = append(operations, Operation{Kind: SetValue, Name: name, Value: value})
		}
	}
	if statement != nil && statement.Prepared {
		name := ServerName(statement.Definition)
		if _, prepared := l.Prepared[name]; !prepared {
			operations = append(operations, Operation{Kind: PrepareStatement, Name: name, Definition: statement.Definition})
		}
	}
	return operations
}

// maxPrepared is the number of prepared statements from which a connection is reset.
const maxPrepared = 256

// needsReset reports whether a connection must be reset: it has values that are not wanted, or many
// prepared statements and no open transaction.
func (l *Lease) needsReset(values map[string]string) bool {
	if len(l.Prepared) >= maxPrepared && l.state == Idle && !l.Remote() {
		return true
	}
	for name := range l.Values {
		if _, wanted := values[name]; !wanted {
			return true
		}
	}
	return false
}

// nameBytes is the length of the digests in the names of prepared statements. It makes collisions
// infeasible, also between shapes that callers choose.
const nameBytes = 16

// ServerName returns the name under which a statement is prepared on server connections. It depends
// only on the statement, not on the caller's name for it, and is a single field whatever the shape
// contains.
func ServerName(definition command.PreparedStatement) string {
	digest := sha256.Sum256([]byte(definition.Shape))
	prefix := "r_"
	if definition.Writes {
		prefix = "w_"
	}
	return prefix + base64.RawURLEncoding.EncodeToString(digest[:nameBytes])
}
