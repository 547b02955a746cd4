package quota

import (
	"math"
	"time"
)

// lot is tokens that are good in the same span of time.
type lot struct {
	count uint32
	from  time.Time
	until time.Time
}

// balance is what a node has of a tenant's tokens, and who waits for some.
type balance struct {
	lots []lot
	// waiting counts the operations that wait for a token.
	waiting uint32
	// asked is the allocator that is asked for some; empty if none is.
	asked string
	// dry holds the allocators that have none, and until when.
	dry  map[string]time.Time
	pace pace
	// young is set if the allocator that was asked last had only just started.
	young bool
	// used is when a token was last wanted.
	used time.Time
}

// held drops the tokens that are no longer good and returns how many there are, those
// included that are only good later.
func (w *balance) held(now time.Time) uint32 {
	kept, held := 0, uint32(0)
	for _, l := range w.lots {
		if l.count > 0 && l.until.After(now) {
			w.lots[kept] = l
			kept++
			held += l.count
		}
	}
	w.lots = w.lots[:kept]
	return held
}

// take takes the token that is good for the shortest time; the balance has some.
func (w *balance) take() lot {
	first := 0
	for i := range w.lots {
		if w.lots[i].until.Before(w.lots[first].until) {
			first = i
		}
	}
	w.lots[first].count--
	return lot{count: 1, from: w.lots[first].from, until: w.lots[first].until}
}

// isDry reports whether an allocator has said that it has no token now.
func (w *balance) isDry(allocator string, now time.Time) bool { return w.dry[allocator].After(now) }

// lack returns how many operations wait beyond the tokens that are held.
func (w *balance) lack(now time.Time) uint32 {
	held := w.held(now)
	if held >= w.waiting {
		return 0
	}
	return w.waiting - held
}

// paceSpan is the span over which a tenant's pace at a node is smoothed.
const paceSpan = 2 * time.Second

// pace is how many tokens a second a tenant's callers use at a node.
type pace struct {
	perSecond float64
	at        time.Time
}

// used notes that a token was used.
func (p *pace) used(now time.Time) {
	p.perSecond = p.now(now) + 1/paceSpan.Seconds()
	p.at = now
}

func (p *pace) now(now time.Time) float64 {
	return p.perSecond * math.Exp(-now.Sub(p.at).Seconds()/paceSpan.Seconds())
}

// ahead returns how many tokens the tenant will use while those that are asked for now are
// good.
func (p *pace) ahead(now time.Time, life time.Duration) uint32 {
	return uint32(p.now(now) * life.Seconds())
}
