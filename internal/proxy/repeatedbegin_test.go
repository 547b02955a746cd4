package proxy_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// beginRepeater is a connection on which the server sends the answer to the last BEGIN again, before
// that to the next one, when it is armed.
type beginRepeater struct {
	upstream.Connection
	armed *atomic.Bool
	begun *upstream.Result
}

// Receive implements upstream.Connection.
func (c *beginRepeater) Receive(kind upstream.OperationKind, deadline time.Time) (upstream.Result, error) {
	if kind == upstream.Begin && c.begun != nil && c.armed.CompareAndSwap(true, false) {
		return *c.begun, nil
	}
	result, err := c.Connection.Receive(kind, deadline)
	if kind == upstream.Begin && err == nil && result.Outcome == upstream.Succeeded {
		c.begun = &result
	}
	return result, err
}

// commitOnPrimary commits a write on the primary, as another node does, and returns its position.
func (f *simulatedFleet) commitOnPrimary(t *testing.T, id string) position.Position {
	t.Helper()
	server := f.group.Primary().ID()
	dialer := &managed.Dialer{Groups: f.promoter.Groups}
	connection, _, err := dialer.Dial(context.Background(), upstream.Target{Address: server, Service: testService, Server: server})
	must.NoError(t, err)
	defer connection.Close()
	statement := &command.Statement{RequestID: id, Text: "WRITE 1 x", Writes: true}
	must.NoError(t, connection.Send([]upstream.Operation{{Kind: upstream.RunStatement, RequestID: id, Statement: statement}}, time.Time{}))
	result, err := connection.Receive(upstream.RunStatement, time.Now().Add(time.Second))
	must.NoError(t, err)
	must.Eq(t, upstream.Succeeded, result.Outcome)
	return result.Position
}

// TestRepeatedBeginShowsNoCurrentPosition: a copy of the answer to an earlier BEGIN must not count as
// the primary's current position, from which reads on replicas get their minimum positions.
func TestRepeatedBeginShowsNoCurrentPosition(t *testing.T) {
	for name, commands := range map[string][]command.Command{
		"read":        {{Kind: command.Read, Text: "READ 1"}},
		"transaction": {{Kind: command.Begin, Text: "BEGIN"}, {Kind: command.Read, Text: "READ 1"}, {Kind: command.Rollback, Text: "ROLLBACK"}},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				var armed atomic.Bool
				fleet := prepareFleet(fleetConfig{nodes: 3})
				fleet.dialed = func(c upstream.Connection) upstream.Connection { return &beginRepeater{Connection: c, armed: &armed} }
				fleet.startNodes()
				defer fleet.end()
				time.Sleep(10 * time.Second)
				proofs := &fleet.nodes["node-0"].Service(testService).Proofs
				client := newMemoryClient("current", testTenants["amber"][0])
				fleet.listeners[0].pending <- client
				must.Nil(t, (<-client.replies).Failure)
				session := memorySession{client}
				defer session.Close()
				ask := func(id string) {
					for i, each := range commands {
						each.RequestID = fmt.Sprintf("%s-%d", id, i)
						_, open := session.Ask(each)
						must.True(t, open)
					}
				}
				for i := range 10 {
					ask(fmt.Sprintf("a%d", i))
					time.Sleep(60 * time.Millisecond) // the next proof is kept apart
					committed := fleet.commitOnPrimary(t, fmt.Sprintf("w%d", i))
					acknowledged := time.Now()
					time.Sleep(time.Millisecond)
					armed.Store(true)
					ask(fmt.Sprintf("b%d", i))
					must.False(t, armed.Load(), must.Sprint("no answer was repeated"))
					proof, found := proofs.Oldest(acknowledged)
					must.True(t, !found || proof.Position.Covers(committed),
						must.Sprintf("the position at %v was %v, but that of the commit is %v", proof.At.Sub(acknowledged), proof.Position, committed))
					time.Sleep(300 * time.Millisecond)
				}
			})
		})
	}
}
