package upstream

import (
	"fmt"
	"hash/maphash"
	"time"
)

// MismatchError reports an answer that cannot belong to the operation. What became of the operation
// is unknown, and the connection must be closed.
type MismatchError struct {
	Reason string
}

// Error implements the error interface.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the server's answer does not match the operation: %s; close the connection", e.Reason)
}

// maxSignatures is the number of signatures that a connection remembers.
const maxSignatures = 256

// signatureSeed is the seed of the signatures' hashes.
var signatureSeed = maphash.MakeSeed()

// signatureSet holds the hashes of the newest signatures of a connection.
type signatureSet struct {
	hashes []uint64
	// next is the index of the oldest hash once the set is full.
	next int
}

// add adds a signature. It returns false if the set contains it.
func (s *signatureSet) add(signature string) bool {
	hash := maphash.String(signatureSeed, signature)
	for _, known := range s.hashes {
		if known == hash {
			return false
		}
	}
	if len(s.hashes) < maxSignatures {
		s.hashes = append(s.hashes, hash)
		return true
	}
	s.hashes[s.next] = hash
	s.next = (s.next + 1) % maxSignatures
	return true
}

// receive reads the answer to an operation, and records whether it can belong to it.
func (l *Lease) receive(operation *Operation, deadline time.Time) (Result, error) {
	result, err := l.Receive(operation.Kind, deadline)
	if err != nil || l.Remote() {
		return result, err
	}
	if result.Signature != "" && !l.signatures.add(result.Signature) {
		l.stats.recordRepeated()
	} else if reason := l.mismatch(operation, &result); reason != "" {
		l.recordMismatch(reason)
	}
	l.state = result.State
	l.failed = l.failed || result.Outcome != Succeeded
	return result, nil
}

func (l *Lease) recordMismatch(reason string) {
	l.stats.recordMismatch()
	err := &MismatchError{Reason: reason}
	if l.pool.onMismatch != nil {
		l.pool.onMismatch(err)
	}
}

// mismatch returns why an answer cannot belong to an operation, or "" if it can.
func (l *Lease) mismatch(operation *Operation, result *Result) string {
	kind := operation.Kind
	switch {
	case result.Outcome != Succeeded && kind.UsesSlot() && l.failed:
		return "an error after another error"
	case result.Outcome != Succeeded:
		return ""
	case kind.UsesSlot() && result.Signature == "":
		return "a success without a signature"
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
	if kind == BeginReadOnly && !result.Position.IsZero() && !result.Position.Covers(operation.MinimumPosition) {
		return "a position before the minimum"
	}
	return ""
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
