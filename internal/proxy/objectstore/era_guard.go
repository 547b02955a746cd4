package objectstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/era"
)

// EraGuard wraps a store and accepts only answers of the latest known era. The store compares only
// the numbers of revisions and reuses them in a new era, so a condition on a revision of an earlier
// era may match another change by coincidence. EraGuard is safe for concurrent use.
type EraGuard struct {
	store Store
	// onRestore is called when a later era replaces a known one.
	onRestore func(earlier, later uint64)

	mu      sync.Mutex
	learned bool // an era is known
	latest  uint64
}

// NewEraGuard returns an EraGuard of a store. It calls onRestore, without holding a lock, when the
// store turns out to have been restored from an older copy.
func NewEraGuard(store Store, onRestore func(earlier, later uint64)) *EraGuard {
	return &EraGuard{store: store, onRestore: onRestore}
}

// Era returns the latest known era.
func (g *EraGuard) Era() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.latest
}

// LearnEra records an era reported by the store or by another node. It returns false if a later era
// is known.
func (g *EraGuard) LearnEra(newEra uint64) bool {
	g.mu.Lock()
	earlier, first := g.latest, !g.learned
	g.learned = true
	if newEra < earlier {
		g.mu.Unlock()
		return false
	}
	g.latest = newEra
	g.mu.Unlock()
	if !first && newEra > earlier {
		g.onRestore(earlier, newEra)
	}
	return true
}

// checkEra records the era of an answer. It fails with the given outcome if a later era is known.
func (g *EraGuard) checkEra(answerEra uint64, outcome Outcome) error {
	if g.LearnEra(answerEra) {
		return nil
	}
	return &Error{Outcome: outcome, Detail: fmt.Sprintf("the store answered in era %d; a later one is known", answerEra), Era: answerEra}
}

// learnFromError records the era named by the error of a failed call, and returns the error.
func (g *EraGuard) learnFromError(err error) error {
	var storeErr *Error
	if errors.As(err, &storeErr) && storeErr.Era > 0 {
		g.LearnEra(storeErr.Era)
	}
	return err
}

// List implements Store.
func (g *EraGuard) List(ctx context.Context, kind string) ([]Object, era.Revision, error) {
	objects, revision, err := g.store.List(ctx, kind)
	if err != nil {
		return nil, 0, g.learnFromError(err)
	}
	if err := g.checkEra(revision.Era(), NotDone); err != nil {
		return nil, 0, err
	}
	return objects, revision, nil
}

// ListStale implements Store.
func (g *EraGuard) ListStale(ctx context.Context, kind string) ([]Object, error) {
	objects, err := g.store.ListStale(ctx, kind)
	if err != nil {
		return nil, g.learnFromError(err)
	}
	if len(objects) > 0 {
		if err := g.checkEra(objects[0].Revision.Era(), NotDone); err != nil {
			return nil, err
		}
	}
	return objects, nil
}

// Watch implements Store. It fails with HistoryGone if the store's era is not that of the revision.
func (g *EraGuard) Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error) {
	events, revision, err := g.store.Watch(ctx, kind, after, wait)
	if err != nil {
		return nil, 0, g.learnFromError(err)
	}
	if err := g.checkEra(revision.Era(), NotDone); err != nil {
		return nil, 0, err
	}
	if revision.Era() != after.Era() {
		return nil, 0, &Error{Outcome: HistoryGone, Detail: "the store was restored from an older copy", Era: revision.Era()}
	}
	return events, revision, nil
}

// Get implements Store.
func (g *EraGuard) Get(ctx context.Context, kind, name string) (Object, error) {
	object, err := g.store.Get(ctx, kind, name)
	if err != nil {
		return object, g.learnFromError(err)
	}
	return object, g.checkEra(object.Revision.Era(), NotDone)
}

// GetStale implements Store.
func (g *EraGuard) GetStale(ctx context.Context, kind, name string) (Object, error) {
	object, err := g.store.GetStale(ctx, kind, name)
	if err != nil {
		return object, g.learnFromError(err)
	}
	return object, g.checkEra(object.Revision.Era(), NotDone)
}

// Create implements Store.
func (g *EraGuard) Create(ctx context.Context, kind, name string, content []byte) (Object, error) {
	object, err := g.store.Create(ctx, kind, name, content)
	if err != nil {
		return object, g.learnFromError(err)
	}
	return object, g.checkEra(object.Revision.Era(), Unknown)
}

// Replace implements Store.
func (g *EraGuard) Replace(ctx context.Context, kind, name string, revision era.Revision, content []byte) (Object, error) {
	if revision.Era() < g.Era() {
		return Object{}, earlierEraError(revision)
	}
	object, err := g.store.Replace(ctx, kind, name, revision, content)
	if err != nil {
		return object, g.learnFromError(err)
	}
	return object, g.checkCondition(revision, object.Revision.Era())
}

// Delete implements Store.
func (g *EraGuard) Delete(ctx context.Context, kind, name string, revision era.Revision) (uint64, error) {
	if revision.Era() < g.Era() {
		return 0, earlierEraError(revision)
	}
	answerEra, err := g.store.Delete(ctx, kind, name, revision)
	if err != nil {
		return answerEra, g.learnFromError(err)
	}
	return answerEra, g.checkCondition(revision, answerEra)
}

// earlierEraError is the error of a change whose condition is on a revision of an earlier era. Such
// a change isn't sent to the store.
func earlierEraError(revision era.Revision) error {
	return &Error{Outcome: Conflict, Detail: fmt.Sprintf("revision %s belongs to an earlier era", revision)}
}

// checkCondition verifies a change that the store has executed on a condition. If the store's era
// is not that of the condition, the condition matched by coincidence and the outcome is Unknown.
func (g *EraGuard) checkCondition(condition era.Revision, answerEra uint64) error {
	if err := g.checkEra(answerEra, Unknown); err != nil {
		return err
	}
	if answerEra != condition.Era() {
		return &Error{Outcome: Unknown, Detail: fmt.Sprintf("the condition on revision %s matched a revision of era %d", condition, answerEra), Era: answerEra}
	}
	return nil
}
