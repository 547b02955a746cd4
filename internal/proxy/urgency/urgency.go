// Package urgency says how urgent work is. One value, made once where an operation
// arrives, orders it for everything that is scarce: tenants' tokens, slots of servers,
// connections, and times to come back.
//
// The package is pure: it reads no clock and does no I/O.
package urgency

import (
	"strconv"
	"time"
)

// Level is the urgency of a kind of work. 0 is the most urgent.
type Level uint8

// String implements fmt.Stringer.
func (l Level) String() string { return strconv.Itoa(int(l)) }

// Levels is the number of levels. Messages between nodes and metrics carry a figure for
// each, so there are few.
const Levels = 4

// Least is the level of the least urgent work.
const Least Level = Levels - 1

// Of returns the level of a route's priority, of which 0 is the highest. Priorities beyond
// the last level share it; a negative one is an operator's slip and counts as 0.
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

// Work is what is known of an operation when it asks for something scarce.
type Work struct {
	// Level is the level of its route.
	Level Level
	// Arrived is when its caller asked. Answers after Objective are worth less, and nobody
	// waits after Deadline.
	Arrived   time.Time
	Objective time.Time
	Deadline  time.Time
	// Cost is the time for which operations of its kind have lately held a slot; zero if
	// none is known.
	Cost time.Duration
	// Open is set for a statement of a transaction that is open on a server.
	Open bool
	// Attempt counts the tries that servers have refused to run.
	Attempt int
}

// Late reports whether the objective has passed: the work is still worth an answer, but
// after work that can be answered in time.
func (w *Work) Late(now time.Time) bool { return now.After(w.Objective) }

// Hopeless reports whether work that has to wait before it runs cannot be answered by its
// deadline: its caller is told at once.
func (w *Work) Hopeless(now time.Time, wait time.Duration) bool {
	return now.Add(wait + w.Cost).After(w.Deadline)
}

// InTime reports whether work that has to wait before it runs can be answered within its
// objective.
func (w *Work) InTime(now time.Time, wait time.Duration) bool {
	return !now.Add(wait + w.Cost).After(w.Objective)
}
