package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy"
	"dewknot/internal/proxy/catalog"
)

// configurationVersion returns the version that is in force on a node.
func configurationVersion(t *testing.T, node *proxy.Node) uint64 {
	t.Helper()
	families, err := node.Metrics().Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "dewknot_configuration_version" {
			return uint64(family.GetMetric()[0].GetGauge().GetValue())
		}
	}
	t.Fatal("the node has no metric dewknot_configuration_version")
	return 0
}

func (f *simulatedFleet) configure(version uint64) {
	f.store.Put(managed.ConfigurationKind, "main", testConfiguration(version, testTenants))
}

// TestFewNodesWatchTheStore guards against more than six store readers in a fleet of 24 nodes in
// three zones. Changes must still be in force everywhere at once, and within the bound after the
// store has stopped answering any six nodes, or all of them for a while.
func TestFewNodesWatchTheStore(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const nodes, bound = 24, 4 * time.Second
		fleet := newFleet(nodes, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		before := fleet.store.Watches()
		time.Sleep(20 * time.Second)
		// Six nodes watch two kinds of objects, with waits of 0.4 of 4 s and of 7 s: 12.5 and 7.1
		// watches each.
		must.Less(t, 130, fleet.store.Watches()-before)
		must.Positive(t, fleet.store.Watches()-before)
		version := uint64(1)
		change := func(within time.Duration, except map[string]bool) {
			version++
			fleet.configure(version)
			time.Sleep(within)
			for name, node := range fleet.nodes {
				if !except[name] {
					must.Eq(t, version, configurationVersion(t, node), must.Sprint(name))
				}
			}
		}
		change(300*time.Millisecond, nil)
		for first := 0; first < nodes; first += 6 {
			for i := range 6 {
				fleet.store.SetIsolated(fleet.name(first+i), true)
			}
			time.Sleep(500 * time.Millisecond)
			change(bound, nil)
			for i := range 6 {
				fleet.store.SetIsolated(fleet.name(first+i), false)
			}
			time.Sleep(3 * time.Second)
			change(300*time.Millisecond, nil)
		}
		fleet.store.SetDown(true)
		time.Sleep(6 * time.Second)
		fleet.store.SetDown(false)
		change(bound, nil)
		time.Sleep(5 * time.Second)
		change(300*time.Millisecond, nil)
		fleet.end()
	})
}

// manyRoutes returns the routes of a large deployment. The timeout of the first one depends on the
// version.
func manyRoutes(version uint64) map[string]catalog.Route {
	const count = 1000
	routes := map[string]catalog.Route{}
	for i := range count {
		route := testRoutes["bounded"]
		route.Name = fmt.Sprintf("route-%04d", i)
		route.Database = route.Name
		if i == 0 {
			route.StatementTimeout += time.Duration(version) * time.Millisecond
		}
		routes[route.Name] = route
	}
	return routes
}

// TestChangesTravelAsPatches guards against changes that are sent as a whole configuration of some
// 200 KB instead of a patch, also after several quick changes and to a node that starts later.
func TestChangesTravelAsPatches(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const nodes = 24
		fleet := newFleet(nodes, 0, nothingBroken)
		version := uint64(1)
		configure := func() {
			version++
			changed := testConfiguration(version, testTenants)
			changed.Routes = manyRoutes(version)
			fleet.store.Put(managed.ConfigurationKind, "main", changed)
		}
		inForce := func() {
			for name, node := range fleet.nodes {
				must.Eq(t, version, configurationVersion(t, node), must.Sprint(name))
			}
		}
		configure()
		time.Sleep(10 * time.Second)
		inForce()
		before := fleet.answered.Load()
		for range 10 {
			configure()
			time.Sleep(500 * time.Millisecond)
		}
		inForce()
		for range 10 {
			configure()
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		inForce()
		const perNodeAndChange = 2_000
		t.Logf("%d bytes a node and change", (fleet.answered.Load()-before)/(20*nodes))
		must.Less(t, 20*nodes*perNodeAndChange, fleet.answered.Load()-before)
		fleet.stopNode(0)
		configure()
		time.Sleep(2 * time.Second)
		fleet.startNode(0)
		time.Sleep(10 * time.Second)
		configure()
		time.Sleep(time.Second)
		inForce()
		fleet.end()
	})
}
