package upstream

import (
	"slices"
	"time"
)

// handover is what a waiter receives: a connection or an error.
type handover struct {
	lease *Lease
	err   error
}

// waiter is a request that waits for a connection of a principal.
type waiter struct {
	principal Principal
	// extra is how many connections above the pool's limit may be opened for it.
	extra    int
	since    time.Time
	handover chan handover
}

// waitingList holds the waiters, the longest waiting first.
type waitingList struct {
	order  []*waiter
	counts map[Principal]int
}

func newWaitingList() waitingList { return waitingList{counts: map[Principal]int{}} }

func (l *waitingList) add(principal Principal, extra int, now time.Time) *waiter {
	w := &waiter{principal: principal, extra: extra, since: now, handover: make(chan handover, 1)}
	l.order = append(l.order, w)
	l.counts[principal]++
	return w
}

// count returns the number of waiters of a principal.
func (l *waitingList) count(principal Principal) int { return l.counts[principal] }

// oldest returns the longest waiting waiter, or nil if there is none.
func (l *waitingList) oldest() *waiter {
	if len(l.order) == 0 {
		return nil
	}
	return l.order[0]
}

// takeFor removes and returns the longest waiting waiter that may use a connection of a principal,
// or nil if there is none.
func (l *waitingList) takeFor(principal Principal) *waiter {
	for _, w := range l.order {
		if w.principal.mayUse(principal) {
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

// clear removes and returns all waiters.
func (l *waitingList) clear() []*waiter {
	all := l.order
	l.order, l.counts = nil, map[Principal]int{}
	return all
}

// await waits for a waiter's connection or error. It returns false if neither arrives in time.
func (p *Pool) await(w *waiter, deadline time.Time) (handover, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case received := <-w.handover:
		return received, true
	case <-timer.C:
	}
	p.mutex.Lock()
	stillWaiting := p.waiters.remove(w)
	p.mutex.Unlock()
	p.notifyFreed()
	if stillWaiting {
		return handover{}, false
	}
	// Another goroutine had already taken the waiter from the list and will send.
	if late := <-w.handover; late.lease != nil {
		late.lease.Return()
	}
	return handover{}, false
}
