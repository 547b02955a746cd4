package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// nodeFault is a fault of a single node while all servers are healthy.
type nodeFault uint8

const (
	// saturatedLink: little gets through, and late.
	saturatedLink nodeFault = iota
	// peersLost: other nodes don't answer, and the primary is unreachable, as after the loss of one
	// network direction.
	peersLost
	// allLost: neither nodes nor the store nor any server answer.
	allLost
	// cpuThrottled: the node is paused for most of every 100 ms.
	cpuThrottled
	nodeFaults
)

// saturatedLinkRate is less than a node needs for requests and patches, in bytes per second.
const saturatedLinkRate = 2 << 10

// injectSingleFault injects a fault of one node for a duration.
func (f *simulatedFleet) injectSingleFault(node int, kind nodeFault, duration time.Duration) {
	name, until := f.name(node), time.Now().Add(duration)
	switch kind {
	case saturatedLink:
		f.links.limit(name, saturatedLinkRate)
		f.setCut(node, f.group.Primary().ID(), true)
		time.Sleep(duration)
		f.cutFromServers(node, false)
		f.links.limit(name, 0)
	case peersLost:
		f.setPeersCut(node, true)
		f.setCut(node, f.group.Primary().ID(), true)
		time.Sleep(duration)
		f.cutFromServers(node, false)
		f.setPeersCut(node, false)
	case allLost:
		f.setCutOff(name, true)
		f.cutFromServers(node, true)
		time.Sleep(duration)
		f.cutFromServers(node, false)
		f.setCutOff(name, false)
	case cpuThrottled:
		for time.Now().Before(until) {
			f.setPaused(name, true)
			time.Sleep(90 * time.Millisecond)
			f.setPaused(name, false)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// runWithNodeFaults simulates callers on all nodes while one node after the other is faulty. It
// returns the number of commands served.
func runWithNodeFaults(fleet *simulatedFleet, seed uint64) (served int) {
	time.Sleep(10 * time.Second)
	random := rand.New(rand.NewPCG(seed, 7))
	until := time.Now().Add(30 * time.Second)
	var working sync.WaitGroup
	var mu sync.Mutex
	for i := range fleetOfSeven {
		caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
		working.Go(func() {
			caller.Run(until)
			mu.Lock()
			defer mu.Unlock()
			served += caller.Served
		})
	}
	for time.Now().Before(until.Add(-6 * time.Second)) {
		kind := nodeFault(random.IntN(int(nodeFaults)))
		fleet.injectSingleFault(random.IntN(fleetOfSeven), kind,
			time.Duration(1500+random.IntN(3500))*time.Millisecond)
	}
	working.Wait()
	return served
}

// nodeFaultSeeds is the number of simulated runs of each test, with seeds from 0 on.
const nodeFaultSeeds = 5

// TestDegradedNodesReplaceNobody guards against failovers caused by a single node with a faulty
// network or processor, while the other nodes reach the primary.
func TestDegradedNodesReplaceNobody(t *testing.T) {
	for seed := range uint64(nodeFaultSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := newFleet(fleetOfSeven, int(seed%2), nothingBroken)
				served := runWithNodeFaults(fleet, seed)
				must.SliceEmpty(t, fleet.promoter.Orders())
				must.SliceEmpty(t, fleet.check.Violations)
				must.Greater(t, 500, served)
				fleet.end()
			})
		})
	}
}

// TestDegradedNodesBreakNoPromiseWithoutFences guards against broken consistency promises when a
// degraded node, possibly a voter, takes part in the agreement on tenures.
func TestDegradedNodesBreakNoPromiseWithoutFences(t *testing.T) {
	for seed := range uint64(nodeFaultSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := newUnfencedFleet(fleetOfSeven, int(seed%2))
				served := runWithNodeFaults(fleet, seed)
				must.SliceEmpty(t, fleet.check.Violations)
				must.Eq(t, 0, fleet.group.LoweredTokens())
				must.Greater(t, 500, served)
				fleet.end()
			})
		})
	}
}

// TestSilenceCountedAsConfirmationIsDetected guards against simulated runs that don't notice
// if a node that doesn't answer counts as one that confirms that the primary is unreachable.
func TestSilenceCountedAsConfirmationIsDetected(t *testing.T) {
	replaced := 0
	for seed := range uint64(nodeFaultSeeds) {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := prepareFleet(fleetConfig{nodes: fleetOfSeven})
			fleet.silenceConfirms = true
			fleet.startNodes()
			runWithNodeFaults(fleet, seed)
			replaced += len(fleet.promoter.Orders())
			fleet.end()
		})
	}
	must.Positive(t, replaced)
}
