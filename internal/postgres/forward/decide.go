// Package forward sends a listener's requests to the owner of their group and
// decides what to do when that fails.
package forward

import (
	"dewknot/internal/base/failure"
)

// Ending is how an attempt to have a request served ended without a result.
type Ending uint8

// The endings.
const (
	// NotSent: no byte of the request reached the node asked.
	NotSent Ending = iota
	// NotOwner: the node asked refused because it does not serve the group.
	NotOwner
	// LinkLost: the link ended after the request was sent.
	LinkLost
)

// Attempt describes a failed attempt.
type Attempt struct {
	Ending Ending
	// ReadOnly is true when running the request twice does no harm.
	ReadOnly bool
	// MayCommit is true when the request could have committed something.
	MayCommit bool
	// InTransaction is true when only the node asked holds the transaction.
	InTransaction bool
	// PassedOn is true when the caller has received part of the answer.
	PassedOn bool
	// Tries counts attempts so far.
	Tries int
}

// maxTries bounds the attempts for one request.
const maxTries = 6

// Decision is what to do next.
type Decision struct {
	// Retry is true when another node may be asked.
	Retry bool
	// Kind is the failure to answer with when Retry is false.
	Kind failure.Kind
	// Disconnect is true when the caller's connection must end, since it has
	// part of an answer that cannot be completed.
	Disconnect bool
}

// Decide is pure; the listener and the simulator call it alike. A request is
// sent again only if it surely was not run, or if it only reads and the caller
// has received nothing of the answer.
func Decide(attempt Attempt) Decision {
	mayTryAgain := attempt.Tries < maxTries && !attempt.InTransaction
	switch attempt.Ending {
	case NotSent, NotOwner:
		if mayTryAgain {
			return Decision{Retry: true}
		}
		if attempt.InTransaction {
			return Decision{Kind: failure.TransactionLost}
		}
		return Decision{Kind: failure.NoServer}
	default:
		return decideLost(attempt, mayTryAgain)
	}
}

func decideLost(attempt Attempt, mayTryAgain bool) Decision {
	switch {
	case attempt.PassedOn:
		return Decision{Kind: failure.OutcomeUnknown, Disconnect: true}
	case attempt.ReadOnly && mayTryAgain:
		return Decision{Retry: true}
	case attempt.MayCommit, attempt.ReadOnly && !attempt.InTransaction:
		return Decision{Kind: failure.OutcomeUnknown}
	default:
		return Decision{Kind: failure.TransactionLost}
	}
}
