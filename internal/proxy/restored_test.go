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

// TestStoreComesBackOlder: after the copy, the configuration changes, a key is taken away, the
// holder of the lease is lost and its successor replaces the primary; then the store is away for
// a moment and comes back without any of that. No node's configuration goes back, nor that of a
// node that starts before the operator has written again; the entries of members are written
// again; and the next change of the primary has a higher token than any before.
func TestStoreComesBackOlder(t *testing.T) {
	for name, unfenced := range map[string]bool{"fenced": false, "without fences": true} {
		t.Run(name, func(t *testing.T) { bubbletest.Test(t, func(t *testing.T) { testStoreComesBackOlder(t, unfenced) }) })
	}
}

func testStoreComesBackOlder(t *testing.T, unfenced bool) {
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
	// This node's entry is not in the copy either: it has to write it again.
	fleet.store.Remove(managed.MemberKind, fleet.name(4))
	fleet.store.Copy()
	second := testConfiguration(2, testTenants)
	fleet.store.Put(managed.ConfigurationKind, "main", second)
	fleet.stopListening(5)
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
		must.Eq(t, 2, fleet.nodes[fleet.name(i)].Catalog.Current().Configuration.Version, must.Sprint(fleet.name(i)))
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
