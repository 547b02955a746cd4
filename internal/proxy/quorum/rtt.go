package quorum

import "time"

// Timeouts of requests.
const (
	// initialTimeout is used until a round-trip time has been measured: some round trips between
	// regions.
	initialTimeout = 100 * time.Millisecond
	// minTimeout avoids a second request when a processor is briefly busy.
	minTimeout = 60 * time.Millisecond
)

// rttEstimator estimates the round-trip time as in RFC 6298. Each answer names its request, so an
// answer that arrives after a retry is a valid measurement too, and a growing queue is noticed with
// its first answer.
type rttEstimator struct {
	smoothed time.Duration
	variance time.Duration
}

func (r *rttEstimator) measure(sample time.Duration) {
	if r.smoothed == 0 {
		r.smoothed, r.variance = sample, sample/2
		return
	}
	r.variance += ((sample - r.smoothed).Abs() - r.variance) / 4
	r.smoothed += (sample - r.smoothed) / 8
}

// timeout returns how long to wait for an answer after a number of unanswered requests. It doubles
// up to a limit, but is no shorter than the timeout without misses, up to RenewInterval.
func (r *rttEstimator) timeout(misses int, limit time.Duration) time.Duration {
	wait := initialTimeout
	if r.smoothed > 0 {
		wait = max(minTimeout, r.smoothed+4*r.variance)
	}
	return backoff(wait, misses, max(limit, min(wait, RenewInterval)))
}

// excessDelay returns by how much the expected delay of answers exceeds that of an idle link.
func (r *rttEstimator) excessDelay() time.Duration {
	return max(0, r.smoothed+4*r.variance-initialTimeout)
}

// backoff doubles a delay a number of times, up to a limit.
func backoff(delay time.Duration, attempts int, limit time.Duration) time.Duration {
	for ; attempts > 0 && delay < limit; attempts-- {
		delay *= 2
	}
	return min(delay, limit)
}
