package objectstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/era"
)

// Guarded is a store of which only answers of the latest known era count. The store itself
// compares numbers, which it gives out again in a new era: a condition on a change of an
// earlier era may then hold by chance. It is safe for concurrent use.
type Guarded struct {
	store Store
	// restored is told when a later era is learned than the one known before.
	restored func(earlier, later uint64)

	mu     sync.Mutex
	heard  bool
	latest uint64
}

// NewGuarded returns a guarded store. restored is called, without a lock held, when the
// store turns out to have come back from an older copy.
func NewGuarded(store Store, restored func(earlier, later uint64)) *Guarded {
	return &Guarded{store: store, restored: restored}
}

// Era returns the latest era known.
func (g *Guarded) Era() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.latest
}

// Learn takes note of an era of which the store or another node has told. It reports false
// if a later one is known.
func (g *Guarded) Learn(told uint64) bool {
	g.mu.Lock()
	earlier, first := g.latest, !g.heard
	g.heard = true
	if told < earlier {
		g.mu.Unlock()
		return false
	}
	g.latest = told
	g.mu.Unlock()
	if !first && told > earlier {
		g.restored(earlier, told)
	}
	return true
}

// learn takes note of the era of an answer; it fails if a later one is known.
func (g *Guarded) learn(answered uint64, outcome Outcome) error {
	if g.Learn(answered) {
		return nil
	}
	return &Error{Outcome: outcome, Detail: fmt.Sprintf("the store answered in era %d; a later one is known", answered), Era: answered}
}

// failed takes note of the era that a failed call names.
func (g *Guarded) failed(err error) error {
	var told *Error
	if errors.As(err, &told) && told.Era > 0 {
		g.Learn(told.Era)
	}
	return err
}

// List implements Store.
func (g *Guarded) List(ctx context.Context, kind string) ([]Object, era.Revision, error) {
	objects, revision, err := g.store.List(ctx, kind)
	if err != nil {
		return nil, 0, g.failed(err)
	}
	if err := g.learn(revision.Era(), NotDone); err != nil {
		return nil, 0, err
	}
	return objects, revision, nil
}

// ListStale implements Store.
func (g *Guarded) ListStale(ctx context.Context, kind string) ([]Object, error) {
	objects, err := g.store.ListStale(ctx, kind)
	if err != nil {
		return nil, g.failed(err)
	}
	if len(objects) > 0 {
		if err := g.learn(objects[0].Revision.Era(), NotDone); err != nil {
			return nil, err
		}
	}
	return objects, nil
}

// Watch implements Store. Changes after a revision of an earlier era are not known.
func (g *Guarded) Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error) {
	events, revision, err := g.store.Watch(ctx, kind, after, wait)
	if err != nil {
		return nil, 0, g.failed(err)
	}
	if err := g.learn(revision.Era(), NotDone); err != nil {
		return nil, 0, err
	}
	if revision.Era() != after.Era() {
		return nil, 0, &Error{Outcome: HistoryGone, Detail: "the store has come back from an older copy", Era: revision.Era()}
	}
	return events, revision, nil
}

// Get implements Store.
func (g *Guarded) Get(ctx context.Context, kind, name string) (Object, error) {
	object, err := g.store.Get(ctx, kind, name)
	if err != nil {
		return object, g.failed(err)
	}
	return object, g.learn(object.Revision.Era(), NotDone)
}

// GetStale implements Store.
func (g *Guarded) GetStale(ctx context.Context, kind, name string) (Object, error) {
	object, err := g.store.GetStale(ctx, kind, name)
	if err != nil {
		return object, g.failed(err)
	}
	return object, g.learn(object.Revision.Era(), NotDone)
}

// Create implements Store.
func (g *Guarded) Create(ctx context.Context, kind, name string, content []byte) (Object, error) {
	object, err := g.store.Create(ctx, kind, name, content)
	if err != nil {
		return object, g.failed(err)
	}
	return object, g.learn(object.Revision.Era(), Unknown)
}

// Replace implements Store.
func (g *Guarded) Replace(ctx context.Context, kind, name string, revision era.Revision, content []byte) (Object, error) {
	if revision.Era() < g.Era() {
		return Object{}, outdated(revision)
	}
	object, err := g.store.Replace(ctx, kind, name, revision, content)
	if err != nil {
		return object, g.failed(err)
	}
	return object, g.settle(revision, object.Revision.Era())
}

// Delete implements Store.
func (g *Guarded) Delete(ctx context.Context, kind, name string, revision era.Revision) (uint64, error) {
	if revision.Era() < g.Era() {
		return 0, outdated(revision)
	}
	answered, err := g.store.Delete(ctx, kind, name, revision)
	if err != nil {
		return answered, g.failed(err)
	}
	return answered, g.settle(revision, answered)
}

// outdated refuses a change under the condition of an earlier era, without a call.
func outdated(revision era.Revision) error {
	return &Error{Outcome: Conflict, Detail: fmt.Sprintf("revision %s is of an earlier era", revision)}
}

// settle decides what a change that the store has done under a condition is worth.
func (g *Guarded) settle(condition era.Revision, answered uint64) error {
	if err := g.learn(answered, Unknown); err != nil {
		return err
	}
	if answered != condition.Era() {
		return &Error{Outcome: Unknown, Detail: fmt.Sprintf("the condition on revision %s held by chance in era %d", condition, answered), Era: answered}
	}
	return nil
}
