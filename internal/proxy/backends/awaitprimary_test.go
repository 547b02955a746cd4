package backends

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/upstream"
)

// primaryDialer opens connections to a server that is the primary.
type primaryDialer struct{ term uint64 }

// Dial implements upstream.Dialer.
func (d *primaryDialer) Dial(context.Context, upstream.Target) (upstream.Connection, position.Position, error) {
	time.Sleep(10 * time.Millisecond)
	return &primaryConnection{term: d.term}, position.Position{Term: d.term}, nil
}

type primaryConnection struct {
	term  uint64
	state upstream.TransactionState
}

func (c *primaryConnection) Send([]upstream.Operation, time.Time) error { return nil }

func (c *primaryConnection) Receive(kind upstream.OperationKind, _ time.Time) (upstream.Result, error) {
	result := upstream.Result{Position: position.Position{Term: c.term}}
	switch kind {
	case upstream.Begin, upstream.BeginReadOnly:
		c.state = upstream.InTransaction
	case upstream.Rollback:
		c.state = upstream.Idle
	case upstream.ReportStatus:
		result.Status = &upstream.Status{Primary: true, Term: c.term}
	default:
	}
	result.State = c.state
	return result, nil
}

func (c *primaryConnection) Alive() bool { return true }

func (c *primaryConnection) Close() {}

// TestNewPrimaryIsSeenWhileItsConnectionsAreInUse: the wait for a promoted server must end also if
// callers use all connections to it.
func TestNewPrimaryIsSeenWhileItsConnectionsAreInUse(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		node, target := ownersNode(&memberStore{}, &linkPeers{requested: make(chan string, 100)}, &primaryDialer{term: 7}, 1)
		defer node.log.Close()
		time.Sleep(network.MembersTimeout)
		var used []*upstream.Lease
		for {
			lease, err := target.Pool.Get(upstream.Own, time.Now().Add(200*time.Millisecond))
			if err != nil {
				break
			}
			used = append(used, lease)
		}
		must.Positive(t, len(used))
		led := node.Service("bookings").awaitPrimary("s1", 7, time.Now().Add(3*time.Second))
		must.Eq(t, failover.Led{Leads: true, Term: 7}, led)
	})
}
