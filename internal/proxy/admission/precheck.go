package admission

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// Verdict is the decision about work before it is sent to the node that owns a server's
// connections.
type Verdict uint8

// The verdicts.
const (
	// Send: send the work to the owner, which decides.
	Send Verdict = iota
	// TryElsewhere: the server cannot run the work in time. Another server may run it; if there is
	// none, the work is rejected at once.
	TryElsewhere
	// Reject: the work cannot be answered by its deadline.
	Reject
)

// QueueEstimate is what a node knows about the queue of a server.
type QueueEstimate struct {
	// Recent is set if the node has a recent load report. Wait is the wait reported by the owner
	// for the work's level and class.
	Recent bool
	Wait   time.Duration
	// Waiting is the queue length reported by the owner. Sent counts this node's work that is on
	// its way to the owner.
	Waiting int
	Sent    int
}

// wait returns the expected wait, including work that this node has sent since the report.
func (k *QueueEstimate) wait() time.Duration {
	if k.Waiting <= 0 {
		return k.Wait
	}
	return k.Wait + time.Duration(k.Sent)*k.Wait/time.Duration(k.Waiting)
}

// Precheck decides about work before it is sent to an owner, which would reject it only after it
// has waited for allowed. Statements of open transactions are always sent, and so is all work
// without a recent report.
//
// All nodes receive reports of a long queue at about the same time. If all of them stopped sending
// at the same limit, the server would run idle until their reports expire. So if the expected wait
// is n times the allowed one, one in n requests is sent, which is about what the owner can admit.
// draw is a random number in [0, 1).
func Precheck(w *urgency.Work, now time.Time, allowed time.Duration, queue QueueEstimate, draw float64) Verdict {
	if !queue.Recent || w.Open {
		return Send
	}
	wait := queue.wait()
	allowed = max(allowed, 0)
	switch {
	case wait <= allowed:
		return Send
	case w.CannotFinish(now, wait):
		return Reject
	case draw*float64(wait) < float64(allowed):
		return Send
	default:
		return TryElsewhere
	}
}

// WaitTooLong reports whether work that may wait for allowed would be rejected after waiting,
// because the expected wait is longer. Such work is rejected at once.
func WaitTooLong(wait, allowed time.Duration) bool { return wait > max(allowed, 0) }
