package upstream

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/position"
)

// Weights and durations of the estimates.
const (
	// latencyWeight is the weight of a new sample in the latency estimate.
	latencyWeight = 0.2
	// latencyDecayTime is the time in which, without samples, the difference between the estimate
	// and the lowest latency seen falls by a factor of e.
	latencyDecayTime = time.Second
	// lagDecayTime is the time in which the lag estimate falls by a factor of e.
	lagDecayTime = 700 * time.Millisecond
	// failureAvoidTime is how long a server is avoided after a failed connection.
	failureAvoidTime = 400 * time.Millisecond
)

// Stats collects what is known about one server from its answers. It is safe for concurrent use.
type Stats struct {
	lastAnswer         atomic.Int64 // nanoseconds since epoch
	lastIndirectAnswer atomic.Int64 // nanoseconds since epoch, through another node
	epoch              time.Time
	// repeated counts the answers that were dropped, mismatched those that did not match their
	// operations.
	repeated   atomic.Uint64
	mismatched atomic.Uint64

	mutex sync.Mutex
	// unansweredSince is when the first request was sent after the server's last answer; zero if
	// there is none.
	unansweredSince time.Time
	latency         float64 // seconds
	minLatency      float64
	latencyAt       time.Time
	lag             time.Duration
	lagAt           time.Time
	trend           lagTrend
	applied         position.Position
	observedAt      time.Time
	failedAt        time.Time
	failures        int
	busyUntil       time.Time
	avoidUntil      time.Time
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{epoch: time.Now()}
}

func (s *Stats) recordRepeated() { s.repeated.Add(1) }

func (s *Stats) recordMismatch() { s.mismatched.Add(1) }

// Repeated returns the number of answers that were dropped because nothing asked for them.
func (s *Stats) Repeated() uint64 { return s.repeated.Load() }

// Mismatched returns the number of answers that did not match their operations.
func (s *Stats) Mismatched() uint64 { return s.mismatched.Load() }

// RecordRequest records that a request was sent.
func (s *Stats) RecordRequest(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// Unanswered returns the time since the first request that was sent after the server's last answer;
// 0 if there is none. A single lost answer does not count once the server has answered another
// request.
func (s *Stats) Unanswered(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(s.unansweredSince)
}

// RecordAnswer records an answer of the server.
func (s *Stats) RecordAnswer(now time.Time) {
	s.lastAnswer.Store(int64(now.Sub(s.epoch)))
	s.mutex.Lock()
	s.failures = 0
	s.unansweredSince = time.Time{}
	s.mutex.Unlock()
}

// RecordIndirectAnswer records an answer of the server through another node. It shows that the
// server is running, but not that this node can reach it.
func (s *Stats) RecordIndirectAnswer(now time.Time) {
	s.lastIndirectAnswer.Store(int64(now.Sub(s.epoch)))
}

// SinceAnyAnswer returns the time since the server's last answer, direct or through another node.
func (s *Stats) SinceAnyAnswer(now time.Time) time.Duration {
	return now.Sub(s.epoch.Add(time.Duration(max(s.lastAnswer.Load(), s.lastIndirectAnswer.Load()))))
}

// SinceAnswer returns the time since the server's last direct answer.
func (s *Stats) SinceAnswer(now time.Time) time.Duration {
	return now.Sub(s.epoch.Add(time.Duration(s.lastAnswer.Load())))
}

// RecordFailure records that a connection could not be opened or broke.
func (s *Stats) RecordFailure(now time.Time) {
	s.mutex.Lock()
	s.failures++
	s.failedAt = now
	s.mutex.Unlock()
}

// Failures returns the number of consecutive failures and the time of the last one.
func (s *Stats) Failures() (int, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failures, s.failedAt
}

// ResetFailures resets the failures and the unanswered requests, because the network path to the
// server has changed.
func (s *Stats) ResetFailures() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = 0
	s.unansweredSince = time.Time{}
}

// Avoid keeps work away from the server until a time, independent of failures.
func (s *Stats) Avoid(until time.Time) {
	s.mutex.Lock()
	s.avoidUntil = until
	s.mutex.Unlock()
}

// Avoided reports whether the server was recently unreachable or Avoid applies.
func (s *Stats) Avoided(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Before(s.avoidUntil) || s.failures > 0 && now.Sub(s.failedAt) < failureAvoidTime
}

// RecordBusy records that the server rejected work because it had no free slot. It counts as
// congested until the given time.
func (s *Stats) RecordBusy(until time.Time) {
	s.mutex.Lock()
	s.busyUntil = until
	s.mutex.Unlock()
}

// Congested reports whether the server has recently rejected work because it had no free slot.
func (s *Stats) Congested(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Before(s.busyUntil)
}

// RecordLatency records the latency of an answered statement.
func (s *Stats) RecordLatency(now time.Time, latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sample := latency.Seconds()
	if s.latencyAt.IsZero() {
		s.latency, s.minLatency = sample, sample
	} else {
		s.latency = s.latencyEstimate(now)
		s.latency += latencyWeight * (sample - s.latency)
		s.minLatency = min(s.minLatency, sample)
	}
	s.latencyAt = now
}

// recordDialTime uses half of the time that opening a connection took as the initial estimate.
func (s *Stats) recordDialTime(took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.latencyAt.IsZero() {
		s.latency, s.minLatency = took.Seconds()/2, took.Seconds()/2
		s.latencyAt = time.Now()
	}
}

// latencyEstimate returns the latency expected now. The lock is held.
func (s *Stats) latencyEstimate(now time.Time) float64 {
	age := now.Sub(s.latencyAt)
	keep := math.Exp(-age.Seconds() / latencyDecayTime.Seconds())
	return s.minLatency + (s.latency-s.minLatency)*keep
}

// Latency returns the expected latency of a statement; 0 if it is unknown.
func (s *Stats) Latency(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.latencyAt.IsZero() {
		return 0
	}
	return time.Duration(s.latencyEstimate(now) * float64(time.Second))
}

// RTT returns the lowest latency seen, which is close to the round-trip time; 0 if it is unknown.
func (s *Stats) RTT() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(s.minLatency * float64(time.Second))
}

// RecordPosition records a position that the server has applied.
func (s *Stats) RecordPosition(at position.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.observedAt = time.Now()
	if s.applied.Less(at) {
		s.applied = at
	}
}

// behindValidity is how long a position counts as the server's current one. During this time the
// server is not asked again, which would use a connection of the caller's tenant.
const behindValidity = 100 * time.Millisecond

// Behind returns the server's applied position, and whether that was seen recently and does not
// cover the minimum position.
func (s *Stats) Behind(minimum position.Position, now time.Time) (position.Position, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lacks := !s.applied.IsZero() && !s.applied.Covers(minimum)
	return s.applied, lacks && now.Sub(s.observedAt) < behindValidity
}

// Position returns the last reported applied position of the server and the time of that report.
func (s *Stats) Position() (position.Position, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.applied, s.observedAt
}

// Applied returns the newest position that the server is known to have applied.
func (s *Stats) Applied() position.Position {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.applied
}

// RecordBehind records that the server, at position at, lacked a position that the primary had
// since a time.
func (s *Stats) RecordBehind(now, since time.Time, at position.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = max(s.lagEstimate(now), now.Sub(since)*5/4)
	s.lagAt = now
	// A promotion may have rolled back what was applied before.
	s.applied = at
}

// RecordCaughtUp records that the server had a position that the primary had since a time.
func (s *Stats) RecordCaughtUp(now, since time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = min(s.lagEstimate(now), now.Sub(since))
	s.lagAt = now
}

// Lag returns how far behind the primary the server is expected to be.
func (s *Stats) Lag(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lagEstimate(now)
}

func (s *Stats) lagEstimate(now time.Time) time.Duration {
	keep := math.Exp(-now.Sub(s.lagAt).Seconds() / lagDecayTime.Seconds())
	return time.Duration(float64(s.lag) * keep)
}

// Covers reports whether the server is known to have a position or should have it by now. since is
// when the primary had it.
func (s *Stats) Covers(minimum position.Position, since, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.applied.Covers(minimum) || now.Sub(since) >= s.lagEstimate(now)
}
