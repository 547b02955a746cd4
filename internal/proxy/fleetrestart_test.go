package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
)

// TestRestartOfALargeFleet guards against a restart of all nodes that overloads the store. Only
// readers may list there, so that the number of listings doesn't grow with the fleet, and all nodes
// must be ready within the bound.
func TestRestartOfALargeFleet(t *testing.T) {
	for _, nodes := range []int{150, 300} {
		bubbletest.Test(t, func(t *testing.T) {
			const (
				// bound is when all nodes must be ready. Callers wait up to 4 s for an operation.
				bound = 3 * time.Second
				// readers is two nodes in each of three zones.
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
				must.True(t, node.Ready(), must.Sprint(nodes, " nodes: ", name,
					" does not know enough to serve"))
			}
			for kind, count := range fleet.links.takeListings() {
				// Each reader lists at its start, again when it first checks the members, and for
				// other nodes.
				must.LessEq(t, 6*readers, count, must.Sprint(nodes, " nodes list ", kind))
			}
			fleet.end()
		})
	}
}
