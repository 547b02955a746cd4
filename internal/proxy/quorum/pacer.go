package quorum

import "time"

// RenewalMode determines how soon a member sends its next requests to voters.
type RenewalMode uint8

const (
	// RenewNormal renews leases before they expire.
	RenewNormal RenewalMode = iota
	// RenewEager is used while something waits for leases or records.
	RenewEager
	// RenewEagerAll is RenewEager with requests to all voters. It is used when the nearest ones do
	// not suffice.
	RenewEagerAll
	// RenewRecovering is used by a recovering voter, which needs the records of the other voters.
	// These are at most four.
	RenewRecovering
)

const (
	// eagerPause is the delay from an answered request to the next one while something waits for
	// leases or records. It doubles with each answer that was not useful.
	eagerPause = 25 * time.Millisecond
	// recoveringPause is the same delay for a recovering voter.
	recoveringPause = 40 * time.Millisecond
	// spareInterval is the interval of requests to voters whose leases are not needed. These
	// requests measure the round-trip time.
	spareInterval = 5 * time.Second
	// maxInitialPause bounds the delay for a voter whose records are not complete yet: it may be
	// starting.
	maxInitialPause = RenewInterval / 2
)

// pacer schedules the requests to a voter. One request is in flight at a time. It is repeated after
// a timeout that depends on the measured round-trip time and doubles. So a member sends fewer
// requests as the voter's link or processor becomes overloaded. The total rate of all members is
// bounded by their number per RenewInterval or by the link's capacity, whichever is higher.
type pacer struct {
	rtt        rttEstimator
	lastSentAt time.Time
	// waiting is set until the last request is answered. misses is the number of consecutive
	// requests that were not answered in time.
	waiting bool
	misses  int
	// emptyAnswers is the number of consecutive answers that were not useful.
	emptyAnswers int
}

func (p *pacer) requestSent(now time.Time) {
	if p.waiting {
		p.misses++
	}
	p.lastSentAt, p.waiting = now, true
}

// answerReceived records an answer to a request sent at sentAt. An answer to an earlier request is
// an RTT measurement too, but the last request stays in flight.
func (p *pacer) answerReceived(now, sentAt time.Time, useful bool) {
	p.rtt.measure(now.Sub(sentAt))
	p.misses = 0
	if sentAt.Equal(p.lastSentAt) {
		p.waiting = false
	}
	p.emptyAnswers++
	if useful {
		p.emptyAnswers = 0
	}
}

// due returns when the next request to the voter is due.
func (p *peer) due(mode RenewalMode) time.Time {
	limit, incomplete := RenewInterval, p.completeAt.IsZero()
	if incomplete {
		limit = maxInitialPause
	}
	switch {
	case p.lastSentAt.IsZero():
		return p.lastSentAt
	case p.waiting:
		return p.lastSentAt.Add(p.rtt.timeout(p.misses, limit))
	case mode == RenewRecovering:
		return p.lastSentAt.Add(recoveringPause)
	case mode == RenewEager || mode == RenewEagerAll || incomplete:
		return p.lastSentAt.Add(backoff(eagerPause, p.emptyAnswers, limit))
	default:
		return p.lastSentAt.Add(RenewInterval)
	}
}
