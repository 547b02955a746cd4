package managed_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// TestDegradedServers checks the simulated faults: a slow server multiplies the duration of
// statements, a degraded one fails some of them.
func TestDegradedServers(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		group := managed.NewGroup(managed.Settings{
			Name: "g", Zones: []string{"a"}, Slots: 1, Queue: 1, Connections: 4, StatementTime: 2 * time.Millisecond,
		}, noopObserver{}, func(managed.Entry) {})
		dialer := &managed.Dialer{Groups: map[string]*managed.Group{"g": group}}
		server := group.Primary()
		connection, _, err := dialer.Dial(t.Context(), upstream.Target{Address: server.ID(), Service: "g", Server: server.ID()})
		must.NoError(t, err)
		defer connection.Close()
		run := func() (upstream.Outcome, time.Duration) {
			began := time.Now()
			must.NoError(t, connection.Send([]upstream.Operation{{
				Kind: upstream.RunStatement, RequestID: "r", Statement: &command.Statement{RequestID: "r", Text: "READ x"},
			}}, time.Time{}))
			result, err := connection.Receive(upstream.RunStatement, began.Add(time.Second))
			must.NoError(t, err)
			return result.Outcome, time.Since(began)
		}
		outcome, took := run()
		must.Eq(t, upstream.Succeeded, outcome)
		must.Eq(t, 2*time.Millisecond, took)

		server.SetSlowdown(5)
		_, took = run()
		must.Eq(t, 10*time.Millisecond, took)

		server.FailOneOf(3)
		failed := 0
		for range 9 {
			if outcome, _ = run(); outcome == upstream.Failed {
				failed++
			}
		}
		must.Eq(t, 3, failed)
	})
}
