// Package admission limits the number of statements that a node runs on one server at the same
// time.
//
// A server runs a few statements at a time, queues some and rejects the rest. A Gate finds the
// server's capacity for this node by additive increase and multiplicative decrease. Work above the
// limit waits at the node, where it can be prioritized and rejected early.
package admission

import (
	"container/heap"
	"sync"
	"time"
)

// Class determines the priority of work that waits for a server.
type Class uint8

// The classes of work.
const (
	// Continuation is a statement of a transaction that is open on the server.
	Continuation Class = iota
	// OnlyHere is work that only this server can run.
	OnlyHere
	// Anywhere is work that other servers could run, too.
	Anywhere
	// Classes is the number of classes.
	Classes = iota
)

// headStarts is how much later work of a class may arrive and still go before work of class
// Anywhere. They are bounded, so no class starves.
var headStarts = [...]time.Duration{
	Continuation: 400 * time.Millisecond,
	OnlyHere:     100 * time.Millisecond,
	Anywhere:     0,
}

// reuseHeadStart is how much later work may rank and still go first because its principal has an
// idle connection. Where tenants share a few connections, each change of tenant opens a connection,
// which takes a slot. Under load, the order is chosen to avoid this.
const reuseHeadStart = 150 * time.Millisecond

// priorityStep is the head start of a priority over the next lower one.
const priorityStep = 30 * time.Millisecond

// LateDelay moves work whose objective has passed behind work that can still meet its objective. It
// is about as long as work with usual objectives (0.5 to 2 s) waits before it is rejected, so late
// work only goes first if no other work is at risk.
const LateDelay = 200 * time.Millisecond

// agingInterval is how often the longest waiting work goes first regardless of its class and
// priority. This keeps five slots per second and server for less urgent work.
const agingInterval = 200 * time.Millisecond

// Parameters of the additive increase and multiplicative decrease of the limit.
const (
	minLimit            = 1.0
	additiveIncrease    = 0.5
	decreaseFactor      = 0.7
	minDecreaseInterval = 60 * time.Millisecond
)

// Gate limits the work on one server. It is safe for concurrent use.
type Gate struct {
	mutex       sync.Mutex
	limit       float64
	maxLimit    float64
	running     int
	reservation reservation
	waiting     waitingList
	decreased   time.Time
	throughput  throughput
	// lastAged is when work last went first because of its age.
	lastAged time.Time
	// connections are the connections to the server; nil if work brings its own connection.
	connections Connections
}

// Connections reports the state of the connections that admitted work runs on.
type Connections interface {
	// HasIdle reports whether a principal has an idle connection.
	HasIdle(principal string) bool
	// Available reports whether work without a connection would get one.
	Available() bool
}

// NewGate returns a gate with an initial limit that never admits more than maxLimit at a time.
func NewGate(limit, maxLimit int) *Gate {
	return &Gate{limit: float64(limit), maxLimit: float64(maxLimit)}
}

// UseConnections makes the gate admit work only when a connection is available for it, and prefer
// work whose principal has an idle one. It must be called before the gate is used.
func (g *Gate) UseConnections(connections Connections) { g.connections = connections }

// Request describes work that asks for admission.
type Request struct {
	Class Class
	// Priority 0 is the highest.
	Priority int
	Arrived  time.Time
	// Late is set if the work's objective has passed.
	Late bool
	// Principal is the identity under which the work runs. HasConnection is set if the work already
	// has a connection.
	Principal     string
	HasConnection bool
}

func (r *Request) rank() time.Time {
	rank := r.Arrived.Add(time.Duration(r.Priority)*priorityStep - headStarts[r.Class])
	if r.Late {
		return rank.Add(LateDelay)
	}
	return rank
}

// Enter waits for admission until the deadline and reports whether the work was admitted. Admitted
// work must call Leave.
func (g *Gate) Enter(request Request, deadline time.Time) bool {
	w := &waiter{
		rank: request.rank(), arrived: request.Arrived, class: request.Class, principal: request.Principal, hasConnection: request.HasConnection, admitted: make(chan struct{}),
	}
	now := time.Now()
	g.mutex.Lock()
	heap.Push(&g.waiting, w)
	g.reservation.enqueued(request.Class, now)
	g.admit(now)
	admitted := w.index < 0
	g.mutex.Unlock()
	if admitted {
		return true
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-w.admitted:
		return true
	case <-timer.C:
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if w.index < 0 {
		// The work was admitted just after the timer fired.
		return true
	}
	heap.Remove(&g.waiting, w.index)
	g.reservation.dequeued(request.Class, time.Now())
	return false
}

// Result is how admitted work ended.
type Result uint8

// The results of admitted work.
const (
	// Ran: the server ran the work.
	Ran Result = iota
	// Refused: the server had no free slot and its queue was full.
	Refused
	// Other: the result says nothing about the server's load.
	Other
)

// Leave ends admitted work of a class.
func (g *Gate) Leave(class Class, result Result, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	full := g.running >= int(g.limit)
	g.running--
	g.reservation.finished(class, now)
	switch {
	case result == Refused && now.Sub(g.decreased) > minDecreaseInterval:
		g.limit = max(minLimit, min(g.limit, float64(g.running+1))*decreaseFactor)
		g.decreased = now
	case result == Ran && full:
		g.limit = min(g.maxLimit, g.limit+additiveIncrease/g.limit)
	}
	g.admit(now)
	g.throughput.completed(now, g.running >= int(g.limit))
}

// Wake makes the gate check its queue again because a connection has become free.
func (g *Gate) Wake() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.admit(time.Now())
}

// admit admits waiting work up to the limit. The lock is held.
func (g *Gate) admit(now time.Time) {
	for g.running < int(g.limit) && len(g.waiting) > 0 {
		next := g.next(now)
		if next == nil {
			return
		}
		heap.Remove(&g.waiting, next.index)
		g.running++
		g.reservation.started(next.class)
		close(next.admitted)
	}
}

// next returns the work to admit next, or nil if all waiting work lacks a connection.
func (g *Gate) next(now time.Time) *waiter {
	first := g.first(now)
	if g.connections == nil {
		return first
	}
	if !g.connections.Available() {
		return g.firstOf(func(w *waiter) bool { return w.hasConnection })
	}
	reuses := func(w *waiter) bool { return w.hasConnection || g.connections.HasIdle(w.principal) }
	if reuses(first) {
		return first
	}
	sharedFull := first.class != Anywhere && g.reservation.sharedFull(int(g.limit))
	other := g.firstOf(func(w *waiter) bool { return reuses(w) && !(sharedFull && w.class == Anywhere) })
	if other != nil && other.rank.Before(first.rank.Add(reuseHeadStart)) {
		return other
	}
	return first
}

// first returns the first work in rank order, or the longest waiting work once per agingInterval.
// While work of class Anywhere uses its whole share, other work goes first.
func (g *Gate) first(now time.Time) *waiter {
	first := g.waiting[0]
	if now.Sub(g.lastAged) >= agingInterval {
		g.lastAged = now
		return g.oldest()
	}
	if first.class != Anywhere || !g.reservation.sharedFull(int(g.limit)) {
		return first
	}
	if exclusive := g.firstOf(func(w *waiter) bool { return w.class != Anywhere }); exclusive != nil {
		return exclusive
	}
	return first
}

// oldest returns the longest waiting work.
func (g *Gate) oldest() *waiter {
	oldest := g.waiting[0]
	for _, w := range g.waiting {
		if w.arrived.Before(oldest.arrived) {
			oldest = w
		}
	}
	return oldest
}

// firstOf returns the first work in rank order that fits, or nil if there is none.
func (g *Gate) firstOf(fits func(*waiter) bool) *waiter {
	var best *waiter
	for _, w := range g.waiting {
		if (best == nil || w.rank.Before(best.rank)) && fits(w) {
			best = w
		}
	}
	return best
}

// Load returns the numbers of running and waiting work.
func (g *Gate) Load() (running, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.running, len(g.waiting)
}

// Limit returns the current limit.
func (g *Gate) Limit() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.limit
}

// waiter is waiting work. index is -1 after it was admitted.
type waiter struct {
	rank          time.Time
	arrived       time.Time
	class         Class
	principal     string
	hasConnection bool
	admitted      chan struct{}
	index         int
}

// waitingList is a heap of waiters ordered by rank.
type waitingList []*waiter

// Len implements heap.Interface.
func (l waitingList) Len() int { return len(l) }

// Less implements heap.Interface.
func (l waitingList) Less(i, j int) bool { return l[i].rank.Before(l[j].rank) }

// Swap implements heap.Interface.
func (l waitingList) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push implements heap.Interface.
func (l *waitingList) Push(value any) {
	w := value.(*waiter)
	w.index = len(*l)
	*l = append(*l, w)
}

// Pop implements heap.Interface.
func (l *waitingList) Pop() any {
	last := len(*l) - 1
	w := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	w.index = -1
	return w
}
