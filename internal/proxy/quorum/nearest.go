package quorum

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// A member learns all records of a voter before it holds a lease from it. With hundreds of
// services and nodes these are most of what nodes send each other between regions, so a member
// that is no voter learns them from the nearest majority only. It asks others if one of those
// does not answer in time, or takes no part, or if they do not suffice.

// latestRenewal is the longest way to a voter by which leases that are renewed at RenewInterval
// do not run out in between.
const latestRenewal = LeaseSpan - RenewInterval

// SetDistances tells how far the voters are, by name; those that are left out are farthest.
func (n *Member) SetDistances(distances map[string]int) { n.distances = distances }

// Placed reports whether it is known how far voters are.
func (n *Member) Placed() bool { return n.distances != nil }

// failing reports whether a voter gives no leases in time.
func (of *mirror) failing() bool {
	return of.unable || of.misses > 0 || of.trip.smoothed > latestRenewal
}

// resting returns the voters that are not asked. One whose records are known stays with the
// others until those of the nearest are known as well.
func (n *Member) resting(haste Haste) []*mirror {
	if n.distances == nil || n.table == nil || haste == Wide || haste == Urgent || n.table.Seat(n.name) != nil {
		return nil
	}
	ranked := slices.Clone(n.mirrors)
	slices.SortFunc(ranked, func(a, b *mirror) int {
		return cmp.Or(cmp.Compare(n.distance(a), n.distance(b)), cmp.Compare(n.rank(a), n.rank(b)))
	})
	asked, sound := 0, 0
	for _, of := range ranked {
		if sound == n.table.Majority() {
			break
		}
		asked++
		if !of.failing() {
			sound++
		}
	}
	if sound < n.table.Majority() {
		return nil
	}
	return slices.DeleteFunc(ranked[asked:], func(of *mirror) bool { return !of.wholeAt.IsZero() })
}

// farthest is the distance of a voter whose place is not known.
const farthest = 1 << 10

func (n *Member) distance(of *mirror) int {
	if distance, known := n.distances[of.seat.Name]; known {
		return distance
	}
	return farthest
}

// rank orders voters that are equally far in another way at each member, which spreads the
// members over them.
func (n *Member) rank(of *mirror) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(n.name + "\x00" + of.seat.Name))
	return hash.Sum64()
}

// KnownVoters returns the voters whose records are known whole.
func (n *Member) KnownVoters() []string {
	var names []string
	for _, of := range n.mirrors {
		if !of.wholeAt.IsZero() {
			names = append(names, of.seat.Name)
		}
	}
	return names
}
