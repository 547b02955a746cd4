package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// Verdict is whether an operation may run.
type Verdict struct {
	Granted bool
	// From and Until are when the token of a granted operation is good: it may have to wait
	// a moment.
	From  time.Time
	Until time.Time
	// Pending is set if an allocator is being asked: the operation is to ask again once
	// something has come, and counts as waiting until then.
	Pending bool
	// After is when a refused operation may have a chance. Young is set if that is soon,
	// since the allocators have only just started.
	After time.Duration
	Young bool
}

// Take asks for a token for an operation of a level. waits is set if the operation waits
// already.
func (m *Machine) Take(now time.Time, tenant string, level urgency.Level, waits bool) Verdict {
	w := m.balances[tenant]
	if w == nil {
		w = &balance{dry: map[string]*[urgency.Levels]time.Time{}}
		m.balances[tenant] = w
	}
	w.used = now
	if waits {
		w.waiting[level]--
	}
	if w.available(now, level) > 0 {
		taken := w.take(now, level)
		w.pace.add(now, 1)
		m.askAhead(now, tenant, w)
		return Verdict{Granted: true, From: taken.from, Until: taken.until}
	}
	if !m.askable(now, tenant, w, int(level)) {
		return Verdict{After: w.comeBack(now, int(level)), Young: w.young}
	}
	w.waiting[level]++
	if w.asked == "" {
		m.ask(now, tenant, w)
	}
	return Verdict{Pending: true}
}

// askable reports whether an allocator is being asked that may have a token for a level, or
// one could be asked.
func (m *Machine) askable(now time.Time, tenant string, w *balance, level int) bool {
	if w.asked != "" && !w.isDry(w.asked, level, now) {
		return true
	}
	_, found := m.allocatorFor(now, tenant, w, level)
	return found
}

// Ready reports whether an operation of a level that waits for a token of a tenant should
// ask again.
func (m *Machine) Ready(now time.Time, tenant string, level urgency.Level) bool {
	w := m.balances[tenant]
	return w == nil || w.asked == "" || w.available(now, level) > 0 || !m.askable(now, tenant, w, int(level))
}

// Abandon ends the wait of an operation.
func (m *Machine) Abandon(tenant string, level urgency.Level) {
	if w := m.balances[tenant]; w != nil && w.waiting[level] > 0 {
		w.waiting[level]--
	}
}

// PutBack returns the token of an operation of a level that did not run.
func (m *Machine) PutBack(now time.Time, tenant string, level urgency.Level, from, until time.Time) {
	if w := m.balances[tenant]; w != nil && until.After(now) {
		w.lots = append(w.lots, lot{count: 1, level: int(level), from: from, until: until})
	}
}

// comeBack returns when one of the allocators will have a token for a level.
func (w *balance) comeBack(now time.Time, level int) time.Duration {
	first := time.Duration(0)
	for _, dry := range w.dry {
		if left := dry[level].Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	if first == 0 {
		return unreachedPause
	}
	return first
}

// askAhead asks for tokens before they are wanted, for a tenant whose callers use several
// while one is good.
func (m *Machine) askAhead(now time.Time, tenant string, w *balance) {
	limit, limited := m.cfg.Limits(tenant)
	if !limited || w.asked != "" || now.Before(w.aheadFrom) {
		return
	}
	if more := w.pace.ahead(now, limit.Life); more > 0 && w.held(now) <= more/2 {
		m.ask(now, tenant, w)
	}
}
