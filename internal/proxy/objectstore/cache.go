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

// Cache is a Sink that stores the objects of one kind, forwards each call to the next sink, and
// answers listings and watches of other nodes. It is safe for concurrent use.
type Cache struct {
	next Sink

	mutex    sync.Mutex
	listed   bool
	revision era.Revision
	objects  map[string]Object
	// deleted holds recent removals for watchers that may not have received them.
	deleted []Object
	changed chan struct{}
	// confirmedAt is when the store itself last answered.
	confirmedAt time.Time
	// versions holds the base versions of patches.
	versions *versions
	// previousEraEnd is the last revision of the previous era that this cache received.
	previousEraEnd era.Revision
	// isNewer is nil if content of a later era always replaces the cached content.
	isNewer func(cached, listed []byte) bool
	// maxContentBytes is 0 without a limit.
	maxContentBytes int
}

// maxRemovals limits the removals that a cache remembers.
const maxRemovals = 256

// NewCache returns an empty cache that forwards to next.
func NewCache(next Sink) *Cache {
	return &Cache{next: next, objects: map[string]Object{}, changed: make(chan struct{}), versions: newVersions()}
}

// KeepNewest prevents a store that was restored from an older copy from replacing newer content: as
// long as isNewer reports that the cached content is newer than the listed one, the cache keeps and
// forwards the cached content. It must be called before the cache is used.
func (c *Cache) KeepNewest(isNewer func(cached, listed []byte) bool) { c.isNewer = isNewer }

// LimitContent makes the cache drop the content of larger objects, which are kept and forwarded
// without it. An object that any program may write then takes no more of the links between nodes
// than others. It must be called before the cache is used.
func (c *Cache) LimitContent(maxBytes int) { c.maxContentBytes = maxBytes }

// limitContent returns the objects without the content of those above the limit.
func (c *Cache) limitContent(objects []Object) []Object {
	isTooLarge := func(object Object) bool { return c.maxContentBytes > 0 && len(object.Content) > c.maxContentBytes }
	if !slices.ContainsFunc(objects, isTooLarge) {
		return objects
	}
	limited := slices.Clone(objects)
	for i := range limited {
		if isTooLarge(limited[i]) {
			limited[i].Content = nil
		}
	}
	return limited
}

// Reset implements Sink.
func (c *Cache) Reset(objects []Object, revision era.Revision) {
	objects = c.limitContent(objects)
	c.mutex.Lock()
	if c.enterEra(revision) {
		objects = c.carryOver(objects, revision)
	}
	c.listed = true
	c.revision = max(c.revision, revision)
	byName := make(map[string]Object, len(objects))
	for _, object := range objects {
		byName[object.Name] = object
	}
	for name, object := range c.objects {
		listed, found := byName[name]
		if !found {
			c.recordRemoval(object, revision)
			continue
		}
		c.keepReplaced(&object, &listed)
	}
	c.objects = byName
	c.wake()
	c.mutex.Unlock()
	c.next.Reset(objects, revision)
}

// Apply implements Sink.
func (c *Cache) Apply(events []Object, revision era.Revision) {
	events = c.limitContent(events)
	c.mutex.Lock()
	if c.enterEra(revision) {
		events = c.keepNewest(events)
	}
	c.revision = max(c.revision, revision)
	for _, event := range events {
		if event.Deleted {
			delete(c.objects, event.Name)
			// The event's own revision may be that of the object's last change, so it isn't used
			// here.
			c.recordRemoval(event, revision)
			continue
		}
		cached := c.objects[event.Name]
		c.keepReplaced(&cached, &event)
		c.objects[event.Name] = event
	}
	if len(events) > 0 {
		c.wake()
	}
	c.mutex.Unlock()
	c.next.Apply(events, revision)
}

// enterEra reports whether a revision is the first one of a later era, and then records where the
// previous era ended. The caller must hold the mutex.
func (c *Cache) enterEra(revision era.Revision) bool {
	if !c.listed || revision.Era() <= c.revision.Era() {
		return false
	}
	c.previousEraEnd = c.revision
	return true
}

// carryOver merges the first listing of an era with the cached objects. Unchanged objects keep
// their revision of the earlier era; otherwise watchers that have them already would receive all
// objects again. With KeepNewest, cached objects that the listing lacks are kept and get its
// revision. The caller must hold the mutex.
func (c *Cache) carryOver(listed []Object, revision era.Revision) []Object {
	carried := c.keepNewest(listed)
	found := make(map[string]bool, len(listed))
	for i := range carried {
		found[carried[i].Name] = true
		if cached, ok := c.objects[carried[i].Name]; ok && bytes.Equal(cached.Content, carried[i].Content) {
			carried[i] = cached
		}
	}
	if c.isNewer == nil {
		return carried
	}
	for name, cached := range c.objects {
		if !found[name] {
			cached.Revision = revision
			carried = append(carried, cached)
		}
	}
	return carried
}

// keepNewest replaces the content of changed objects by the cached content where that is newer, and
// omits removals of cached objects. It does so only with KeepNewest. The caller must hold the
// mutex.
func (c *Cache) keepNewest(changes []Object) []Object {
	if c.isNewer == nil {
		return slices.Clone(changes)
	}
	kept := make([]Object, 0, len(changes))
	for _, object := range changes {
		cached, found := c.objects[object.Name]
		if found && object.Deleted {
			continue
		}
		if found && c.isNewer(cached.Content, object.Content) {
			object.Content = cached.Content
		}
		kept = append(kept, object)
	}
	return kept
}

// Confirmed implements Sink.
func (c *Cache) Confirmed(began time.Time) {
	c.mutex.Lock()
	c.confirmedAt = began
	c.mutex.Unlock()
	c.next.Confirmed(began)
}

// Age returns the time since the store itself last answered this node.
func (c *Cache) Age() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.confirmedAt)
}

// Lost implements Sink.
func (c *Cache) Lost(err error) { c.next.Lost(err) }

// Regained implements Sink.
func (c *Cache) Regained() { c.next.Regained() }

// recordRemoval remembers a removal for watchers. The caller must hold the mutex.
func (c *Cache) recordRemoval(object Object, revision era.Revision) {
	object.Deleted, object.Revision, object.Content = true, revision, nil
	c.deleted = append(c.deleted, object)
	c.versions.drop(object.Name)
	if len(c.deleted) > maxRemovals {
		c.deleted = c.deleted[len(c.deleted)-maxRemovals:]
	}
}

// keepReplaced stores a version that is being replaced as a base of patches. The caller must hold
// the mutex.
func (c *Cache) keepReplaced(older, newer *Object) {
	if older.Revision < newer.Revision {
		c.versions.add(*older)
	}
}

func (c *Cache) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

var errNotListed = &Error{Outcome: NotDone, Detail: "the node has no listing yet"}

// Revision returns the revision up to which all changes are known. It fails before the first
// listing.
func (c *Cache) Revision() (era.Revision, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return 0, errNotListed
	}
	return c.revision, nil
}

// List returns all objects ordered by name. It fails before the first listing.
func (c *Cache) List() ([]Object, era.Revision, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return nil, 0, errNotListed
	}
	objects := make([]Object, 0, len(c.objects))
	for _, object := range c.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(first, second Object) int { return cmp.Compare(first.Name, second.Name) })
	return objects, c.revision, nil
}

// AwaitListed waits for the first listing, at most for wait.
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

// Watch returns the changes after a revision. If there are none yet, it waits for them, at most for
// wait.
func (c *Cache) Watch(ctx context.Context, after era.Revision, wait time.Duration) ([]Object, era.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, err := c.changesSince(after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, &Error{Outcome: Unknown, Detail: "the watch was canceled"}
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (c *Cache) changesSince(after era.Revision) ([]Object, era.Revision, chan struct{}, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed {
		return nil, 0, nil, errNotListed
	}
	if after.Era() > c.revision.Era() {
		return nil, 0, nil, &Error{Outcome: NotDone, Detail: "the node knows only an earlier era of the store"}
	}
	if after < c.oldestWatchable() || c.beyondPreviousEra(after) {
		return nil, 0, nil, &Error{Outcome: HistoryGone, Detail: "the node does not know all changes since that revision"}
	}
	var events []Object
	for _, object := range c.objects {
		if object.Revision > after {
			events = append(events, object)
		}
	}
	for _, object := range c.deleted {
		if _, present := c.objects[object.Name]; !present && object.Revision > after {
			events = append(events, object)
		}
	}
	slices.SortFunc(events, func(first, second Object) int { return cmp.Compare(first.Revision, second.Revision) })
	return events, c.revision, c.changed, nil
}

// beyondPreviousEra reports whether a revision belongs to an earlier era and is later than the last
// one that this cache received of that era. The cache then doesn't know which changes in between
// the restore of the store has undone.
func (c *Cache) beyondPreviousEra(after era.Revision) bool {
	return after.Era() < c.revision.Era() && after > c.previousEraEnd
}

// oldestWatchable returns the earliest revision from which all later removals are still remembered.
func (c *Cache) oldestWatchable() era.Revision {
	if len(c.deleted) < maxRemovals {
		return 0
	}
	return c.deleted[0].Revision
}
