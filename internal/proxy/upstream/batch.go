package upstream

import (
	"errors"
	"os"
	"time"

	"dewknot/internal/proxy/command"
)

// Batch is the outcome of a run of operations.
type Batch struct {
	// SentAt is a time before the first byte was sent.
	SentAt  time.Time
	Results []Result
	// Err is set if not all operations were answered; the connection is then in
	// doubt and must be discarded.
	Err error
}

// First returns the first result, nil if there is none.
func (b *Batch) First() *Result {
	if len(b.Results) == 0 {
		return nil
	}
	return &b.Results[0]
}

// Last returns the last result, nil if there is none.
func (b *Batch) Last() *Result {
	if len(b.Results) == 0 {
		return nil
	}
	return &b.Results[len(b.Results)-1]
}

// TimedOut reports whether answers are missing because the deadline passed.
func (b *Batch) TimedOut() bool { return errors.Is(b.Err, os.ErrDeadlineExceeded) }

// Run sends operations and waits for all their answers.
func (l *Lease) Run(operations []Operation, deadline time.Time) Batch {
	batch := Batch{SentAt: time.Now(), Results: make([]Result, 0, len(operations))}
	l.started(batch.SentAt)
	if batch.Err = l.Send(operations, deadline); batch.Err != nil {
		l.broke()
		return batch
	}
	for i := range operations {
		result, err := l.Receive(operations[i].Kind, deadline)
		if err != nil {
			batch.Err = err
			if !batch.TimedOut() {
				l.broke()
			}
			return batch
		}
		l.note(&operations[i], &result)
		batch.Results = append(batch.Results, result)
	}
	l.answered(operations, &batch)
	return batch
}

// rollBackLimit bounds the wait for the answer to a rollback.
const rollBackLimit = 500 * time.Millisecond

// RollBack ends the open transaction and gives the connection back, or discards
// one that does not become idle.
func (l *Lease) RollBack() {
	batch := l.Run([]Operation{{Kind: Rollback}}, time.Now().Add(rollBackLimit))
	if batch.Err != nil {
		l.Discard()
		return
	}
	l.Settle(batch.Last())
}

// Settle gives the connection back if its last answer left it idle, and discards
// it otherwise.
func (l *Lease) Settle(last *Result) {
	if last.State == Idle {
		l.Return()
		return
	}
	l.Discard()
}

// started notes that the server owes an answer. Of a server that is reached
// through another node, that node keeps the account.
func (l *Lease) started(now time.Time) {
	if !l.Remote() {
		l.stats.Started(now)
	}
}

// broke notes a connection that broke. A link to another node that breaks says
// nothing of the server behind it.
func (l *Lease) broke() {
	if !l.Remote() {
		l.stats.Unreachable(time.Now())
	}
}

// answered takes what the answers tell of the server.
func (l *Lease) answered(operations []Operation, batch *Batch) {
	last := batch.Last()
	now := time.Now()
	if last.Outcome == Unreached && l.Remote() {
		l.unreached()
	}
	if last.Outcome == Unreached || last.Outcome == NoConnection {
		return
	}
	if l.Remote() {
		l.stats.AnsweredThrough(now)
	} else {
		l.stats.Answered(now)
	}
	l.stats.Observe(last.Position)
	if runsStatement(operations) {
		l.stats.Sample(now, now.Sub(batch.SentAt))
	}
	if l.Remote() && last.State == Idle {
		// The other node keeps a session's state only while a transaction is open.
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

// note follows the session state that the server keeps for the connection.
func (l *Lease) note(operation *Operation, result *Result) {
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
		l.Prepared[operation.Name] = operation.Definition
	default:
	}
}

// Adapt returns the operations that give the connection a session's values and,
// if the statement executes a prepared one, the statement under its name.
func (l *Lease) Adapt(values map[string]string, statement *command.Statement) []Operation {
	var operations []Operation
	for name := range l.Values {
		if _, wanted := values[name]; !wanted {
			operations = append(operations, Operation{Kind: ResetSession})
			clear(l.Values)
			clear(l.Prepared)
			break
		}
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

// ServerName is the name under which a statement is prepared on connections:
// the same for the same statement, whatever its callers name it.
func ServerName(definition command.PreparedStatement) string {
	if definition.Writes {
		return "w_" + definition.Shape
	}
	return "r_" + definition.Shape
}
