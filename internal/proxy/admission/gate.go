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

// priorityStep is the head start of a priority over the next lower one.
const priorityStep = 30 * time.Millisecond

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
	waiting   waitingList
	decreased time.Time
	pace      pace
}

// NewGate returns a gate that begins with a limit and never lets more than
// highest run at a time.
func NewGate(limit, highest int) *Gate {
	return &Gate{limit: float64(limit), highest: float64(highest)}
}

// Request is work that asks to pass.
type Request struct {
	Class Class
	// Priority 0 is the highest.
	Priority int
	Arrived  time.Time
}

func (r *Request) rank() time.Time {
	return r.Arrived.Add(time.Duration(r.Priority)*priorityStep - headStarts[r.Class])
}

// Enter waits for leave to run until deadline and reports whether it was given.
// Work that was let in must call Leave.
func (g *Gate) Enter(request Request, deadline time.Time) bool {
	g.mutex.Lock()
	if g.running < int(g.limit) && len(g.waiting) == 0 {
		g.running++
		g.mutex.Unlock()
		return true
	}
	place := &waiter{rank: request.rank(), admitted: make(chan struct{})}
	heap.Push(&g.waiting, place)
	g.mutex.Unlock()
	timer := time.NewTimer(time.Until(deadline))
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

// Leave ends admitted work.
func (g *Gate) Leave(result Result, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	full := g.running >= int(g.limit)
	g.running--
	switch {
	case result == Refused && now.Sub(g.decreased) > decreaseRest:
		g.limit = max(lowestLimit, min(g.limit, float64(g.running+1))*decrease)
		g.decreased = now
	case result == Ran && full:
		g.limit = min(g.highest, g.limit+increase/g.limit)
	}
	for g.running < int(g.limit) && len(g.waiting) > 0 {
		next := heap.Pop(&g.waiting).(*waiter)
		g.running++
		close(next.admitted)
	}
	g.pace.ended(now, g.running >= int(g.limit))
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
	rank     time.Time
	admitted chan struct{}
	index    int
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
