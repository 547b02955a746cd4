package placement

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

func nodes(count int) []Candidate {
	list := make([]Candidate, count)
	for index := range list {
		list[index] = Candidate{ID: fmt.Sprintf("node-%03d", index), Zone: fmt.Sprintf("zone-%d", index%5)}
	}
	return list
}

// TestOnlyKeysOfALostNodeMove guards against a lost node that changes the owners of other keys.
func TestOnlyKeysOfALostNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := nodes(rapid.IntRange(2, 40).Draw(t, "nodes"))
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		rest := append(append([]Candidate(nil), members[:lost]...), members[lost+1:]...)
		for key := range 30 {
			name := fmt.Sprintf("group-%d", key)
			before := Rank(name, "zone-1", members, 2)
			after := Rank(name, "zone-1", rest, 2)
			if before[0] != members[lost].ID {
				must.Eq(t, before[0], after[0])
			} else {
				must.Eq(t, before[1], after[0])
			}
		}
	})
}

// TestLoadIsSpread guards against nodes that own far more keys than the average of two.
func TestLoadIsSpread(t *testing.T) {
	members := nodes(410)
	owned := map[string]int{}
	for key := range 820 {
		owned[Rank(fmt.Sprintf("group-%d", key), "", members, 1)[0]]++
	}
	for id, count := range owned {
		must.Less(t, 12, count, must.Sprint(id))
	}
}
