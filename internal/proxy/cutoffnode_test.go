package proxy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/judge"
)

// setPeersCut cuts a node off from all other nodes, but not from the store.
func (f *simulatedFleet) setPeersCut(node int, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cutOff[f.name(node)] = cut
}

// cutFromServers cuts a node off from all servers, or lets it reach them again.
func (f *simulatedFleet) cutFromServers(node int, cut bool) {
	for i := range f.zones {
		f.setCut(node, f.group.Server(i).ID(), cut)
	}
}

// callersOnlyOn sends all new callers to one node.
func (f *simulatedFleet) callersOnlyOn(node int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.withoutCallers = nil
	for i := range f.listeners {
		if i != node {
			f.withoutCallers = append(f.withoutCallers, i)
		}
	}
}

// runCaller runs a new caller for a duration and returns its results.
func (f *simulatedFleet) runCaller(name string, seed uint64, duration time.Duration) *judge.Caller {
	caller := f.caller(name, rand.New(rand.NewPCG(1, seed)))
	caller.Run(time.Now().Add(duration))
	return caller
}

// The nodes of a fleet of five connect to all servers directly. Those of a fleet of seven go
// through owners.
const (
	fleetOfFive  = 5
	fleetOfSeven = 7
)

// TestNodeThatIsAloneReplacesNobody guards against a failover by a node that reaches neither the
// other nodes nor the primary, while the primary is healthy. Each node is cut off in turn,
// including the lease holder.
func TestNodeThatIsAloneReplacesNobody(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fleetOfSeven, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		primary := fleet.group.Primary().ID()
		for i := range fleetOfSeven {
			fleet.callersOnlyOn(i)
			fleet.setPeersCut(i, true)
			fleet.setCut(i, primary, true)
			fleet.runCaller(fleet.name(i), uint64(i), 4*time.Second)
			fleet.setCut(i, primary, false)
			fleet.setPeersCut(i, false)
			time.Sleep(time.Second)
		}
		must.SliceEmpty(t, fleet.promoter.Orders())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}

// TestLastNodeReplacesALostPrimary guards against a failover that waits for confirmation by other
// nodes when no other node is left.
func TestLastNodeReplacesALostPrimary(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fleetOfSeven, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		for i := 1; i < fleetOfSeven; i++ {
			fleet.stopNode(i)
		}
		time.Sleep(6 * time.Second)
		fleet.callersOnlyOn(0)
		lost := fleet.group.Primary()
		lost.Crash()
		fleet.runCaller("c", 1, 15*time.Second)
		must.NotEq(t, lost.ID(), fleet.group.Primary().ID())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}

// TestDegradedNodeRejectsItsCallers guards against a degraded node that suspects the
// primary or keeps its callers waiting. It must report that it is not ready, reject at once, and
// serve again when its network has recovered.
func TestDegradedNodeRejectsItsCallers(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fleetOfFive, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		fleet.callersOnlyOn(2)
		fleet.runCaller("before", 1, 2*time.Second)
		node := fleet.nodes[fleet.name(2)]
		must.True(t, node.Ready())
		fleet.setCutOff(fleet.name(2), true)
		fleet.cutFromServers(2, true)
		fleet.runCaller("during", 2, 6*time.Second)
		must.False(t, node.Ready())
		began := time.Now()
		rejected := fleet.caller("late", rand.New(rand.NewPCG(1, 3)))
		rejected.Run(time.Now().Add(500 * time.Millisecond))
		must.Less(t, time.Second, time.Since(began), must.Sprint("time until the rejection"))
		must.Zero(t, rejected.Served)
		fleet.setCutOff(fleet.name(2), false)
		fleet.cutFromServers(2, false)
		time.Sleep(3 * time.Second)
		must.True(t, node.Ready())
		must.Positive(t, fleet.runCaller("after", 4, 3*time.Second).Served)
		must.SliceEmpty(t, fleet.promoter.Orders())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}
