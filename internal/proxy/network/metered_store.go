package network

import (
	"context"
	"maps"
	"sync"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/objectstore"
)

// MetricsNamespace is the prefix of all metric names.
const MetricsNamespace = "dewknot"

// storeCalls counts calls to the store by call and kind. It is safe for concurrent use.
type storeCalls struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *storeCalls) add(call, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count = map[string]int{}
	}
	c.count[call+" "+kind]++
}

// snapshot returns a copy of the counts.
func (c *storeCalls) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.count)
}

// meteredStore counts the calls to the store, which may be billed per call, and records whether the
// store is reachable.
type meteredStore struct {
	objectstore.Store
	node *Network
}

// count records a call and its outcome.
func (m *meteredStore) count(call, kind string, err error) {
	outcome := "done"
	if err != nil {
		outcome = objectstore.OutcomeOf(err).String()
	}
	m.node.calls.add(call, kind)
	if counter := m.node.ports.StoreCalls; counter != nil {
		counter.WithLabelValues(call, kind, outcome).Inc()
	}
	m.node.reachability.recordStore(outcome != objectstore.Unknown.String(), time.Now())
}

// List implements objectstore.Store.
func (m *meteredStore) List(ctx context.Context, kind string) ([]objectstore.Object, era.Revision, error) {
	objects, revision, err := m.Store.List(ctx, kind)
	m.count("list", kind, err)
	return objects, revision, err
}

// ListStale implements objectstore.Store.
func (m *meteredStore) ListStale(ctx context.Context, kind string) ([]objectstore.Object, error) {
	objects, err := m.Store.ListStale(ctx, kind)
	m.count("list_stale", kind, err)
	return objects, err
}

// Watch implements objectstore.Store.
func (m *meteredStore) Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]objectstore.Object, era.Revision, error) {
	events, revision, err := m.Store.Watch(ctx, kind, after, wait)
	m.count("watch", kind, err)
	return events, revision, err
}

// Get implements objectstore.Store.
func (m *meteredStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	object, err := m.Store.Get(ctx, kind, name)
	m.count("get", kind, err)
	return object, err
}

// GetStale implements objectstore.Store.
func (m *meteredStore) GetStale(ctx context.Context, kind, name string) (objectstore.Object, error) {
	object, err := m.Store.GetStale(ctx, kind, name)
	m.count("get_stale", kind, err)
	return object, err
}

// Create implements objectstore.Store.
func (m *meteredStore) Create(ctx context.Context, kind, name string, content []byte) (objectstore.Object, error) {
	object, err := m.Store.Create(ctx, kind, name, content)
	m.count("create", kind, err)
	return object, err
}

// Delete implements objectstore.Store.
func (m *meteredStore) Delete(ctx context.Context, kind, name string, revision era.Revision) (uint64, error) {
	answered, err := m.Store.Delete(ctx, kind, name, revision)
	m.count("delete", kind, err)
	return answered, err
}

// Replace implements objectstore.Store.
func (m *meteredStore) Replace(ctx context.Context, kind, name string, revision era.Revision, content []byte) (objectstore.Object, error) {
	object, err := m.Store.Replace(ctx, kind, name, revision, content)
	m.count("replace", kind, err)
	return object, err
}
