// Package loadreport keeps load reports of servers. The node that owns a server's connections adds
// a Report to each answer. Nodes that use the server through the owner keep the newest report in a
// View. They use it to reject work or send it elsewhere before they ask the owner.
//
// A report is only a hint and it expires. Without a recent one a node rejects nothing: the owner
// makes the final decision. The package reads no clock and does no I/O.
package loadreport

import (
	"sync"
	"time"

	"dewknot/internal/proxy/urgency"
)

// Report is an owner's load report of a server.
type Report struct {
	// Incarnation identifies the incarnation of the owner's process. A link leads to one
	// incarnation, so the receiving node sets this field and it is not sent. Sequence increases
	// with each report of an incarnation.
	Incarnation uint64 `msgpack:"-"`
	Sequence    uint64
	// Waits is the expected wait of new work at each level in milliseconds, for work that other
	// servers could run, too. WaitsOnlyHere is the same for work that only this server can run.
	Waits         [urgency.Levels]uint16
	WaitsOnlyHere [urgency.Levels]uint16
	// Running counts the work that has a slot, Waiting the work that waits for one. Limit is how
	// many requests the owner runs at a time.
	Running uint16
	Waiting uint16
	Limit   uint16
	// Behind is how far behind the primary the server was, at least, when it last reported its
	// position, in milliseconds; 0 if nothing recent shows a lag.
	Behind uint16
	// OwnerDelay is the time from the owner's receipt of the request to the report, in
	// milliseconds.
	OwnerDelay uint16
}

const (
	// maxWait is the longest wait in a report.
	maxWait = 60 * time.Second
	// MaxAge is the age at which a report expires. By then the work that it counts has ended or
	// been rejected: new work waits for a slot for at most a fifth of its objective, which is
	// 100 to 400 ms for usual objectives of 0.5 to 2 s.
	MaxAge = 400 * time.Millisecond
)

// Milliseconds converts a wait for a report. A wait below a millisecond becomes 0.
func Milliseconds(wait time.Duration) uint16 {
	return uint16(min(max(wait, 0), maxWait) / time.Millisecond)
}

// View is what a node knows about a server from its owner. It is safe for concurrent use.
type View struct {
	mu     sync.Mutex
	report Report
	// at is a time not later than the report was made: the time when the request was sent, plus
	// OwnerDelay.
	at        time.Time
	hasReport bool
}

// Observe records the report in an answer to a request sent at a time. It ignores a report with a
// lower sequence of the same incarnation, or of another incarnation if it is older than the current
// one.
func (v *View) Observe(sent time.Time, report *Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := sent.Add(time.Duration(report.OwnerDelay) * time.Millisecond)
	if v.hasReport && (v.report.Incarnation == report.Incarnation && v.report.Sequence >= report.Sequence || v.report.Incarnation != report.Incarnation && at.Before(v.at)) {
		return
	}
	v.report, v.at, v.hasReport = *report, at, true
}

// Wait returns how long new work of a level is expected to wait at the owner. It returns false if
// nothing recent is known. The reported wait falls linearly to zero over MaxAge.
func (v *View) Wait(now time.Time, level urgency.Level) (time.Duration, bool) {
	report, age, ok := v.Newest(now)
	return decayed(report.Waits[min(level, urgency.Least)], age), ok
}

// WaitOnlyHere is the same for work that no other server can run.
func (v *View) WaitOnlyHere(now time.Time, level urgency.Level) (time.Duration, bool) {
	report, age, ok := v.Newest(now)
	return decayed(report.WaitsOnlyHere[min(level, urgency.Least)], age), ok
}

// decayed returns a reported wait reduced for its age.
func decayed(milliseconds uint16, age time.Duration) time.Duration {
	wait := time.Duration(milliseconds) * time.Millisecond
	return time.Duration(float64(wait) * (1 - float64(age)/float64(MaxAge)))
}

// Newest returns the newest report and its age. It returns false if there is none or it has
// expired.
func (v *View) Newest(now time.Time) (Report, time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	age := now.Sub(v.at)
	if !v.hasReport || age < 0 || age >= MaxAge {
		return Report{}, 0, false
	}
	return v.report, age, true
}
