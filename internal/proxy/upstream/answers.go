package upstream

import (
	"errors"
	"fmt"
	"hash/maphash"
	"time"

	"dewknot/internal/base/position"
)

// Answers have no ID, and a server may send an answer again at any later time on the same
// connection. A Lease therefore accepts an answer only if it cannot be an earlier one:
//
//   - Signatures differ, so a signed answer with a known signature is a copy, and is dropped. So is
//     an answer without a result, which is one to the opening of the connection.
//   - A success of a statement or commit is signed, all others are not. An unsigned copy may be
//     accepted in place of another unsigned answer. That one is then dropped at the next statement.
//   - Errors look alike, so a connection is closed after an error. Until then, another error is
//     believed only if further operations are answered as if nothing was left over.
//   - Reports of a status and probes of the primary have no signature. They are sent with a varying
//     number of other operations (padding.go), so that their answers differ from earlier ones.

// MismatchError reports an answer that cannot belong to the operation. What became of the operation
// is unknown, and the connection must be closed.
type MismatchError struct {
	Reason string
}

// Error implements the error interface.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the server's answer does not match the operation: %s; close the connection", e.Reason)
}

// maxSignatures is the number of signed answers that a connection remembers. It is closed afterwards,
// since a copy of a forgotten answer would look like a new one.
const maxSignatures = 512

// signatureSeed is the seed of the hashes of signed answers.
var signatureSeed = maphash.MakeSeed()

// signedAnswer holds the hashes of a signed answer and of the ID of its request.
type signedAnswer struct {
	signature uint64
	rows      uint32
	request   uint32
}

func newSignedAnswer(requestID string, result *Result) signedAnswer {
	var rows maphash.Hash
	rows.SetSeed(signatureSeed)
	for _, row := range result.Rows {
		maphash.WriteComparable(&rows, len(row))
		_, _ = rows.Write(row)
	}
	return signedAnswer{
		signature: maphash.String(signatureSeed, result.Signature), rows: uint32(rows.Sum64()),
		request: uint32(maphash.String(signatureSeed, requestID)),
	}
}

// signedAnswers holds the signed answers of a connection.
type signedAnswers []signedAnswer

// find returns the answer with the same signature, or nil.
func (s signedAnswers) find(answer signedAnswer) *signedAnswer {
	for i := range s {
		if s[i].signature == answer.signature {
			return &s[i]
		}
	}
	return nil
}

// receive reads the answer to an operation. It drops copies of earlier answers, and returns a
// MismatchError for an answer that cannot belong to the operation.
func (l *Lease) receive(operation *Operation, deadline time.Time) (Result, error) {
	for {
		result, err := l.Receive(operation.Kind, deadline)
		if l.Remote() {
			return result, err
		}
		repeated, err := l.isRepeated(operation, &result, err)
		if err != nil {
			return result, err
		}
		if repeated {
			l.stats.recordRepeated()
			continue
		}
		if reason := l.mismatch(operation, &result); reason != "" {
			return result, l.recordMismatch(reason)
		}
		l.state, l.newest = result.State, position.Max(l.newest, result.Position)
		l.wrote = l.state == InTransaction && (l.wrote || operation.writes())
		if result.Outcome != Succeeded {
			l.unconfirmed = l.unconfirmed || (l.failed && operation.Kind.UsesSlot())
			l.failed = true
		}
		l.spent = l.spent || l.failed || len(l.signed) >= maxSignatures
		return result, nil
	}
}

// isRepeated reports whether what was received is a copy of an earlier answer. It remembers a signed
// answer that is not. A copy with other rows was sent in the middle of another answer, which is lost.
func (l *Lease) isRepeated(operation *Operation, result *Result, err error) (bool, error) {
	switch {
	case errors.Is(err, ErrNoResult):
		return true, nil
	case err != nil:
		return false, err
	case result.Signature == "":
		unsigned := result.Outcome == Succeeded && len(result.Rows) == 0
		return unsigned && operation.Kind.UsesSlot(), nil
	}
	answer := newSignedAnswer(operation.RequestID, result)
	known := l.signed.find(answer)
	switch {
	case known == nil:
		l.signed = append(l.signed, answer)
		return false, nil
	case known.rows != answer.rows:
		return false, l.recordMismatch("a known signature with other rows")
	case known.request == answer.request && operation.Kind.UsesSlot():
		// A server may sign both answers to a retried request in the same way.
		return false, l.recordMismatch("a known signature for a retried request")
	default:
		return true, nil
	}
}

func (l *Lease) recordMismatch(reason string) error {
	l.stats.recordMismatch()
	err := &MismatchError{Reason: reason}
	if l.pool.onMismatch != nil {
		l.pool.onMismatch(err)
	}
	return err
}

// mismatch returns why an answer cannot belong to an operation, or "" if it can.
func (l *Lease) mismatch(operation *Operation, result *Result) string {
	kind := operation.Kind
	switch {
	case result.Outcome != Succeeded && kind.UsesSlot() && l.failed && result.State == FailedTransaction:
		return "an error after another error"
	case result.Outcome.NotRun() && len(result.Rows) > 0:
		return "rows of a statement that did not run"
	case result.Outcome != Succeeded && operation.accepted() && l.state != FailedTransaction:
		return "an error for an operation that servers accept"
	case result.Outcome != Succeeded:
		return ""
	case kind.UsesSlot() && result.Signature == "":
		return "rows without a signature"
	case !kind.UsesSlot() && result.Signature != "":
		return "a signature without a statement"
	case !kind.UsesSlot() && !kind.controls() && len(result.Rows) > 0:
		return "rows without a statement"
	case kind.ReportsStatus() && result.Status == nil:
		return "no status"
	}
	if expected := stateAfter(kind, l.state); result.State != expected {
		return fmt.Sprintf("state %d instead of %d", result.State, expected)
	}
	if result.Position.IsZero() || kind.controls() {
		return ""
	}
	switch {
	case result.Position.Less(l.newest):
		return "a position before that of an earlier answer"
	case l.commits(operation) && !l.newest.Less(result.Position):
		return "a position without the commit"
	case kind == BeginReadOnly && result.Position.Less(operation.MinimumPosition):
		return "a position before the minimum"
	}
	return ""
}

// commits reports whether the operation commits a write, which advances the server's position.
func (l *Lease) commits(operation *Operation) bool {
	return (l.wrote && operation.Kind == Commit) || (l.state == Idle && operation.writes())
}

// writes reports whether the operation is a writing statement.
func (o *Operation) writes() bool {
	return o.Kind == RunStatement && o.Statement != nil && o.Statement.Writes
}

// stateAfter returns the state of a connection after a successful operation.
func stateAfter(kind OperationKind, before TransactionState) TransactionState {
	switch kind {
	case Begin, BeginReadOnly:
		return InTransaction
	case Commit, Rollback:
		return Idle
	default:
		return before
	}
}

// controls reports whether the operation asks for the server's status or directs its replication.
func (k OperationKind) controls() bool { return k.ReportsStatus() || k == ResumeReplication }

// surplusTimeout limits the wait for the rest of an answer that nothing asked for.
const surplusTimeout = 20 * time.Millisecond

// maxSurplusAnswers is how many answers that nothing asked for are dropped before the connection is
// given up.
const maxSurplusAnswers = 16

// DropSurplus drops answers that have arrived although all operations were answered. It reports
// whether the connection can be used.
func (l *Lease) DropSurplus() bool {
	for range maxSurplusAnswers {
		if l.Alive() {
			return true
		}
		if l.Remote() {
			return false
		}
		_, err := l.Receive(RunStatement, time.Now().Add(surplusTimeout))
		if err != nil && !errors.Is(err, ErrNoResult) {
			return false
		}
		l.stats.recordRepeated()
	}
	return false
}
