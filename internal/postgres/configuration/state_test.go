package configuration

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/postgres/objectapi"
)

// Versions must never decrease, and nodes with the same changes must have equal
// states, whatever the order, repetition and loss of deliveries.
func TestMergeNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewState()
		peers := []*State{NewState(), NewState(), NewState()}
		seen := make([]map[string]uint64, len(peers))
		for index := range seen {
			seen[index] = map[string]uint64{}
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
			case 2: // a delta from a peer, possibly stale
				from := rapid.IntRange(0, len(peers)-1).Draw(t, "from")
				peers[to].Merge(peers[from].Since(peers[to].Complete()))
			case 3: // a restart without any state
				peers[to] = NewState()
				seen[to] = map[string]uint64{}
			}
			requireVersionsNotLower(t, peers[to], seen[to])
		}
		for _, peer := range peers {
			peer.Merge(source.Since(peer.Complete()))
			must.Eq(t, source.Digest(), peer.Digest())
		}
	})
}

func requireVersionsNotLower(t *rapid.T, state *State, seen map[string]uint64) {
	state.Each(func(object objectapi.Object) {
		if object.Version < seen[object.Key] {
			t.Fatalf("object %s reverted from version %d to %d", object.Key, seen[object.Key], object.Version)
		}
		seen[object.Key] = object.Version
	})
}
