package judge

import (
	"bytes"
	"fmt"
	"slices"

	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/command"
)

// givenAnswer is a signed answer that a server gave to a request.
type givenAnswer struct {
	signature string
	rows      [][]byte
}

// StatementRan implements managed.Observer.
func (j *Judge) StatementRan(run managed.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := run.Statement.RequestID
	request := j.requests[id]
	if request == nil {
		j.recordViolation("a server ran %q with ID %q that no caller sent", run.Statement.Text, id)
		return
	}
	j.checkStatement(request, &run)
	j.checkTransaction(request, &run)
	if request.tenant == "" {
		return
	}
	if string(run.Principal) != request.tenant {
		j.recordViolation("request %s of tenant %q ran as principal %q", id, request.tenant, run.Principal)
	}
	if run.First && !run.Commit {
		j.operations[request.tenant] = append(j.operations[request.tenant],
			operation{began: request.began, ran: run.At})
	}
}

// checkStatement checks that a server runs what the caller sent, with the session values that were
// acknowledged to the caller.
func (j *Judge) checkStatement(request *requestState, run *managed.Run) {
	id := run.Statement.RequestID
	if run.Statement != request.statement || run.Commit != request.commit {
		j.recordViolation("request %s was sent as %s, but a server ran %s",
			id, describe(&request.statement), describe(&run.Statement))
	}
	if run.Values != request.values {
		j.recordViolation("request %s ran with values %q, the session has %q", id, run.Values, request.values)
	}
}

func describe(statement *command.Statement) string {
	if statement.Prepared {
		return fmt.Sprintf("%q of the prepared %q (writes: %t)", statement.Arguments, statement.Definition.Shape, statement.Definition.Writes)
	}
	return fmt.Sprintf("%q", statement.Text)
}

// checkTransaction checks that a statement runs inside its caller's transaction, which stays on one
// connection, and in no other one. A single statement may have a transaction of its own.
func (j *Judge) checkTransaction(request *requestState, run *managed.Run) {
	id, owner := run.Statement.RequestID, request.transaction
	if owner == "" {
		owner = id
	}
	if run.Transaction == 0 {
		if request.transaction != "" {
			j.recordViolation("request %s ran outside its transaction %s", id, request.transaction)
		}
		return
	}
	if other, taken := j.owners[run.Transaction]; taken && other != owner {
		j.recordViolation("request %s of %s ran inside the transaction of %s", id, owner, other)
		return
	}
	j.owners[run.Transaction] = owner
	if request.transaction == "" {
		return
	}
	if first, began := j.transactions[owner]; began && first != run.Transaction {
		j.recordViolation("request %s ran outside the connection that ran the first statement of %s", id, owner)
		return
	}
	j.transactions[owner] = run.Transaction
}

// AnswerGiven implements managed.Observer.
func (j *Judge) AnswerGiven(id, signature string, rows [][]byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if request := j.requests[id]; request != nil {
		request.given = append(request.given, givenAnswer{signature: signature, rows: slices.Clone(rows)})
	}
}

// CheckAnswer checks that the success that a caller received is one that a server gave for this
// request, with the same rows.
func (j *Judge) CheckAnswer(id string, answer *Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, given := range j.requests[id].given {
		if given.signature == answer.Signature && slices.EqualFunc(given.rows, answer.Rows, bytes.Equal) {
			return
		}
	}
	j.recordViolation("request %s was answered with signature %q and rows %.200q, which no server gave for it",
		id, answer.Signature, answer.Rows)
}
