// Package forward sends a listener's requests to the owner of their group and decides
// whether a failed request may be retried.
package forward

import (
	"dewknot/internal/base/failure"
)

// Ending says how an attempt ended without a result.
type Ending uint8

// The endings of failed attempts.
const (
	// NotSent: no byte of the request reached the node.
	NotSent Ending = iota
	// NotOwner: the node rejected the request because it doesn't own the group.
	NotOwner
	// LinkLost: the link ended after the request was sent.
	LinkLost
)

// Attempt describes a failed attempt.
type Attempt struct {
	Ending Ending
	// ReadOnly is true when the request can safely run twice.
	ReadOnly bool
	// MayCommit is true when the request could have committed something.
	MayCommit bool
	// InTransaction is true when the request belongs to a transaction that is open on the
	// node.
	InTransaction bool
	// PartDelivered is true when the caller has received a part of the answer.
	PartDelivered bool
	// Tries is the number of attempts so far.
	Tries int
}

// maxAttempts is the maximum number of attempts for a request.
const maxAttempts = 6

// Decision says how to continue after a failed attempt.
type Decision struct {
	// Retry is true when the request may be sent again.
	Retry bool
	// Kind is the failure to return when Retry is false.
	Kind failure.Kind
	// Disconnect is true when the caller's connection must be closed, since the caller
	// has a part of an answer that can't be completed.
	Disconnect bool
}

// Decide returns how to continue after a failed attempt. A request is sent again only if
// it certainly wasn't run, or if it only reads and the caller has received no part of the
// answer. Decide is a pure function, which the simulator calls as well.
func Decide(attempt Attempt) Decision {
	canRetry := attempt.Tries < maxAttempts && !attempt.InTransaction
	switch attempt.Ending {
	case NotSent, NotOwner:
		if canRetry {
			return Decision{Retry: true}
		}
		if attempt.InTransaction {
			return Decision{Kind: failure.TransactionLost}
		}
		return Decision{Kind: failure.NoServer}
	default:
		return decideLost(attempt, canRetry)
	}
}

func decideLost(attempt Attempt, canRetry bool) Decision {
	switch {
	case attempt.PartDelivered:
		return Decision{Kind: failure.OutcomeUnknown, Disconnect: true}
	case attempt.ReadOnly && canRetry:
		return Decision{Retry: true}
	case attempt.MayCommit, attempt.ReadOnly && !attempt.InTransaction:
		return Decision{Kind: failure.OutcomeUnknown}
	default:
		return Decision{Kind: failure.TransactionLost}
	}
}
