package quorum

import "time"

// Haste tells how soon a member asks voters again.
type Haste uint8

const (
	// Calm renews leases before they run out.
	Calm Haste = iota
	// Eager is for something that waits for leases or records.
	Eager
	// Wide is Eager where the nearest voters do not suffice: all are asked.
	Wide
	// Urgent is for a voter that needs the others' records to take part again. It asks
	// four others at the most.
	Urgent
)

const (
	// eagerPause is the pause from a question until the next one, once it is answered, while
	// something waits for what that may bring. It doubles with each answer that has brought
	// nothing.
	eagerPause = 25 * time.Millisecond
	// urgentPause is the same for a voter that recovers.
	urgentPause = 40 * time.Millisecond
	// spareInterval is the pause between questions to voters whose leases are not needed: they
	// tell how long the way to them is.
	spareInterval = 5 * time.Second
	// settleLimit bounds the pauses towards a voter that has not told its records since
	// the table was taken: it may be starting.
	settleLimit = RenewInterval / 2
)

// pacer decides when a voter is asked again. One question is under way at a time, and is
// repeated after a time that follows the measured round trip and doubles. So a member's
// questions get fewer as the voter's link or processor fills, and what all members ask is
// bounded by their number over RenewInterval or by what the link carries, whichever is more.
type pacer struct {
	trip    roundTrip
	askedAt time.Time
	// waiting is set while no answer to the last question has come, misses are the
	// questions in a row that had none in time.
	waiting bool
	misses  int
	// vain are the answers in a row that brought nothing.
	vain int
}

// ask notes a question.
func (p *pacer) ask(now time.Time) {
	if p.waiting {
		p.misses++
	}
	p.askedAt, p.waiting = now, true
}

// answer notes an answer to a question of some time; useful tells that it brought something.
// One to an earlier question tells how long the way is, and that the last one is under way.
func (p *pacer) answer(now, sentAt time.Time, useful bool) {
	p.trip.measure(now.Sub(sentAt))
	p.misses = 0
	if sentAt.Equal(p.askedAt) {
		p.waiting = false
	}
	p.vain++
	if useful {
		p.vain = 0
	}
}

// due returns when the voter is to be asked.
func (of *mirror) due(haste Haste) time.Time {
	most, unknown := RenewInterval, of.wholeAt.IsZero()
	if unknown {
		most = settleLimit
	}
	switch {
	case of.askedAt.IsZero():
		return of.askedAt
	case of.waiting:
		return of.askedAt.Add(of.trip.timeout(of.misses, most))
	case haste == Urgent:
		return of.askedAt.Add(urgentPause)
	case haste == Eager || haste == Wide || unknown:
		return of.askedAt.Add(doubled(eagerPause, of.vain, most))
	default:
		return of.askedAt.Add(RenewInterval)
	}
}
