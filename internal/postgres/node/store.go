package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/objectapi"
	"dewknot/internal/postgres/pause"
)

func unmarshal(data []byte, target any) error { return json.Unmarshal(data, target) }

// Durations and intervals of requests to the store.
const (
	// storeListDelay is how long a starting node asks its peers before it reads the
	// complete configuration from the store, which can serve only a few readers.
	storeListDelay      = time.Second
	watchDuration       = 2 * time.Second
	machinePollInterval = 5 * time.Second
	minimumBackoff      = 100 * time.Millisecond
	maximumBackoff      = 3 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minimumBackoff
	policy.MaxInterval = maximumBackoff
	return policy
}

// joinFromStore reads from the store until the node is ready. It reads the changes
// since the configuration received from peers, or the complete configuration if peers
// have not sent any.
func (n *Node) joinFromStore() {
	retry := newBackoff()
	for n.ctx.Err() == nil && !n.view.Load().Ready {
		since, requestedAt := n.completeRevision(), n.now()
		switch {
		case since > 0:
			listing, err := n.store.Watch(n.ctx, since, 0)
			n.applyListing(since, requestedAt, listing, err)
		case len(n.settings.Seeds) == 0 || requestedAt >= storeListDelay:
			listing, err := n.store.List(n.ctx, "")
			n.applyListing(since, requestedAt, listing, err)
		}
		if !pause.For(n.ctx, retry.NextBackOff()) {
			return
		}
	}
}

func (n *Node) applyListing(since uint64, requestedAt time.Duration, listing objectapi.Listing, err error) {
	if err != nil {
		n.log.Debug("node: request to the store failed", zap.Error(err))
		return
	}
	n.step(core.StoreListing{Since: since, Objects: listing.Objects, Complete: listing.Revision, RequestedAt: requestedAt})
}

// setWatch starts or stops watching the store. The caller must hold n.mu.
func (n *Node) setWatch(on bool) {
	if n.cancelWatch != nil {
		n.cancelWatch()
		n.cancelWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.cancelWatch = cancel
	n.log.Info("node: watching the store")
	n.spawn(func() { n.watchStore(ctx) })
	n.spawn(func() { n.watchMachines(ctx) })
}

func (n *Node) watchStore(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		since, requestedAt := n.completeRevision(), n.now()
		listing, err := n.store.Watch(ctx, since, watchDuration)
		n.applyListing(since, requestedAt, listing, err)
		if err == nil {
			retry.Reset()
		} else if !pause.For(ctx, retry.NextBackOff()) {
			return
		}
	}
}

func (n *Node) completeRevision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control.Configuration().Complete()
}

func (n *Node) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		if machines, err := n.store.Machines(ctx); err == nil && len(machines) > 0 {
			n.step(core.MachineList{Machines: machines})
		}
		pause.For(ctx, machinePollInterval)
	}
}
