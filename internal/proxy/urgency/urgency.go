// Package urgency describes how urgent work is. A Work value is created once when an operation
// arrives. It orders the operation for all scarce resources: tenants' tokens, servers' slots,
// connections and retry times.
//
// The package reads no clock and does no I/O.
package urgency

import (
	"strconv"
	"time"
)

// Level is the urgency of a kind of work. 0 is the most urgent.
type Level uint8

// String implements fmt.Stringer.
func (l Level) String() string { return strconv.Itoa(int(l)) }

// Levels is the number of levels. It is small because messages between nodes and metrics have a
// value for each level.
const Levels = 4

// Least is the level of the least urgent work.
const Least Level = Levels - 1

// Of returns the level of a route's priority. Priority 0 is the highest. Priorities beyond the last
// level share it; a negative one is a configuration error and counts as 0.
func Of(priority int) Level {
	switch {
	case priority <= 0:
		return 0
	case priority >= Levels:
		return Least
	default:
		return Level(priority)
	}
}

// Work is what is known about an operation when it requests a scarce resource.
type Work struct {
	// Level is the level of its route.
	Level Level
	// Arrived is when its caller sent the request. Answers after Objective are worth less, and
	// nobody waits after Deadline.
	Arrived   time.Time
	Objective time.Time
	Deadline  time.Time
	// Cost is how long operations of its kind have recently used a slot; zero if unknown.
	Cost time.Duration
	// Open is set for a statement of a transaction that is open on a server.
	Open bool
	// Attempt counts the attempts that servers have rejected.
	Attempt int
}

// Late reports whether the objective has passed. Late work should still be answered, but after work
// that can be answered in time.
func (w *Work) Late(now time.Time) bool { return now.After(w.Objective) }

// CannotFinish reports whether work that waits before it runs cannot be answered by its deadline.
// It is then rejected at once.
func (w *Work) CannotFinish(now time.Time, wait time.Duration) bool {
	return now.Add(wait + w.Cost).After(w.Deadline)
}

// InTime reports whether work that waits before it runs can be answered within its objective.
func (w *Work) InTime(now time.Time, wait time.Duration) bool {
	return !now.Add(wait + w.Cost).After(w.Objective)
}
