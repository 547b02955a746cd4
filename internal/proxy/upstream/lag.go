package upstream

import (
	"time"

	"dewknot/internal/base/position"
)

const (
	// lagValidity is how long a lag sample predicts when a server will catch up. Reads wait for at
	// most half of their objective, which is a second or less.
	lagValidity = time.Second
	// minRateWindow is the shortest time between two samples used to calculate the apply rate. Each
	// sample is inaccurate by up to a round-trip time, so the window must be several of these.
	minRateWindow = 200 * time.Millisecond
	// minApplyRate is the lowest rate at which a server counts as catching up.
	minApplyRate = 0.2
)

// lagTrend is how far behind the primary a server is, and how fast it applies the primary's log.
type lagTrend struct {
	lag time.Duration
	at  time.Time
	// applyRate is the amount of the primary's time that the server applies per unit of time: at 1
	// its lag stays the same, at 0 it has stopped. It is calculated since the earlier sample
	// (sampleLag, sampledAt) and is 1 before there are two samples.
	applyRate float64
	sampleLag time.Duration
	sampledAt time.Time
}

// record adds a lag sample.
func (t *lagTrend) record(now time.Time, lag time.Duration) {
	if now.Sub(t.at) >= lagValidity {
		*t = lagTrend{applyRate: 1, sampleLag: lag, sampledAt: now}
	}
	t.lag, t.at = lag, now
	if elapsed := now.Sub(t.sampledAt); elapsed >= minRateWindow {
		t.applyRate = 1 - (lag-t.sampleLag).Seconds()/elapsed.Seconds()
		t.sampleLag, t.sampledAt = lag, now
	}
}

// timeToReach returns the time until the server has what the primary had at a time. It returns
// false if that is unknown or the server has stopped applying.
func (t *lagTrend) timeToReach(at, now time.Time) (time.Duration, bool) {
	if t.at.IsZero() || now.Sub(t.at) >= lagValidity || t.applyRate < minApplyRate {
		return 0, false
	}
	left := at.Sub(t.at.Add(-t.lag))
	return max(0, time.Duration(float64(left)/t.applyRate)-now.Sub(t.at)), true
}

// RecordLag records a measured lag behind the primary.
func (s *Stats) RecordLag(now time.Time, lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trend.record(now, lag)
	s.lag, s.lagAt = lag, now
}

// TimeToReach returns the time until the server is expected to have a position that the primary has
// had since a time. It returns false if that is unknown.
func (s *Stats) TimeToReach(minimum position.Position, since, now time.Time) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.applied.Covers(minimum) {
		return 0, true
	}
	return s.trend.timeToReach(since, now)
}
