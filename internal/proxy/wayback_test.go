package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
)

// TestWayBackOfALargeFleet: all nodes lose power and start at the same moment. Only readers list
// at the store, whose link carries a tenth of what all would list in the time that a start may
// take, so the number of listings does not grow with the fleet, and all nodes know enough to
// serve within the bound.
func TestWayBackOfALargeFleet(t *testing.T) {
	for _, nodes := range []int{150, 300} {
		bubbletest.Test(t, func(t *testing.T) {
			const (
				// bound is within how long nodes are to serve again: callers give an operation 4 s.
				bound = 3 * time.Second
				// readers are two in each of three zones.
				readers = 6
			)
			fleet := prepareFleet(fleetConfig{nodes: nodes})
			large := testConfiguration(1, testTenants)
			large.Routes = manyRoutes(1500)
			fleet.store.Put(managed.ConfigurationKind, "main", large)
			fleet.startNodes()
			time.Sleep(20 * time.Second)
			fleet.stop()
			time.Sleep(time.Second)
			fleet.links.limit(storeLink, nodes*30<<10)
			fleet.links.takeListings()
			fleet.startNodes()
			time.Sleep(bound)
			for name, node := range fleet.nodes {
				must.True(t, node.Ready(), must.Sprint(nodes, " nodes: ", name, " does not know enough to serve"))
			}
			for kind, count := range fleet.links.takeListings() {
				// Each at its start, again with its first looks at the members, and for others.
				must.LessEq(t, 6*readers, count, must.Sprint(nodes, " nodes list ", kind))
			}
			fleet.end()
		})
	}
}
