package objectstore

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dewknot/internal/base/era"
)

// Cache keeps what a sink was told of one kind, passes it on, and answers
// listings and watches of other nodes from it. It is safe for concurrent use.
type Cache struct {
	next Sink

	mutex    sync.Mutex
	listed   bool
	revision era.Revision
	objects  map[string]Object
	// deleted keeps removals that watchers may not have seen.
	deleted []Object
	changed chan struct{}
	// confirmed is when the store itself last answered.
	confirmed time.Time
	// versions are the bases of patches.
	versions *versions
	// beforeEra is up to where changes were known when the present era began here.
	beforeEra era.Revision
	// outdates is nil if what is listed in a later era counts whatever it says.
	outdates func(known, listed []byte) bool
}

// keptRemovals bounds the removals that a cache remembers.
const keptRemovals = 256

// NewCache returns an empty cache before a sink.
func NewCache(next Sink) *Cache {
	return &Cache{next: next, objects: map[string]Object{}, changed: make(chan struct{}), versions: newVersions()}
}

// KeepNewest makes the cache keep and pass on what it knows of an object, whatever a store
// that came back from an older copy says, while outdates reports that the listed content is
// older than the known one. It is called before the cache is used.
func (c *Cache) KeepNewest(outdates func(known, listed []byte) bool) { c.outdates = outdates }

// Reset implements Sink.
func (c *Cache) Reset(objects []Object, revision era.Revision) {
	c.mutex.Lock()
	if c.enterEra(revision) {
		objects = c.carryOver(objects, revision)
	}
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
func (c *Cache) Apply(events []Object, revision era.Revision) {
	c.mutex.Lock()
	if c.enterEra(revision) {
		events = c.keepNewest(events)
	}
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

// enterEra notes that changes up to a revision are known, and reports whether it is the first
// one of a later era; the lock is held.
func (c *Cache) enterEra(revision era.Revision) bool {
	if !c.listed || revision.Era() <= c.revision.Era() {
		return false
	}
	c.beforeEra = c.revision
	return true
}

// carryOver returns the objects of the first listing of an era as they count here; the lock
// is held. What has not changed keeps its revision, so that nodes which knew it in the
// earlier era are not told of it again: the whole directory would else be told to each.
func (c *Cache) carryOver(listed []Object, revision era.Revision) []Object {
	carried := c.keepNewest(listed)
	found := make(map[string]bool, len(listed))
	for i := range carried {
		found[carried[i].Name] = true
		if known, is := c.objects[carried[i].Name]; is && bytes.Equal(known.Content, carried[i].Content) {
			carried[i] = known
		}
	}
	if c.outdates == nil {
		return carried
	}
	for name, known := range c.objects {
		if !found[name] {
			known.Revision = revision
			carried = append(carried, known)
		}
	}
	return carried
}

// keepNewest puts the known content of objects in place of one that it outdates; the lock is
// held.
func (c *Cache) keepNewest(told []Object) []Object {
	if c.outdates == nil {
		return slices.Clone(told)
	}
	kept := make([]Object, 0, len(told))
	for _, object := range told {
		known, found := c.objects[object.Name]
		if found && object.Deleted {
			continue
		}
		if found && c.outdates(known.Content, object.Content) {
			object.Content = known.Content
		}
		kept = append(kept, object)
	}
	return kept
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
func (c *Cache) remove(object Object, revision era.Revision) {
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
func (c *Cache) Revision() (era.Revision, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return 0, errNothingListed
	}
	return c.revision, nil
}

// List returns all objects, or an error if none were ever listed.
func (c *Cache) List() ([]Object, era.Revision, error) {
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

// AwaitListed waits up to wait until anything was listed.
func (c *Cache) AwaitListed(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mutex.Lock()
		listed, changed := c.listed, c.changed
		c.mutex.Unlock()
		if listed {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// Watch waits up to wait for changes after a revision.
func (c *Cache) Watch(ctx context.Context, after era.Revision, wait time.Duration) ([]Object, era.Revision, error) {
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

func (c *Cache) since(after era.Revision) ([]Object, era.Revision, chan struct{}, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return nil, 0, nil, errNothingListed
	}
	if after.Era() > c.revision.Era() {
		return nil, 0, nil, &Error{Outcome: NotDone, Detail: "the node knows an earlier era of the store only"}
	}
	if after < c.oldestKnown() || c.beyondCopy(after) {
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

// beyondCopy reports whether a revision is of an earlier era and later than what this cache
// knew of that era: what has changed in between is not known here to have been undone.
func (c *Cache) beyondCopy(after era.Revision) bool {
	return after.Era() < c.revision.Era() && after > c.beforeEra
}

// oldestKnown is the revision since which no removal was forgotten.
func (c *Cache) oldestKnown() era.Revision {
	if len(c.deleted) < keptRemovals {
		return 0
	}
	return c.deleted[0].Revision
}
