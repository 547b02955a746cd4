package upstream

import (
	"time"

	"dewknot/internal/base/position"
)

const (
	// foundLife is how long it says when a server will catch up that it was found behind:
	// reads wait for half of their objective at most, which is a second or less.
	foundLife = time.Second
	// paceSpan is the shortest time between two findings that tells a pace: some round
	// trips, by which findings are off.
	paceSpan = 200 * time.Millisecond
	// leastPace is the slowest pace that counts as catching up at all.
	leastPace = 0.2
)

// behindness is how far behind the primary a server was found, and how fast it applies the
// primary's log.
type behindness struct {
	lag time.Duration
	at  time.Time
	// pace is how much of the primary's time the server applies in a time: 1 stays as far
	// behind, 0 stands still. It is measured from before, and 1 until it has been.
	pace   float64
	before time.Duration
	since  time.Time
}

// note takes a finding.
func (b *behindness) note(now time.Time, lag time.Duration) {
	if now.Sub(b.at) >= foundLife {
		*b = behindness{pace: 1, before: lag, since: now}
	}
	b.lag, b.at = lag, now
	if span := now.Sub(b.since); span >= paceSpan {
		b.pace = 1 - (lag-b.before).Seconds()/span.Seconds()
		b.before, b.since = lag, now
	}
}

// reaches returns in what time the server has what the primary had at a time; false if that
// is not known, or it stands still.
func (b *behindness) reaches(at, now time.Time) (time.Duration, bool) {
	if b.at.IsZero() || now.Sub(b.at) >= foundLife || b.pace < leastPace {
		return 0, false
	}
	left := at.Sub(b.at.Add(-b.lag))
	return max(0, time.Duration(float64(left)/b.pace)-now.Sub(b.at)), true
}

// FoundBehind notes that the server was found so far behind the primary.
func (s *Stats) FoundBehind(now time.Time, lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.found.note(now, lag)
	s.lag, s.lagAt = lag, now
}

// CatchesUp returns in what time the server is expected to have a position which the primary
// has had since a time; false if that is not known.
func (s *Stats) CatchesUp(floor position.Position, since, now time.Time) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.applied.Covers(floor) {
		return 0, true
	}
	return s.found.reaches(since, now)
}
