package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
)

// TestStoreIsRestoredFromOlderCopy guards against a store restored from an older copy that resets
// nodes to an older configuration, loses members' entries, or lowers the fencing tokens.
func TestStoreIsRestoredFromOlderCopy(t *testing.T) {
	for name, unfenced := range map[string]bool{"fenced": false, "without fences": true} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) { testStoreIsRestoredFromOlderCopy(t, unfenced) })
		})
	}
}

func testStoreIsRestoredFromOlderCopy(t *testing.T, unfenced bool) {
	const nodes = 6
	fleet := prepareFleet(fleetConfig{nodes: nodes, unfenced: unfenced})
	fleet.startNodes()
	time.Sleep(20 * time.Second)
	until := time.Now().Add(35 * time.Second)
	var working sync.WaitGroup
	for i := range 4 * nodes {
		caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(1, uint64(i))))
		working.Go(func() { caller.Run(until) })
	}
	// The copy doesn't contain this node's entry either, so the node has to write it again.
	fleet.store.Remove(managed.MemberKind, fleet.name(4))
	fleet.store.Copy()
	second := testConfiguration(2, testTenants)
	fleet.store.Put(managed.ConfigurationKind, "main", second)
	fleet.sendNoCallers(5)
	fleet.stopNode(5)
	fleet.group.Primary().Crash()
	time.Sleep(8 * time.Second)
	before := fleet.promoter.Orders()
	must.SliceNotEmpty(t, before)

	fleet.store.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	fleet.store.Restore()
	fleet.store.SetDown(false)
	time.Sleep(time.Second)
	fleet.startNode(5)
	time.Sleep(time.Second)
	for i := range nodes {
		must.Eq(t, 2, fleet.nodes[fleet.name(i)].Catalog.Current().Configuration.Version,
			must.Sprint(fleet.name(i)))
	}
	fleet.group.Announce()
	fleet.store.Put(managed.ConfigurationKind, "main", second)
	time.Sleep(5 * time.Second)
	must.Eq(t, nodes, fleet.store.Count(managed.MemberKind))

	crashed := fleet.group.Primary()
	crashed.Crash()
	time.Sleep(6 * time.Second)
	must.NotEq(t, crashed.ID(), fleet.group.Primary().ID())
	after := fleet.promoter.Orders()[len(before):]
	must.SliceNotEmpty(t, after)
	for _, earlier := range before {
		for _, later := range after {
			must.Greater(t, earlier.Token, later.Token, must.Sprintf("%+v, then %+v", earlier, later))
		}
	}
	working.Wait()
	must.SliceEmpty(t, fleet.check.Violations)
	fleet.end()
}
