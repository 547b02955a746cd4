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

// brokenMechanism is a safety mechanism that is disabled between the proxy and the servers. The
// judge must detect each.
type brokenMechanism uint8

const (
	nothingBroken brokenMechanism = iota
	// minimumsIgnored: servers run reads without the minimum position.
	minimumsIgnored
	// primaryNotProved: a transaction for the primary is opened on any server.
	primaryNotProved
	// lostMeansNotRun: a lost answer counts as a promise that the operation did not run.
	lostMeansNotRun
	// valuesNotSet: session values are not transferred to other connections.
	valuesNotSet
	// rollbackIgnored: connections are returned with an open transaction.
	rollbackIgnored
	// tenantsMixed: all connections are opened as the node itself.
	tenantsMixed
)

// breakingDialer disables a mechanism on all its connections.
type breakingDialer struct {
	upstream.Dialer
	broken brokenMechanism
}

func (d *breakingDialer) Dial(
	ctx context.Context, target upstream.Target,
) (upstream.Connection, position.Position, error) {
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
		case c.broken == minimumsIgnored:
			changed[i].MinimumPosition = position.Position{}
		case c.broken == primaryNotProved && changed[i].Kind == upstream.Begin:
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

// TestBrokenMechanismsAreNoticed guards against a judge that overlooks a broken safety mechanism.
func TestBrokenMechanismsAreNoticed(t *testing.T) {
	const seeds = 12
	for broken := minimumsIgnored; broken <= tenantsMixed; broken++ {
		noticed := 0
		for seed := uint64(1); seed <= seeds && noticed == 0; seed++ {
			bubbletest.Test(t, func(*testing.T) {
				noticed = len(simulate(seed, fewNodes, 0, 25*time.Second, broken).violations)
			})
		}
		must.Positive(t, noticed,
			must.Sprintf("mechanism %d is broken, but no seed up to %d has a violation", broken, seeds))
	}
}
