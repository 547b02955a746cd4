package proxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/relay"
)

// TestNodeStartsWhileTheStoreIsDown guards against a node that can't start without the store. It
// must get configuration, directory and members from its seeds, one of which is unreachable and one
// the node itself.
func TestNodeStartsWhileTheStoreIsDown(t *testing.T) {
	for name, silence := range map[string]func(f *simulatedFleet, silent bool){
		"refuses": func(f *simulatedFleet, silent bool) { f.store.SetDown(silent) },
		"silent": func(f *simulatedFleet, silent bool) {
			for i := range f.listeners {
				f.store.SetIsolated(f.name(i), silent)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				const nodes = 6
				fleet := newFleet(nodes, 0, nothingBroken)
				time.Sleep(10 * time.Second)
				silence(fleet, true)
				fleet.stopNode(1)
				fleet.stopNode(2)
				time.Sleep(8 * time.Second)
				fleet.startNode(2)
				time.Sleep(time.Second)
				started := fleet.nodes[fleet.name(2)]
				must.True(t, started.Ready())
				must.Eq(t, nodes-1, started.KnownMemberCount())
				silence(fleet, false)
				time.Sleep(3 * time.Second)
				fleet.end()
			})
		})
	}
}

// TestSeedsThatKnowNothing guards against nodes that learn wrong state from each other when all
// start while the store is down. They must serve soon after it is back.
func TestSeedsThatKnowNothing(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(4, 0, nothingBroken)
		time.Sleep(5 * time.Second)
		fleet.store.SetDown(true)
		for i := range 4 {
			fleet.stopNode(i)
		}
		time.Sleep(8 * time.Second)
		for i := range 4 {
			fleet.startNode(i)
		}
		time.Sleep(3 * time.Second)
		for _, node := range fleet.nodes {
			must.False(t, node.Ready())
			answer := node.Answer(context.Background(), relay.Request{Kind: managed.MemberKind})
			must.True(t, answer.Failed)
		}
		fleet.store.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		for name, node := range fleet.nodes {
			must.True(t, node.Ready(), must.Sprint(name))
		}
		fleet.end()
	})
}
