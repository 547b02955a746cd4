package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy"
)

// callsByName counts a node's calls to the store by the label "call".
func callsByName(t *testing.T, node *proxy.Node) map[string]int {
	t.Helper()
	counted := map[string]int{}
	families, err := node.Metrics().Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() != "dewknot_store_calls_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "call" {
					counted[label.GetValue()] += int(metric.GetCounter().GetValue())
				}
			}
		}
	}
	return counted
}

// TestFirstStartWithStaleLists guards against nodes that consider themselves readers because the
// store answered with an incomplete list of members. In a starting fleet of 60, only about the six
// readers may list and watch.
func TestFirstStartWithStaleLists(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const nodes, readers = 60, 6
		fleet := prepareFleet(fleetConfig{nodes: nodes})
		fleet.links.stale = time.Second
		for i := range nodes {
			fleet.startNode(i)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		listing := 0
		for name, node := range fleet.nodes {
			must.True(t, node.Ready(), must.Sprint(name))
			if callsByName(t, node)["list"] > 0 {
				listing++
			}
		}
		must.LessEq(t, 2*readers, listing)
		fleet.end()
	})
}

// TestNodesMakeFewCallsToTheStore guards against calls to the store that grow with the fleet. Only
// the six readers may list and watch; every other node may create its entry and make cheap calls
// only, also when it restarts in the running fleet.
func TestNodesMakeFewCallsToTheStore(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const nodes, readers = 60, 6
		fleet := newFleet(nodes, 0, nothingBroken)
		time.Sleep(15 * time.Second)
		listing, watching, creating := 0, 0, 0
		for name, node := range fleet.nodes {
			calls := callsByName(t, node)
			creating += calls["create"]
			must.LessEq(t, 6, calls["list_stale"], must.Sprint(name, calls))
			if calls["list"] > 0 {
				listing++
			}
			if calls["watch"] > 0 {
				watching++
			}
		}
		// One entry for each node, and the service's lease, which two nodes may try to create.
		must.Between(t, nodes+1, creating, nodes+2)
		must.LessEq(t, readers, listing)
		must.LessEq(t, readers, watching)
		restarted := "node-0"
		for i := range nodes {
			if callsByName(t, fleet.nodes[fleet.name(i)])["watch"] == 0 {
				restarted = fleet.name(i)
				fleet.stopNode(i)
				time.Sleep(7 * time.Second)
				fleet.startNode(i)
				break
			}
		}
		time.Sleep(100 * time.Millisecond)
		must.True(t, fleet.nodes[restarted].Ready())
		time.Sleep(10 * time.Second)
		calls := callsByName(t, fleet.nodes[restarted])
		// Only cheap calls: listings, and two reads of a single object.
		must.LessEq(t, 2, calls["get_stale"], must.Sprint(calls))
		delete(calls, "get_stale")
		must.MapLen(t, 1, calls, must.Sprint(calls))
		must.LessEq(t, 6, calls["list_stale"], must.Sprint(calls))
		fleet.end()
	})
}
