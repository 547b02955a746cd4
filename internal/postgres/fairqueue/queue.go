// Package fairqueue orders the waiting requests of several callers.
//
// Callers share two resources: slots, one for each running statement, and connections,
// which a transaction keeps while it is idle as well. A Queue has a first-in, first-out
// list for each caller and picks the next caller by a discipline. It is deterministic and
// not safe for concurrent use.
package fairqueue

import "sort"

// Discipline is the rule by which the next caller is picked.
type Discipline uint8

// The disciplines.
const (
	// WeightedFair picks the caller that has received the least service relative to its
	// weight (start-time fair queueing).
	WeightedFair Discipline = iota
	// FirstInFirstOut serves items in the order of their arrival, regardless of callers.
	FirstInFirstOut
	// DominantResource picks the caller with the smallest dominant share in use: the
	// larger of its shares of the two resources, divided by its weight. See
	// "Hierarchical Scheduling for Diverse Datacenter Workloads" (H-DRF).
	DominantResource
)

// Resources is an amount of the two shared resources.
type Resources struct {
	Slots       int
	Connections int
}

type caller[T any] struct {
	name    string
	weight  float64
	service float64 // virtual time: received service divided by weight
	usage   Resources
	waiting []entry[T]
}

type entry[T any] struct {
	item          T
	arrivalNumber uint64
}

// Queue holds the waiting items of several callers.
type Queue[T any] struct {
	discipline Discipline
	capacity   Resources
	callers    map[string]*caller[T]
	// activeCallers holds the callers with waiting items, sorted by name.
	activeCallers []*caller[T]
	virtualTime   float64
	lastArrival   uint64
	length        int
}

// New returns an empty queue for resources with the given capacity.
func New[T any](discipline Discipline, capacity Resources) *Queue[T] {
	return &Queue[T]{discipline: discipline, capacity: capacity, callers: map[string]*caller[T]{}}
}

// SetCapacity changes the capacity that shares are relative to.
func (q *Queue[T]) SetCapacity(capacity Resources) { q.capacity = capacity }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

func (q *Queue[T]) caller(name string) *caller[T] {
	found, ok := q.callers[name]
	if !ok {
		found = &caller[T]{name: name, weight: 1, service: q.virtualTime}
		q.callers[name] = found
	}
	return found
}

// Push appends an item to a caller's list and sets the caller's weight.
func (q *Queue[T]) Push(name string, weight int, item T) {
	c := q.caller(name)
	c.weight = float64(max(weight, 1))
	if len(c.waiting) == 0 {
		c.service = max(c.service, q.virtualTime)
		q.activate(c)
	}
	q.lastArrival++
	q.length++
	c.waiting = append(c.waiting, entry[T]{item: item, arrivalNumber: q.lastArrival})
}

func (q *Queue[T]) activate(c *caller[T]) {
	at := sort.Search(len(q.activeCallers), func(index int) bool { return q.activeCallers[index].name >= c.name })
	q.activeCallers = append(q.activeCallers, nil)
	copy(q.activeCallers[at+1:], q.activeCallers[at:])
	q.activeCallers[at] = c
}

func (q *Queue[T]) deactivate(c *caller[T]) {
	for index, candidate := range q.activeCallers {
		if candidate == c {
			q.activeCallers = append(q.activeCallers[:index], q.activeCallers[index+1:]...)
			return
		}
	}
}

// Pop removes and returns the next item for which runnable is true. Only the first item
// of each caller is considered.
func (q *Queue[T]) Pop(runnable func(T) bool) (item T, ok bool) {
	var best *caller[T]
	for _, candidate := range q.activeCallers {
		if (best == nil || q.precedes(candidate, best)) && runnable(candidate.waiting[0].item) {
			best = candidate
		}
	}
	if best == nil {
		return item, false
	}
	item = best.waiting[0].item
	q.removeAt(best, 0)
	q.virtualTime = max(q.virtualTime, best.service)
	best.service += 1 / best.weight
	return item, true
}

func (q *Queue[T]) precedes(first, second *caller[T]) bool {
	switch q.discipline {
	case FirstInFirstOut:
		return first.waiting[0].arrivalNumber < second.waiting[0].arrivalNumber
	case DominantResource:
		firstShare, secondShare := q.dominantShare(first), q.dominantShare(second)
		if firstShare != secondShare {
			return firstShare < secondShare
		}
	}
	return first.service < second.service
}

func (q *Queue[T]) dominantShare(c *caller[T]) float64 {
	slots := float64(c.usage.Slots) / float64(max(q.capacity.Slots, 1))
	connections := float64(c.usage.Connections) / float64(max(q.capacity.Connections, 1))
	return max(slots, connections) / c.weight
}

func (q *Queue[T]) removeAt(c *caller[T], index int) {
	c.waiting = append(c.waiting[:index], c.waiting[index+1:]...)
	q.length--
	if len(c.waiting) == 0 {
		q.deactivate(c)
	}
}

// RemoveIf removes and returns all items for which remove is true.
func (q *Queue[T]) RemoveIf(remove func(T) bool) []T {
	var removed []T
	for _, c := range append([]*caller[T](nil), q.activeCallers...) {
		for index := 0; index < len(c.waiting); {
			if item := c.waiting[index].item; remove(item) {
				removed = append(removed, item)
				q.removeAt(c, index)
				continue
			}
			index++
		}
	}
	return removed
}

// Acquire records that a caller has acquired resources.
func (q *Queue[T]) Acquire(name string, amount Resources) {
	c := q.caller(name)
	c.usage.Slots += amount.Slots
	c.usage.Connections += amount.Connections
}

// Release records that a caller has released resources.
func (q *Queue[T]) Release(name string, amount Resources) {
	c := q.caller(name)
	c.usage.Slots -= amount.Slots
	c.usage.Connections -= amount.Connections
	if len(c.waiting) == 0 && c.usage == (Resources{}) && c.service <= q.virtualTime {
		delete(q.callers, name)
	}
}
