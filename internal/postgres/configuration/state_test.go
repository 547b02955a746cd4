package configuration

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/postgres/objectapi"
)

// Whatever the order, repetition and loss of deliveries, versions never go down,
// and nodes that have heard the same changes are equal.
func TestMergeNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewState()
		peers := []*State{NewState(), NewState(), NewState()}
		held := make([]map[string]uint64, len(peers))
		for index := range held {
			held[index] = map[string]uint64{}
		}
		revision := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			to := rapid.IntRange(0, len(peers)-1).Draw(t, "to")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				revision++
				object := objectapi.Object{Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Version: revision}
				source.Merge([]objectapi.Object{object}, revision)
			case 1: // a delta from the store
				peers[to].Merge(source.Since(peers[to].Complete()))
			case 2: // a delta from a peer, perhaps stale
				from := rapid.IntRange(0, len(peers)-1).Draw(t, "from")
				peers[to].Merge(peers[from].Since(peers[to].Complete()))
			case 3: // a restart loses everything; the newcomer takes a peer's state
				peers[to] = NewState()
				held[to] = map[string]uint64{}
			}
			requireForward(t, peers[to], held[to])
		}
		for _, peer := range peers {
			peer.Merge(source.Since(peer.Complete()))
			must.Eq(t, source.Digest(), peer.Digest())
		}
	})
}

func requireForward(t *rapid.T, state *State, held map[string]uint64) {
	state.Each(func(object objectapi.Object) {
		if object.Version < held[object.Key] {
			t.Fatalf("object %s went from version %d back to %d", object.Key, held[object.Key], object.Version)
		}
		held[object.Key] = object.Version
	})
}
