package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawMembers draws members with a few different weights. Some have none.
func drawMembers(t *rapid.T) []Candidate {
	members := nodes(rapid.IntRange(2, 40).Draw(t, "nodes"))
	for i := range members {
		members[i].Weight = rapid.SampledFrom([]float64{0, 0.08, 0.192, 0.8, 4}).Draw(t, "weight")
	}
	return members
}

func drawKeys(t *rapid.T) []string {
	keys := make([]string, rapid.IntRange(1, 120).Draw(t, "keys"))
	for i := range keys {
		keys[i] = fmt.Sprintf("server-%d", i)
	}
	return keys
}

func countByOwner(owners map[string]string) map[string]int {
	owned := map[string]int{}
	for _, id := range owners {
		owned[id]++
	}
	return owned
}

// TestOwnersStayWithinTheirShare guards against keys without an owner, owners above their
// maximum, and results that depend on the order of keys or members.
func TestOwnersStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, keys := drawMembers(t), drawKeys(t)
		owners := Assign(keys, members)
		must.Eq(t, len(keys), len(owners))
		resolved, owned, sum := resolveWeights(members), countByOwner(owners), 0.0
		for _, member := range resolved {
			sum += member.Weight
		}
		for _, member := range resolved {
			fair := float64(len(keys)) * member.Weight / sum
			must.LessEq(t, int(math.Ceil(MaxShareRatio*fair)), owned[member.ID], must.Sprint(member.ID))
		}
		slices.Reverse(members)
		slices.Reverse(keys)
		must.Eq(t, owners, Assign(keys, members))
	})
}

// maxOtherMoves is the maximum fraction of the keys that move, on average, between members that
// did not change. Such moves happen because capacities are rounded and depend on the sum of the
// weights.
const maxOtherMoves = 0.05

// TestMembershipChangeMovesFewOtherKeys guards against a change of one member that moves many
// keys between other members.
func TestMembershipChangeMovesFewOtherKeys(t *testing.T) {
	keys, otherMoves := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		members, servers := drawMembers(t), drawKeys(t)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(members), lost, lost+1)
		with, without := Assign(servers, members), Assign(servers, rest)
		for _, key := range servers {
			keys++
			if with[key] != members[lost].ID && with[key] != without[key] {
				otherMoves++
			}
		}
	})
	must.Less(t, maxOtherMoves*float64(keys), float64(otherMoves))
}

// TestOwnershipFollowsWeights checks that the number of owned keys is in proportion to the
// weight, and that a member without a weight counts as the lightest.
func TestOwnershipFollowsWeights(t *testing.T) {
	members := nodes(12)
	for i := range members {
		members[i].Weight = 0.2
	}
	members[0].Weight, members[1].Weight, members[2].Weight = 0.8, 0.8, 0
	first := map[string]int{}
	for key := range 1_800 {
		first[Rank(fmt.Sprintf("server-%d", key), "", members, 1)[0]]++
	}
	for _, member := range members {
		expected := 100.0
		if member.Weight == 0.8 {
			expected = 400
		}
		must.InDelta(t, expected, float64(first[member.ID]), expected/4, must.Sprint(member.ID))
	}
}
