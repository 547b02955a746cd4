// Package fairqueue orders waiting requests among callers.
//
// Two resources are shared: slots (statements running) and connections (held
// through a transaction, also while its caller thinks). The queue keeps one
// first-in first-out list a caller and picks the next caller by a discipline.
// The package is pure and deterministic.
package fairqueue

import "sort"

// Discipline is the rule by which the next caller is picked.
type Discipline uint8

// The disciplines. docs/MEASUREMENTS.md compares them.
const (
	// WeightedFair picks the caller with the least service received for its
	// weight (start-time fair queueing).
	WeightedFair Discipline = iota
	// FirstInFirstOut ignores callers.
	FirstInFirstOut
	// DominantResource picks the caller whose larger share of the two resources,
	// divided by its weight, is smallest at the moment. It follows the idea of
	// dominant-resource fairness in "Multi-Resource Fair Queueing... Hierarchical
	// Scheduling for Diverse Datacenter Workloads (H-DRF)".
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
	service float64 // virtual time: service received divided by weight
	usage   Resources
	waiting []entry[T]
}

type entry[T any] struct {
	item    T
	arrival uint64
}

// Queue holds waiting items of many callers.
type Queue[T any] struct {
	discipline Discipline
	capacity   Resources
	callers    map[string]*caller[T]
	// active lists callers with waiting items in the order of their names.
	active   []*caller[T]
	virtual  float64
	arrivals uint64
	length   int
}

// New returns an empty queue for resources of a given capacity.
func New[T any](discipline Discipline, capacity Resources) *Queue[T] {
	return &Queue[T]{discipline: discipline, capacity: capacity, callers: map[string]*caller[T]{}}
}

// SetCapacity changes the capacity against which shares are computed.
func (q *Queue[T]) SetCapacity(capacity Resources) { q.capacity = capacity }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

func (q *Queue[T]) caller(name string) *caller[T] {
	found, ok := q.callers[name]
	if !ok {
		found = &caller[T]{name: name, weight: 1, service: q.virtual}
		q.callers[name] = found
	}
	return found
}

// Push appends an item of a caller with the caller's weight.
func (q *Queue[T]) Push(name string, weight int, item T) {
	owner := q.caller(name)
	owner.weight = float64(max(weight, 1))
	if len(owner.waiting) == 0 {
		owner.service = max(owner.service, q.virtual)
		q.activate(owner)
	}
	q.arrivals++
	q.length++
	owner.waiting = append(owner.waiting, entry[T]{item: item, arrival: q.arrivals})
}

func (q *Queue[T]) activate(owner *caller[T]) {
	at := sort.Search(len(q.active), func(index int) bool { return q.active[index].name >= owner.name })
	q.active = append(q.active, nil)
	copy(q.active[at+1:], q.active[at:])
	q.active[at] = owner
}

func (q *Queue[T]) deactivate(owner *caller[T]) {
	for index, candidate := range q.active {
		if candidate == owner {
			q.active = append(q.active[:index], q.active[index+1:]...)
			return
		}
	}
}

// Pop removes the next item by the discipline among those that runnable
// accepts; only the first item of each caller is offered.
func (q *Queue[T]) Pop(runnable func(T) bool) (item T, ok bool) {
	var best *caller[T]
	for _, candidate := range q.active {
		if (best == nil || q.before(candidate, best)) && runnable(candidate.waiting[0].item) {
			best = candidate
		}
	}
	if best == nil {
		return item, false
	}
	item = best.waiting[0].item
	q.drop(best, 0)
	q.virtual = max(q.virtual, best.service)
	best.service += 1 / best.weight
	return item, true
}

func (q *Queue[T]) before(first, second *caller[T]) bool {
	switch q.discipline {
	case FirstInFirstOut:
		return first.waiting[0].arrival < second.waiting[0].arrival
	case DominantResource:
		firstShare, secondShare := q.dominantShare(first), q.dominantShare(second)
		if firstShare != secondShare {
			return firstShare < secondShare
		}
	}
	return first.service < second.service
}

func (q *Queue[T]) dominantShare(owner *caller[T]) float64 {
	slots := float64(owner.usage.Slots) / float64(max(q.capacity.Slots, 1))
	connections := float64(owner.usage.Connections) / float64(max(q.capacity.Connections, 1))
	return max(slots, connections) / owner.weight
}

func (q *Queue[T]) drop(owner *caller[T], index int) {
	owner.waiting = append(owner.waiting[:index], owner.waiting[index+1:]...)
	q.length--
	if len(owner.waiting) == 0 {
		q.deactivate(owner)
	}
}

// RemoveIf removes and returns all items for which remove is true.
func (q *Queue[T]) RemoveIf(remove func(T) bool) []T {
	var removed []T
	for _, owner := range append([]*caller[T](nil), q.active...) {
		for index := 0; index < len(owner.waiting); {
			if item := owner.waiting[index].item; remove(item) {
				removed = append(removed, item)
				q.drop(owner, index)
				continue
			}
			index++
		}
	}
	return removed
}

// Acquire notes that a caller has taken resources.
func (q *Queue[T]) Acquire(name string, amount Resources) {
	owner := q.caller(name)
	owner.usage.Slots += amount.Slots
	owner.usage.Connections += amount.Connections
}

// Release notes that a caller has given resources back.
func (q *Queue[T]) Release(name string, amount Resources) {
	owner := q.caller(name)
	owner.usage.Slots -= amount.Slots
	owner.usage.Connections -= amount.Connections
	if len(owner.waiting) == 0 && owner.usage == (Resources{}) && owner.service <= q.virtual {
		delete(q.callers, name)
	}
}
