package admission

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// Verdict is what becomes of work before it is sent to a server's owner.
type Verdict uint8

// The verdicts.
const (
	// Ask: the owner decides.
	Ask Verdict = iota
	// Decline: the server has no room for the work in time. Another server may, otherwise
	// the caller is told at once.
	Decline
	// Refuse: the work cannot be answered by its deadline.
	Refuse
)

// Known is what a node knows of the work that waits for a server.
type Known struct {
	// Recent is set if anything recent is known. Wait is then the wait that the owner
	// tells for the work's level and class.
	Recent bool
	Wait   time.Duration
	// Waiting counts the work that the owner had waiting, Sent the work of this node that
	// is on its way there.
	Waiting int
	Sent    int
}

// wait returns the expected wait, with what this node has sent in the meantime.
func (k *Known) wait() time.Duration {
	if k.Waiting <= 0 {
		return k.Wait
	}
	return k.Wait + time.Duration(k.Sent)*k.Wait/time.Duration(k.Waiting)
}

// Early decides about work before it is sent to an owner, which would refuse it after it
// has waited for allowed. A node that knows nothing recent asks, and so does work that may wait
// no longer, if there is a free place.
//
// All nodes hear of a queue at about the same time. If each declined by the same bound, the
// server would be empty until they all came back: so of work whose expected wait is n times
// what is allowed, one in n asks, which is about what the owner can let in. draw is
// uniform in [0, 1).
func Early(w *urgency.Work, now time.Time, allowed time.Duration, known Known, draw float64) Verdict {
	if !known.Recent || w.Open {
		return Ask
	}
	wait := known.wait()
	allowed = max(allowed, 0)
	switch {
	case wait <= allowed:
		return Ask
	case w.Hopeless(now, wait):
		return Refuse
	case draw*float64(wait) < float64(allowed):
		return Ask
	default:
		return Decline
	}
}

// Overfull reports whether a server has so much work waiting that work which may wait for
// allowed would be refused in the end: it is told at once. Of work for two and a half times
// what a server runs, what is refused is held for 41 ms in place of 140 ms (replayed, 60 nodes
// 20 ms away, 100 ms allowed), and as much is served.
func Overfull(wait, allowed time.Duration) bool { return wait > max(allowed, 0) }
