package proxy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/judge"
)

// setUnheard keeps a node from all other nodes, but not from the store.
func (f *simulatedFleet) setUnheard(node int, unheard bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.apart[f.name(node)] = unheard
}

// cutFromServers keeps a node from all servers, or lets it reach them again.
func (f *simulatedFleet) cutFromServers(node int, cut bool) {
	for i := range f.zones {
		f.setCut(node, f.group.Server(i).ID(), cut)
	}
}

// callersOnlyOn leads new callers to one node.
func (f *simulatedFleet) callersOnlyOn(node int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.led = nil
	for i := range f.listeners {
		if i != node {
			f.led = append(f.led, i)
		}
	}
}

func (f *simulatedFleet) drive(name string, seed uint64, span time.Duration) *judge.Caller {
	driver := f.caller(name, rand.New(rand.NewPCG(1, seed)))
	driver.Run(time.Now().Add(span))
	return driver
}

// The nodes of a fleet of five have connections of their own to all servers, those of
// one of seven go through owners.
const (
	fleetOfFive  = 5
	fleetOfSeven = 7
)

// TestNodeThatIsAloneReplacesNobody: each node in turn, the holder of the lease among
// them, hears no other node and does not reach the primary, which is well. Nobody
// confirms that the primary is down, so it stays.
func TestNodeThatIsAloneReplacesNobody(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fleetOfSeven, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		primary := fleet.group.Primary().ID()
		for i := range fleetOfSeven {
			fleet.callersOnlyOn(i)
			fleet.setUnheard(i, true)
			fleet.setCut(i, primary, true)
			fleet.drive(fleet.name(i), uint64(i), 4*time.Second)
			fleet.setCut(i, primary, false)
			fleet.setUnheard(i, false)
			time.Sleep(time.Second)
		}
		must.SliceEmpty(t, fleet.promoter.Orders())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}

// TestLastNodeReplacesALostPrimary: all other nodes are gone, so nobody can confirm; the
// directory has lost the primary.
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
		fleet.drive("c", 1, 15*time.Second)
		must.NotEq(t, lost.ID(), fleet.group.Primary().ID())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}

// TestNodeThatHearsNothingSendsItsCallersAway: it suspects nobody, calls itself not
// ready and refuses at once; when its link is well again, it serves.
func TestNodeThatHearsNothingSendsItsCallersAway(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fleetOfFive, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		fleet.callersOnlyOn(2)
		fleet.drive("before", 1, 2*time.Second)
		node := fleet.nodes[fleet.name(2)]
		must.True(t, node.Ready())
		fleet.setApart(fleet.name(2), true)
		fleet.cutFromServers(2, true)
		fleet.drive("during", 2, 6*time.Second)
		must.False(t, node.Ready())
		began := time.Now()
		sick := fleet.caller("late", rand.New(rand.NewPCG(1, 3)))
		sick.Run(time.Now().Add(500 * time.Millisecond))
		must.Less(t, time.Second, time.Since(began), must.Sprint("a refusal is told at once"))
		must.Zero(t, sick.Served)
		fleet.setApart(fleet.name(2), false)
		fleet.cutFromServers(2, false)
		time.Sleep(3 * time.Second)
		must.True(t, node.Ready())
		must.Positive(t, fleet.drive("after", 4, 3*time.Second).Served)
		must.SliceEmpty(t, fleet.promoter.Orders())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}
