// Package told keeps what the owner of a server's connections tells of the work that waits
// for the server. Owners put a Report on each answer; the nodes that ask through them keep
// the newest one in a View, and refuse or send work elsewhere by it before they ask.
//
// What is told is a hint with an age. A node that knows nothing, or only what is old,
// refuses nothing for it: the owner decides last. The package is pure.
package told

import (
	"sync"
	"time"

	"dewknot/internal/proxy/urgency"
)

// Report is what an owner tells of a server.
type Report struct {
	// Sequence rises with each report of the owner's process, which Life names. A link leads
	// to one process, so Life is set by the node that receives the report and isn't sent.
	Life     uint64 `msgpack:"-"`
	Sequence uint64
	// Waits is the wait that new work of each level would have, in milliseconds: work that
	// other servers could run too. Kept is the same for work that runs only there.
	Waits [urgency.Levels]uint16
	Kept  [urgency.Levels]uint16
	// Running and Waiting count the work that has a slot and that waits for one. Limit is
	// how many the owner lets run.
	Running uint16
	Waiting uint16
	Limit   uint16
	// Behind is how far behind the primary the server was at least when it last told its
	// position, in milliseconds; 0 if nothing recent shows that it was.
	Behind uint16
	// Held is for how long the owner had had the question when it made the report, in
	// milliseconds: by so much the report is younger than the question.
	Held uint16
}

const (
	// mostWait is the longest wait that a report tells.
	mostWait = 60 * time.Second
	// Life is how long a report says anything. The work that a report counts has ended or
	// been refused by then: new work waits for a slot for a fifth of its objective at most,
	// which is 100 to 400 ms for usual objectives of 0.5 to 2 s.
	Life = 400 * time.Millisecond
)

// Milliseconds returns a wait as a report carries it. One below a millisecond is none.
func Milliseconds(wait time.Duration) uint16 {
	return uint16(min(max(wait, 0), mostWait) / time.Millisecond)
}

// View is what a node knows of a server from its owner. It is safe for concurrent use.
type View struct {
	mu     sync.Mutex
	report Report
	// at is a time before the report was made: when the question was sent whose answer
	// carried it, and for how long the owner had had that.
	at    time.Time
	known bool
}

// Observe takes the report on an answer to a question that was sent at a time. One that
// was overtaken by a newer one of the same process, or is older than the one that is
// known, is left.
func (v *View) Observe(sent time.Time, report *Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := sent.Add(time.Duration(report.Held) * time.Millisecond)
	if v.known && (v.report.Life == report.Life && v.report.Sequence >= report.Sequence || v.report.Life != report.Life && at.Before(v.at)) {
		return
	}
	v.report, v.at, v.known = *report, at, true
}

// Wait returns how long new work of a level is expected to wait at the owner. It is false
// if nothing recent is known. What is told fades with its age: half way through its life,
// half of the wait is left.
func (v *View) Wait(now time.Time, level urgency.Level) (time.Duration, bool) {
	report, age, known := v.Newest(now)
	return faded(report.Waits[min(level, urgency.Least)], age), known
}

// WaitOnlyHere is the same for work that no other server can run.
func (v *View) WaitOnlyHere(now time.Time, level urgency.Level) (time.Duration, bool) {
	report, age, known := v.Newest(now)
	return faded(report.Kept[min(level, urgency.Least)], age), known
}

// faded returns what is left of a told wait at an age.
func faded(milliseconds uint16, age time.Duration) time.Duration {
	wait := time.Duration(milliseconds) * time.Millisecond
	return time.Duration(float64(wait) * (1 - float64(age)/float64(Life)))
}

// Newest returns the newest report and its age; false if there is none in its life.
func (v *View) Newest(now time.Time) (Report, time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	age := now.Sub(v.at)
	if !v.known || age < 0 || age >= Life {
		return Report{}, 0, false
	}
	return v.report, age, true
}
