package quorum

import "time"

// Times of questions whose answers have not come.
const (
	// firstTimeout is how long an answer is waited for while no way there and back has
	// been measured: some round trips between regions.
	firstTimeout = 100 * time.Millisecond
	// leastTimeout is the shortest wait for an answer. A processor that is busy for a
	// moment is not asked twice.
	leastTimeout = 60 * time.Millisecond
)

// roundTrip is the time between questions and their answers, smoothed as in RFC 6298.
// Each answer names its question, so that one which comes after its question was repeated
// is a measurement like any other, and a queue that grows is noticed by its first answer.
type roundTrip struct {
	smoothed time.Duration
	variance time.Duration
}

// measure takes the time between a question and its answer.
func (r *roundTrip) measure(took time.Duration) {
	if r.smoothed == 0 {
		r.smoothed, r.variance = took, took/2
		return
	}
	r.variance += ((took - r.smoothed).Abs() - r.variance) / 4
	r.smoothed += (took - r.smoothed) / 8
}

// timeout is how long an answer is waited for after a number of questions without one. It
// doubles up to a bound, and is at least as long as the measured way takes, up to the interval
// of renewals.
func (r *roundTrip) timeout(misses int, most time.Duration) time.Duration {
	wait := firstTimeout
	if r.smoothed > 0 {
		wait = max(leastTimeout, r.smoothed+4*r.variance)
	}
	return doubled(wait, misses, max(most, min(wait, RenewInterval)))
}

// delay is by how much answers come later than over a way that is free.
func (r *roundTrip) delay() time.Duration { return max(0, r.smoothed+4*r.variance-firstTimeout) }

// doubled doubles a pause a number of times, up to a bound.
func doubled(pause time.Duration, times int, most time.Duration) time.Duration {
	for ; times > 0 && pause < most; times-- {
		pause *= 2
	}
	return min(pause, most)
}
