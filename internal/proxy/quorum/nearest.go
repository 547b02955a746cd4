package quorum

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// A member must know all records of a voter before it holds a lease from it. With hundreds of
// services and nodes, this is most of the traffic between regions, so a member that is not a voter
// uses only the nearest majority. It uses others if one of these does not answer in time or does
// not take part, or if these do not suffice.

// maxUsableRTT is the longest round-trip time at which leases renewed every RenewInterval do not
// expire in between.
const maxUsableRTT = LeaseDuration - RenewInterval

// SetDistances sets the distances to voters by name. Voters that are left out are farthest.
func (n *Member) SetDistances(distances map[string]int) { n.distances = distances }

// HasDistances reports whether the distances to voters are known.
func (n *Member) HasDistances() bool { return n.distances != nil }

// failing reports whether a voter does not grant leases in time.
func (p *peer) failing() bool {
	return p.unable || p.misses > 0 || p.rtt.smoothed > maxUsableRTT
}

// idle returns the voters that get no renewals. A voter whose records are complete is not idle
// until those of the nearest voters are complete as well.
func (n *Member) idle(mode RenewalMode) []*peer {
	if n.distances == nil || n.table == nil || mode == RenewEagerAll || mode == RenewRecovering || n.table.VoterEntry(n.name) != nil {
		return nil
	}
	ranked := slices.Clone(n.peers)
	slices.SortFunc(ranked, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(n.distance(a), n.distance(b)), cmp.Compare(n.rank(a), n.rank(b)))
	})
	used, healthy := 0, 0
	for _, p := range ranked {
		if healthy == n.table.Majority() {
			break
		}
		used++
		if !p.failing() {
			healthy++
		}
	}
	if healthy < n.table.Majority() {
		return nil
	}
	return slices.DeleteFunc(ranked[used:], func(p *peer) bool { return !p.completeAt.IsZero() })
}

// unknownDistance ranks voters without a known distance last.
const unknownDistance = 1 << 10

func (n *Member) distance(p *peer) int {
	if distance, found := n.distances[p.entry.Name]; found {
		return distance
	}
	return unknownDistance
}

// rank orders voters at equal distance. The order differs between members, which balances the load.
func (n *Member) rank(p *peer) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(n.name + "\x00" + p.entry.Name))
	return hash.Sum64()
}

// CompleteVoterNames returns the names of the voters whose records are complete.
func (n *Member) CompleteVoterNames() []string {
	var names []string
	for _, p := range n.peers {
		if !p.completeAt.IsZero() {
			names = append(names, p.entry.Name)
		}
	}
	return names
}
