package quorum

import (
	"slices"
	"time"
)

// RoundConfig configures a Round.
type RoundConfig struct {
	// Request is sent to all voters, From, Incarnation and Generation included. Each attempt has a
	// sequence of its own.
	Request Message
	// Expected is the kind of an answer that agrees.
	Expected Kind
	// RequireClear ignores promises of voters whose leases have not ended yet.
	RequireClear bool
	Table        *Table
	// Deadline is the time from which on answers no longer count.
	Deadline time.Time
}

// Round is a request of a candidate to all voters, with the answers received so far. It is a state
// machine and not safe for concurrent use.
//
// A process may be suspended while answers wait in its socket. An answer says what held when the
// voter gave it, so it counts only until the deadline, and AskedAt tells how old the agreement is.
type Round struct {
	cfg RoundConfig
	// sentAt has, by sequence, when each attempt was sent.
	sentAt map[uint64]time.Time
	// askedAt has, by voter, when the newest request was sent that the voter has agreed to.
	askedAt map[string]time.Time
	answers map[string]Message
	denied  map[string]Message
}

// RoundResult is the result of a round.
type RoundResult struct {
	// Agreed is set if a majority of voters agreed.
	Agreed bool
	// AskedAt is a time since which a majority of voters has reserved the service for the candidate:
	// each of them agreed to a request that was sent then or later. It is zero if there is none.
	AskedAt time.Time
	// Highest is the highest ballot with which a voter denied the request.
	Highest uint64
	// Records are those of the voters that agreed.
	Records []Record
	// Unconfirmed is the server of an unconfirmed order, which may still be carried out within
	// UnconfirmedFor.
	Unconfirmed    string
	UnconfirmedFor time.Duration
	// Clear is set if no leases of the previous tenure are left at a majority of voters.
	Clear bool
}

// NewRound returns a round without attempts.
func NewRound(cfg RoundConfig) *Round {
	return &Round{
		cfg: cfg, sentAt: map[uint64]time.Time{}, askedAt: map[string]time.Time{},
		answers: map[string]Message{}, denied: map[string]Message{},
	}
}

// Attempt returns the request for each voter that has not agreed. sequence must be new.
func (r *Round) Attempt(now time.Time, sequence uint64) []Envelope {
	if r.expired(now) {
		return nil
	}
	r.sentAt[sequence] = now
	request := r.cfg.Request
	request.Sequence = sequence
	var out []Envelope
	for _, entry := range r.cfg.Table.Entries {
		if _, agreed := r.answers[entry.Name]; !agreed {
			out = append(out, Envelope{To: entry.Address, Message: request})
		}
	}
	return out
}

func (r *Round) expired(now time.Time) bool { return !now.Before(r.cfg.Deadline) }

// Add adds an answer that has arrived now and reports whether it counts.
func (r *Round) Add(now time.Time, m *Message) bool {
	sentAt, answersAttempt := r.sentAt[m.Sequence]
	cleared := r.cfg.RequireClear && m.Kind == Cleared && m.Ballot == r.cfg.Request.Ballot
	if r.expired(now) || m.Service != r.cfg.Request.Service || (!answersAttempt && !cleared) {
		return false
	}
	switch {
	case cleared:
		r.agree(m)
	case m.Kind == r.cfg.Expected:
		if sentAt.After(r.askedAt[m.From]) {
			r.askedAt[m.From] = sentAt
		}
		if !r.cfg.RequireClear || m.Clear {
			r.agree(m)
		}
	case m.Kind == Denied:
		delete(r.askedAt, m.From)
		r.denied[m.From] = *m
	default:
		return false
	}
	return true
}

func (r *Round) agree(m *Message) {
	delete(r.denied, m.From)
	r.answers[m.From] = *m
}

// Result returns the result so far, and whether the round is over.
func (r *Round) Result() (RoundResult, bool) {
	majority := r.cfg.Table.Majority()
	result := RoundResult{Agreed: len(r.answers) >= majority, AskedAt: r.agreedSince(majority)}
	clearCount := 0
	for _, m := range r.answers {
		result.Records = append(result.Records, m.Records...)
		if m.UnconfirmedFor > result.UnconfirmedFor && len(m.Records) > 0 {
			result.Unconfirmed, result.UnconfirmedFor = m.Records[0].Unconfirmed, m.UnconfirmedFor
		}
		if m.Clear || m.Kind == Cleared {
			clearCount++
		}
	}
	result.Clear = clearCount >= majority
	for _, m := range r.denied {
		result.Highest = max(result.Highest, m.Ballot)
	}
	rejected := len(r.denied) > len(r.cfg.Table.Entries)-majority
	return result, result.Agreed || rejected
}

// agreedSince returns the latest time such that a majority has agreed to requests sent since.
func (r *Round) agreedSince(majority int) time.Time {
	var times []time.Time
	for _, at := range r.askedAt {
		times = append(times, at)
	}
	if len(times) < majority {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority-1]
}
