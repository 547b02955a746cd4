package objectstore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Cache keeps what a sink was told of one kind, passes it on, and answers
// listings and watches of other nodes from it. It is safe for concurrent use.
type Cache struct {
	next Sink

	mutex    sync.Mutex
	listed   bool
	revision uint64
	objects  map[string]Object
	// deleted keeps removals that watchers may not have seen.
	deleted []Object
	changed chan struct{}
	// confirmed is when the store itself last answered.
	confirmed time.Time
	// versions are the bases of patches.
	versions *versions
}

// keptRemovals bounds the removals that a cache remembers.
const keptRemovals = 256

// NewCache returns an empty cache before a sink.
func NewCache(next Sink) *Cache {
	return &Cache{next: next, objects: map[string]Object{}, changed: make(chan struct{}), versions: newVersions()}
}

// Reset implements Sink.
func (c *Cache) Reset(objects []Object, revision uint64) {
	c.mutex.Lock()
	c.listed = true
	c.revision = max(c.revision, revision)
	kept := make(map[string]Object, len(objects))
	for _, object := range objects {
		kept[object.Name] = object
	}
	for name, object := range c.objects {
		listed, found := kept[name]
		if !found {
			c.remove(object, revision)
			continue
		}
		c.replaced(&object, &listed)
	}
	c.objects = kept
	c.wake()
	c.mutex.Unlock()
	c.next.Reset(objects, revision)
}

// Apply implements Sink.
func (c *Cache) Apply(events []Object, revision uint64) {
	c.mutex.Lock()
	c.revision = max(c.revision, revision)
	for _, event := range events {
		if event.Deleted {
			delete(c.objects, event.Name)
			// The event's own revision may be that of the object's last change.
			c.remove(event, revision)
			continue
		}
		known := c.objects[event.Name]
		c.replaced(&known, &event)
		c.objects[event.Name] = event
	}
	if len(events) > 0 {
		c.wake()
	}
	c.mutex.Unlock()
	c.next.Apply(events, revision)
}

// Confirmed implements Sink.
func (c *Cache) Confirmed(now time.Time) {
	c.mutex.Lock()
	c.confirmed = now
	c.mutex.Unlock()
	c.next.Confirmed(now)
}

// Age returns the time since the store itself last answered this node.
func (c *Cache) Age() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.confirmed)
}

// Lost implements Sink.
func (c *Cache) Lost(err error) { c.next.Lost(err) }

// Regained implements Sink.
func (c *Cache) Regained() { c.next.Regained() }

// remove remembers a removal; the lock is held.
func (c *Cache) remove(object Object, revision uint64) {
	object.Deleted, object.Revision, object.Content = true, revision, nil
	c.deleted = append(c.deleted, object)
	c.versions.drop(object.Name)
	if len(c.deleted) > keptRemovals {
		c.deleted = c.deleted[len(c.deleted)-keptRemovals:]
	}
}

// replaced keeps the version that another one replaces as a base of patches; the
// lock is held.
func (c *Cache) replaced(older, newer *Object) {
	if older.Revision < newer.Revision {
		c.versions.keep(*older)
	}
}

func (c *Cache) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

var errNothingListed = &Error{Outcome: NotDone, Detail: "the node has listed nothing yet"}

// Revision returns the revision up to which changes are known, or an error if none
// were ever listed.
func (c *Cache) Revision() (uint64, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return 0, errNothingListed
	}
	return c.revision, nil
}

// List returns all objects, or an error if none were ever listed.
func (c *Cache) List() ([]Object, uint64, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return nil, 0, errNothingListed
	}
	objects := make([]Object, 0, len(c.objects))
	for _, object := range c.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(first, second Object) int { return cmp.Compare(first.Name, second.Name) })
	return objects, c.revision, nil
}

// Watch waits up to wait for changes after a revision.
func (c *Cache) Watch(ctx context.Context, after uint64, wait time.Duration) ([]Object, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, err := c.since(after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, &Error{Outcome: Unknown, Detail: "the watch was ended"}
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (c *Cache) since(after uint64) ([]Object, uint64, chan struct{}, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return nil, 0, nil, errNothingListed
	}
	if after < c.oldestKnown() {
		return nil, 0, nil, &Error{Outcome: HistoryGone, Detail: "the node does not know all changes since then"}
	}
	var events []Object
	for _, object := range c.objects {
		if object.Revision > after {
			events = append(events, object)
		}
	}
	for _, object := range c.deleted {
		if _, back := c.objects[object.Name]; !back && object.Revision > after {
			events = append(events, object)
		}
	}
	slices.SortFunc(events, func(first, second Object) int { return cmp.Compare(first.Revision, second.Revision) })
	return events, c.revision, c.changed, nil
}

// oldestKnown is the revision since which no removal was forgotten.
func (c *Cache) oldestKnown() uint64 {
	if len(c.deleted) < keptRemovals {
		return 0
	}
	return c.deleted[0].Revision
}
