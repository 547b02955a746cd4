package proxy_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/failover"
)

// TestPrimaryIsReplacedWithoutStoreAndHolder guards against a primary that nobody replaces while
// the store is down and the lease holder is gone. A deputy must do so, and the next change of the
// primary must use a higher token.
func TestPrimaryIsReplacedWithoutStoreAndHolder(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const nodes = 6
		fleet := newRecordedFleet(nodes, 0)
		time.Sleep(20 * time.Second)
		object, err := fleet.store.Client("test").Get(t.Context(), managed.LeaseKind, testService)
		must.NoError(t, err)
		var lease failover.Lease
		must.NoError(t, json.Unmarshal(object.Content, &lease))
		must.Len(t, failover.MaxDeputies, lease.Deputies)
		must.SliceNotContains(t, lease.Deputies, lease.Holder)
		// The nodes monitor the service because callers use it.
		until := time.Now().Add(25 * time.Second)
		var working sync.WaitGroup
		for i := range 4 * nodes {
			caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(1, uint64(i))))
			working.Go(func() { caller.Run(until) })
		}
		fleet.store.SetDown(true)
		for i := range nodes {
			if fleet.name(i) == lease.Holder {
				fleet.sendNoCallers(i)
				fleet.stopNode(i)
			}
		}
		time.Sleep(6 * time.Second)
		crashed := fleet.group.Primary()
		crashed.Crash()
		time.Sleep(5 * time.Second)
		must.NotEq(t, crashed.ID(), fleet.group.Primary().ID())
		orders := fleet.promoter.Orders()
		must.Len(t, 1, orders)
		must.SliceContains(t, lease.Deputies, orders[0].Holder)

		fleet.store.SetDown(false)
		crashed.Restart()
		time.Sleep(3 * time.Second)
		fleet.group.Primary().Crash()
		time.Sleep(6 * time.Second)
		orders = fleet.promoter.Orders()
		must.Greater(t, 1, len(orders))
		must.Greater(t, orders[0].Token, orders[len(orders)-1].Token)
		working.Wait()
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
		must.Greater(t, 1, fleet.traces.replayAll(t))
	})
}
