package upstream

import (
	"slices"
	"time"
)

// given is what a waiter gets: a connection, or the reason why there is none.
type given struct {
	lease *Lease
	err   error
}

// waiter waits for a connection of a principal.
type waiter struct {
	principal Principal
	// beyond is how many connections beyond the pool's limit may be opened for it.
	beyond int
	since  time.Time
	given  chan given
}

// waitingList holds those who wait for a connection, the longest first.
type waitingList struct {
	order  []*waiter
	counts map[Principal]int
}

func newWaitingList() waitingList { return waitingList{counts: map[Principal]int{}} }

func (l *waitingList) add(principal Principal, beyond int, now time.Time) *waiter {
	w := &waiter{principal: principal, beyond: beyond, since: now, given: make(chan given, 1)}
	l.order = append(l.order, w)
	l.counts[principal]++
	return w
}

// count returns how many of a principal wait.
func (l *waitingList) count(principal Principal) int { return l.counts[principal] }

// longest returns who waits longest, nil if nobody does.
func (l *waitingList) longest() *waiter {
	if len(l.order) == 0 {
		return nil
	}
	return l.order[0]
}

// takeFor removes and returns who waits longest for a connection of a principal, or for
// any; nil if nobody does.
func (l *waitingList) takeFor(principal Principal) *waiter {
	for _, w := range l.order {
		if w.principal.accepts(principal) {
			l.remove(w)
			return w
		}
	}
	return nil
}

// remove reports whether the waiter was still in the list.
func (l *waitingList) remove(w *waiter) bool {
	at := slices.Index(l.order, w)
	if at < 0 {
		return false
	}
	l.order = slices.Delete(l.order, at, at+1)
	l.counts[w.principal]--
	if l.counts[w.principal] == 0 {
		delete(l.counts, w.principal)
	}
	return true
}

// clear removes and returns all.
func (l *waitingList) clear() []*waiter {
	all := l.order
	l.order, l.counts = nil, map[Principal]int{}
	return all
}

// await waits for what a waiter gets; it reports false if nothing came in time.
func (p *Pool) await(w *waiter, deadline time.Time) (given, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case came := <-w.given:
		return came, true
	case <-timer.C:
	}
	p.mutex.Lock()
	waited := p.waiting.remove(w)
	p.mutex.Unlock()
	p.freed()
	if waited {
		return given{}, false
	}
	// The hand-over was under way already.
	if late := <-w.given; late.lease != nil {
		late.lease.Return()
	}
	return given{}, false
}
