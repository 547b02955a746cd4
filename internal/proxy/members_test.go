package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestFleetThatReturnsLeavesItsSeedsAlone: 100 nodes that are killed and start within three seconds
// take longer for the list of members, over their links, than the store is waited for. They
// do not turn to the three seeds for it, whose links would fill, and serve soon.
func TestFleetThatReturnsLeavesItsSeedsAlone(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const (
			nodes = 100
			// slow takes about half a second for the list.
			slow = 12 << 10
			// few is what all nodes together may tell each other, a third of a list for each.
			few = nodes * 2 << 10
		)
		fleet := newFleet(nodes, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		for i := range nodes {
			fleet.stopNode(i)
		}
		time.Sleep(8 * time.Second)
		for i := range nodes {
			fleet.links.limit(fleet.name(i), slow)
		}
		before := fleet.answered.Load()
		for i := range nodes {
			fleet.startNode(i)
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		for name, node := range fleet.nodes {
			must.Eq(t, nodes-1, node.KnownMembers(), must.Sprint(name))
			must.True(t, node.Ready(), must.Sprint(name))
		}
		must.Less(t, few, fleet.answered.Load()-before)
		fleet.end()
	})
}
