package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestRestartedFleetDoesNotOverloadItsSeeds guards against 100 restarted nodes that all ask the
// three seeds for the list of members, because it takes longer over their slow links than the
// timeout of a call to the store.
func TestRestartedFleetDoesNotOverloadItsSeeds(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const (
			nodes = 100
			// slow is a rate at which the list takes about half a second.
			slow = 12 << 10
			// few bounds the bytes of all answers between nodes: a third of a list for each node.
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
			must.Eq(t, nodes-1, node.KnownMemberCount(), must.Sprint(name))
			must.True(t, node.Ready(), must.Sprint(name))
		}
		must.Less(t, few, fleet.answered.Load()-before)
		fleet.end()
	})
}
