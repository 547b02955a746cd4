package proxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/upstream"
)

// brokenMechanism is a mechanism that is switched off between the runtime and
// the servers; the checker must notice each.
type brokenMechanism uint8

const (
	nothingBroken brokenMechanism = iota
	// floorsIgnored: reads run on servers whatever they have applied.
	floorsIgnored
	// leadNotProved: transactions of the primary are opened on any server.
	leadNotProved
	// lostMeansNotRun: a lost answer is taken for a refusal.
	lostMeansNotRun
	// valuesNotSet: session values are not carried over to other connections.
	valuesNotSet
	// rollbackIgnored: connections are returned with their transaction open.
	rollbackIgnored
	// tenantsMixed opens all connections in the node's own name.
	tenantsMixed
)

// breakingDialer switches a mechanism off on all its connections.
type breakingDialer struct {
	upstream.Dialer
	broken brokenMechanism
}

func (d *breakingDialer) Dial(ctx context.Context, target upstream.Target) (upstream.Connection, position.Position, error) {
	if d.broken == tenantsMixed {
		target.Principal = upstream.Own
	}
	opened, at, err := d.Dialer.Dial(ctx, target)
	if err != nil || d.broken == nothingBroken {
		return opened, at, err
	}
	return &breakingConnection{Connection: opened, broken: d.broken}, at, nil
}

type breakingConnection struct {
	upstream.Connection
	broken brokenMechanism
}

func (c *breakingConnection) Send(operations []upstream.Operation, deadline time.Time) error {
	changed := append([]upstream.Operation(nil), operations...)
	for i := range changed {
		switch {
		case c.broken == floorsIgnored:
			changed[i].Floor = position.Position{}
		case c.broken == leadNotProved && changed[i].Kind == upstream.Begin:
			changed[i].Kind = upstream.BeginReadOnly
		case c.broken == valuesNotSet && changed[i].Kind == upstream.SetValue:
			changed[i].Kind = upstream.ResetSession
		case c.broken == rollbackIgnored && changed[i].Kind == upstream.Rollback:
			changed[i].Kind = upstream.SetValue
		}
	}
	return c.Connection.Send(changed, deadline)
}

func (c *breakingConnection) Receive(kind upstream.OperationKind, deadline time.Time) (upstream.Result, error) {
	result, err := c.Connection.Receive(kind, deadline)
	if err != nil && c.broken == lostMeansNotRun {
		return upstream.Result{Outcome: upstream.Busy}, nil
	}
	if c.broken == rollbackIgnored && kind == upstream.Rollback {
		result.State = upstream.Idle
	}
	return result, err
}

func TestBrokenMechanismsAreNoticed(t *testing.T) {
	const seeds = 12
	for broken := floorsIgnored; broken <= tenantsMixed; broken++ {
		noticed := 0
		for seed := uint64(1); seed <= seeds && noticed == 0; seed++ {
			bubbletest.Test(t, func(*testing.T) {
				noticed = len(simulate(seed, fewNodes, 0, 25*time.Second, broken).violations)
			})
		}
		must.Positive(t, noticed, must.Sprintf("mechanism %d is broken, and no seed up to %d shows it", broken, seeds))
	}
}
