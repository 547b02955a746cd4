// Package admission limits the statements that a node has running on one server.
//
// A server runs a few statements at a time, queues some and refuses the rest.
// A Gate finds the number that the server bears from this node by additive
// increase and multiplicative decrease, and lets the others wait at the node,
// where they can be ordered and refused early.
package admission

import (
	"container/heap"
	"sync"
	"time"
)

// Class orders the work that waits for a server.
type Class uint8

// The classes of work.
const (
	// Continuation is a statement of a transaction that is open on the server.
	Continuation Class = iota
	// OnlyHere is work that no other server can take.
	OnlyHere
	// Anywhere is work that other servers could take too.
	Anywhere
	// Classes is the number of classes.
	Classes = iota
)

// headStarts are by how much a class may overtake work that arrived earlier.
// They are bounded, so no class starves.
var headStarts = [...]time.Duration{
	Continuation: 400 * time.Millisecond,
	OnlyHere:     100 * time.Millisecond,
	Anywhere:     0,
}

// reuseHeadStart is by how much work may overtake if the server has an idle connection of
// its principal. Where many tenants share a server's few connections, each change of
// tenant opens one, which holds a slot: under load, work is done in the order that needs
// the fewest. With it, and with work let in only when there is a connection for it, 1.7% of
// a day that ends with a loss of all nodes are refused in place of 2.8% (one play, 72
// tenants before servers of 32 connections).
const reuseHeadStart = 150 * time.Millisecond

// priorityStep is the head start of a priority over the next lower one.
const priorityStep = 30 * time.Millisecond

// LateDelay is by how much work whose objective has passed comes after work that can still
// be answered in time: about as long as work of usual objectives (0.5 to 2 s) waits before
// it is refused, so that late work goes first only where nothing else is in danger.
const LateDelay = 200 * time.Millisecond

// agingInterval is after how long the work that has waited longest goes first, whatever its
// class and priority: of any flood of more urgent work, the rest keeps five places a second
// on each server.
const agingInterval = 200 * time.Millisecond

// The limit's law.
const (
	lowestLimit  = 1.0
	increase     = 0.5
	decrease     = 0.7
	decreaseRest = 60 * time.Millisecond
)

// Gate limits the work on one server. It is safe for concurrent use.
type Gate struct {
	mutex     sync.Mutex
	limit     float64
	highest   float64
	running   int
	room      room
	waiting   waitingList
	decreased time.Time
	pace      pace
	// aged is when work last went first for its age.
	aged time.Time
	// connections are those to the server; nil if work brings its own.
	connections Connections
}

// Connections tells of the connections on which work that was let in runs.
type Connections interface {
	// HasIdle reports whether a principal has an idle connection.
	HasIdle(principal string) bool
	// Available reports whether work without a connection would get one.
	Available() bool
}

// NewGate returns a gate that begins with a limit and never lets more than
// highest run at a time.
func NewGate(limit, highest int) *Gate {
	return &Gate{limit: float64(limit), highest: float64(highest)}
}

// Share makes the gate let work in only when there is a connection for it, and prefer work
// whose principal has an idle one. It must be called before the first work comes.
func (g *Gate) Share(connections Connections) { g.connections = connections }

// Request is work that asks to pass.
type Request struct {
	Class Class
	// Priority 0 is the highest.
	Priority int
	Arrived  time.Time
	// Late is set if the work's objective has passed.
	Late bool
	// Principal is in whose name the work runs. Holds is set if it has a connection.
	Principal string
	Holds     bool
}

func (r *Request) rank() time.Time {
	rank := r.Arrived.Add(time.Duration(r.Priority)*priorityStep - headStarts[r.Class])
	if r.Late {
		return rank.Add(LateDelay)
	}
	return rank
}

// Enter waits for leave to run until deadline and reports whether it was given.
// Work that was let in must call Leave.
func (g *Gate) Enter(request Request, deadline time.Time) bool {
	place := &waiter{
		rank: request.rank(), arrived: request.Arrived, class: request.Class, principal: request.Principal, holds: request.Holds, admitted: make(chan struct{}),
	}
	now := time.Now()
	g.mutex.Lock()
	heap.Push(&g.waiting, place)
	g.room.asked(request.Class, now)
	g.admit(now)
	admitted := place.index < 0
	g.mutex.Unlock()
	if admitted {
		return true
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-place.admitted:
		return true
	case <-timer.C:
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if place.index < 0 {
		// It was let in at the last moment.
		return true
	}
	heap.Remove(&g.waiting, place.index)
	g.room.gone(request.Class, time.Now())
	return false
}

// Result is how admitted work ended.
type Result uint8

// The results of admitted work.
const (
	// Ran: the server ran it.
	Ran Result = iota
	// Refused: the server had no slot and no place in its queue.
	Refused
	// Other: it ended in a way that says nothing of the server's load.
	Other
)

// Leave ends admitted work of a class.
func (g *Gate) Leave(class Class, result Result, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	full := g.running >= int(g.limit)
	g.running--
	g.room.left(class, now)
	switch {
	case result == Refused && now.Sub(g.decreased) > decreaseRest:
		g.limit = max(lowestLimit, min(g.limit, float64(g.running+1))*decrease)
		g.decreased = now
	case result == Ran && full:
		g.limit = min(g.highest, g.limit+increase/g.limit)
	}
	g.admit(now)
	g.pace.ended(now, g.running >= int(g.limit))
}

// Wake makes the gate look again: a connection has become free.
func (g *Gate) Wake() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.admit(time.Now())
}

// admit lets in what may run; the lock is held.
func (g *Gate) admit(now time.Time) {
	for g.running < int(g.limit) && len(g.waiting) > 0 {
		next := g.next(now)
		if next == nil {
			return
		}
		heap.Remove(&g.waiting, next.index)
		g.running++
		g.room.entered(next.class)
		close(next.admitted)
	}
}

// next returns the work that is let in next; nil if all that waits lacks a connection.
func (g *Gate) next(now time.Time) *waiter {
	first := g.first(now)
	if g.connections == nil {
		return first
	}
	if !g.connections.Available() {
		return g.firstOf(func(w *waiter) bool { return w.holds })
	}
	reuses := func(w *waiter) bool { return w.holds || g.connections.HasIdle(w.principal) }
	if reuses(first) {
		return first
	}
	full := first.class != Anywhere && g.room.full(int(g.limit))
	other := g.firstOf(func(w *waiter) bool { return reuses(w) && !(full && w.class == Anywhere) })
	if other != nil && other.rank.Before(first.rank.Add(reuseHeadStart)) {
		return other
	}
	return first
}

// first returns the first work in the order, now and then that which has waited longest. While
// work that other servers could take fills its room, work that runs only here goes first.
func (g *Gate) first(now time.Time) *waiter {
	first := g.waiting[0]
	if now.Sub(g.aged) >= agingInterval {
		g.aged = now
		return g.oldest()
	}
	if first.class != Anywhere || !g.room.full(int(g.limit)) {
		return first
	}
	if kept := g.firstOf(func(w *waiter) bool { return w.class != Anywhere }); kept != nil {
		return kept
	}
	return first
}

// oldest returns the work that has waited longest.
func (g *Gate) oldest() *waiter {
	oldest := g.waiting[0]
	for _, w := range g.waiting {
		if w.arrived.Before(oldest.arrived) {
			oldest = w
		}
	}
	return oldest
}

// firstOf returns the first work in the order that fits; nil if there is none.
func (g *Gate) firstOf(fits func(*waiter) bool) *waiter {
	var best *waiter
	for _, w := range g.waiting {
		if (best == nil || w.rank.Before(best.rank)) && fits(w) {
			best = w
		}
	}
	return best
}

// Load returns how many are running and waiting.
func (g *Gate) Load() (running, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.running, len(g.waiting)
}

// Limit returns the present limit.
func (g *Gate) Limit() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.limit
}

// waiter is work that waits; index is -1 once it has been let in.
type waiter struct {
	rank      time.Time
	arrived   time.Time
	class     Class
	principal string
	holds     bool
	admitted  chan struct{}
	index     int
}

// waitingList is a heap of waiters, the first to be let in on top.
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
	place := value.(*waiter)
	place.index = len(*l)
	*l = append(*l, place)
}

// Pop implements heap.Interface.
func (l *waitingList) Pop() any {
	last := len(*l) - 1
	place := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	place.index = -1
	return place
}
