package quota

import "time"

// Take asks for a token for an operation. waits is set if the operation waits already.
func (m *Machine) Take(now time.Time, tenant string, waits bool) Verdict {
	w := m.balances[tenant]
	if w == nil {
		w = &balance{dry: map[string]time.Time{}}
		m.balances[tenant] = w
	}
	w.used = now
	if waits {
		w.waiting--
	}
	if w.held(now) > 0 {
		taken := w.take()
		w.pace.used(now)
		m.askAhead(now, tenant, w)
		return Verdict{Granted: true, From: taken.from, Until: taken.until}
	}
	w.waiting++
	if w.asked != "" || m.ask(now, tenant, w) {
		return Verdict{Pending: true}
	}
	w.waiting--
	return Verdict{After: m.comeBack(now, w), Young: w.young}
}

// Abandon ends the wait of an operation.
func (m *Machine) Abandon(tenant string) {
	if w := m.balances[tenant]; w != nil && w.waiting > 0 {
		w.waiting--
	}
}

// PutBack returns the token of an operation that did not run.
func (m *Machine) PutBack(now time.Time, tenant string, from, until time.Time) {
	if w := m.balances[tenant]; w != nil && until.After(now) {
		w.lots = append(w.lots, lot{count: 1, from: from, until: until})
	}
}

// comeBack returns when one of the allocators will have a token.
func (m *Machine) comeBack(now time.Time, w *balance) time.Duration {
	first := time.Duration(0)
	for _, until := range w.dry {
		if left := until.Sub(now); left > 0 && (first == 0 || left < first) {
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
	if !limited || w.asked != "" {
		return
	}
	if more := w.pace.ahead(now, limit.Life); more > 0 && w.held(now) <= more/2 {
		m.ask(now, tenant, w)
	}
}

// Ready reports whether an operation that waits for a token of a tenant should ask again.
func (m *Machine) Ready(now time.Time, tenant string) bool {
	w := m.balances[tenant]
	return w == nil || w.asked == "" || w.held(now) > 0
}
