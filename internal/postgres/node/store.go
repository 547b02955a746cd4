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

// Intervals towards the store.
const (
	// peersFirst is how long a newcomer tries its peers before it reads the whole
	// configuration from the store, which bears only a few readers.
	peersFirst      = time.Second
	watchWait       = 2 * time.Second
	machineInterval = 5 * time.Second
	minimumBackoff  = 100 * time.Millisecond
	maximumBackoff  = 3 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minimumBackoff
	policy.MaxInterval = maximumBackoff
	return policy
}

// joinFromStore asks the store until the node is ready: for what is newer than
// peers have told, or, if they tell nothing, for the whole configuration.
func (n *Node) joinFromStore() {
	retry := newBackoff()
	for n.ctx.Err() == nil && !n.view.Load().Ready {
		since, askedAt := n.complete(), n.now()
		switch {
		case since > 0:
			listing, err := n.store.Watch(n.ctx, since, 0)
			n.storeAnswered(since, askedAt, listing, err)
		case len(n.settings.Seeds) == 0 || askedAt >= peersFirst:
			listing, err := n.store.List(n.ctx, "")
			n.storeAnswered(since, askedAt, listing, err)
		}
		if !pause.For(n.ctx, retry.NextBackOff()) {
			return
		}
	}
}

func (n *Node) storeAnswered(since uint64, askedAt time.Duration, listing objectapi.Listing, err error) {
	if err != nil {
		n.log.Debug("node: the store does not answer", zap.Error(err))
		return
	}
	n.step(core.StoreListing{Since: since, Objects: listing.Objects, Complete: listing.Revision, AskedAt: askedAt})
}

// setWatch begins or ends watching the store; n.mu is held.
func (n *Node) setWatch(on bool) {
	if n.watchEnd != nil {
		n.watchEnd()
		n.watchEnd = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.watchEnd = cancel
	n.log.Info("node: watching the store")
	n.goDo(func() { n.watchStore(ctx) })
	n.goDo(func() { n.watchMachines(ctx) })
}

func (n *Node) watchStore(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		since, askedAt := n.complete(), n.now()
		listing, err := n.store.Watch(ctx, since, watchWait)
		n.storeAnswered(since, askedAt, listing, err)
		if err == nil {
			retry.Reset()
		} else if !pause.For(ctx, retry.NextBackOff()) {
			return
		}
	}
}

func (n *Node) complete() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control.Configuration().Complete()
}

func (n *Node) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		if machines, err := n.store.Machines(ctx); err == nil && len(machines) > 0 {
			n.step(core.MachineList{Machines: machines})
		}
		pause.For(ctx, machineInterval)
	}
}
