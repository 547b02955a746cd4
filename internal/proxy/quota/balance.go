package quota

import (
	"math"
	"time"

	"dewknot/internal/proxy/urgency"
)

// lot is tokens that are good in the same span of time.
type lot struct {
	count uint32
	// level is for whose operations they were handed out, anybody's if that is not known.
	level int
	from  time.Time
	until time.Time
}

// anybody is the level of tokens that were handed out for none.
const anybody = urgency.Levels

// balance is what a node has of a tenant's tokens, and who waits for some.
type balance struct {
	lots []lot
	// waiting counts the operations that wait for a token.
	waiting Needs
	// asked is the allocator that is asked for some; empty if none is.
	asked string
	// wanted is what the last request asked for.
	wanted Needs
	// dry holds the allocators that have none for a level, and until when.
	dry map[string]*[urgency.Levels]time.Time
	// aheadFrom is when tokens may be asked for ahead again.
	aheadFrom time.Time
	pace      pace
	// young is set if the allocator that was asked last had only just started.
	young bool
	// used is when a token was last wanted.
	used time.Time
}

// holdings are the tokens of a balance by the level for which they were handed out, and how
// many of them are good already.
type holdings struct {
	held, good [urgency.Levels + 1]uint32
}

// holdings drops the tokens that are no longer good and counts the others.
func (w *balance) holdings(now time.Time) (h holdings) {
	kept := 0
	for _, l := range w.lots {
		if l.count == 0 || !l.until.After(now) {
			continue
		}
		w.lots[kept] = l
		kept++
		h.held[l.level] += l.count
		if !l.from.After(now) {
			h.good[l.level] += l.count
		}
	}
	w.lots = w.lots[:kept]
	return h
}

// held returns how many tokens there are, those included that are only good later.
func (w *balance) held(now time.Time) (sum uint32) {
	h := w.holdings(now)
	for _, count := range h.held {
		sum += count
	}
	return sum
}

// spare returns how many of the tokens of a level nobody waits for, and an operation of
// another level may take. What will only be good later is left to the more urgent level for
// which it was handed out: its operations wait less long, so that the first of them cannot
// use it, but one that comes soon can.
func (w *balance) spare(h *holdings, of, level int) uint32 {
	spare := h.held[of]
	if of != anybody {
		spare -= min(spare, w.waiting[of])
	}
	if of < level {
		spare = min(spare, h.good[of])
	}
	return spare
}

// available returns how many tokens an operation of a level may take: those that were handed
// out for its level, and of those that nobody waits for what more urgent operations leave.
func (w *balance) available(now time.Time, level urgency.Level) uint32 {
	h := w.holdings(now)
	spare, short := uint32(0), uint32(0)
	for other := range h.held {
		if other == int(level) {
			continue
		}
		spare += w.spare(&h, other, int(level))
		if other < int(level) {
			short += w.waiting[other] - min(h.held[other], w.waiting[other])
		}
	}
	return h.held[level] + spare - min(spare, short)
}

// take takes a token that a level may have: of its own, or else one that nobody waits for,
// that which is good for the shortest time. There is one available.
func (w *balance) take(now time.Time, level urgency.Level) lot {
	h := w.holdings(now)
	first := -1
	for i := range w.lots {
		l := &w.lots[i]
		switch {
		case h.held[level] > 0 && l.level != int(level):
			continue
		case h.held[level] == 0 && w.spare(&h, l.level, int(level)) == 0, l.level < int(level) && l.from.After(now):
			continue
		}
		if first < 0 || l.until.Before(w.lots[first].until) {
			first = i
		}
	}
	w.lots[first].count--
	return lot{count: 1, from: w.lots[first].from, until: w.lots[first].until}
}

// isDry reports whether an allocator has said that it has no token for a level now.
func (w *balance) isDry(allocator string, level int, now time.Time) bool {
	dry := w.dry[allocator]
	return dry != nil && dry[level].After(now)
}

// setDry notes until when an allocator has no token for a level.
func (w *balance) setDry(allocator string, level int, until time.Time) {
	dry := w.dry[allocator]
	if dry == nil {
		dry = new([urgency.Levels]time.Time)
		w.dry[allocator] = dry
	}
	dry[level] = until
}

// lack returns how many operations of each level wait beyond the tokens that are held.
func (w *balance) lack(now time.Time) (lack Needs) {
	h := w.holdings(now)
	used := uint32(0)
	for level, waiting := range w.waiting {
		spare := uint32(0)
		for other := range h.held {
			if other != level {
				spare += w.spare(&h, other, level)
			}
		}
		lack[level] = waiting - min(waiting, h.held[level])
		taken := min(lack[level], spare-min(spare, used))
		lack[level] -= taken
		used += taken
	}
	return lack
}

// paceSpan is the span over which a tenant's pace at a node is smoothed.
const paceSpan = 2 * time.Second

// pace is how many tokens a second are used or asked for, as smoothed.
type pace struct {
	perSecond float64
	at        time.Time
}

// add notes that tokens were used, or asked for.
func (p *pace) add(now time.Time, count uint32) {
	if count == 0 {
		return
	}
	p.perSecond = p.now(now) + float64(count)/paceSpan.Seconds()
	p.at = now
}

func (p *pace) now(now time.Time) float64 {
	if p.perSecond == 0 {
		return 0
	}
	return p.perSecond * math.Exp(-now.Sub(p.at).Seconds()/paceSpan.Seconds())
}

// ahead returns how many tokens the tenant will use while those that are asked for now are
// good.
func (p *pace) ahead(now time.Time, life time.Duration) uint32 {
	return uint32(p.now(now) * life.Seconds())
}
