// Package placement assigns keys, such as groups, servers and roles, to nodes by weighted
// rendezvous hashing.
//
// Every node computes the same result from the same members, without messages. Nodes may
// temporarily have different members: placement affects efficiency, never safety.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a node to which keys can be assigned.
type Candidate struct {
	ID   string
	Zone string
	// Weight is proportional to the number of keys for which the candidate ranks first. A
	// candidate without a weight gets the smallest weight of the others.
	Weight float64
}

// homeZoneWeight multiplies the weight of nodes in a key's home zone, so that owners tend to be
// near the primary.
const homeZoneWeight = 6

// Rank returns at most count candidates for a key, the best first.
func Rank(key, homeZone string, candidates []Candidate, count int) []string {
	type scored struct {
		id    string
		score float64
	}
	best := make([]scored, 0, count+1)
	keyHash := xxhash.Sum64String(key)
	for _, candidate := range resolveWeights(candidates) {
		current := scored{candidate.ID, score(keyHash, candidate, homeZone)}
		at, _ := slices.BinarySearchFunc(best, current, func(element, target scored) int {
			if element.score > target.score || element.score == target.score && element.id < target.id {
				return -1
			}
			return 1
		})
		if at >= count {
			continue
		}
		best = slices.Insert(best, at, current)
		best = best[:min(len(best), count)]
	}
	ids := make([]string, len(best))
	for index, current := range best {
		ids[index] = current.id
	}
	return ids
}

// score returns the weighted rendezvous score -weight/ln(u), with u uniform in (0, 1).
func score(keyHash uint64, candidate Candidate, homeZone string) float64 {
	const mantissaBits = 53
	mixed := mix(keyHash ^ xxhash.Sum64String(candidate.ID))
	uniform := (float64(mixed>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	weight := candidate.Weight
	if homeZone != "" && candidate.Zone == homeZone {
		weight *= homeZoneWeight
	}
	return -weight / math.Log(uniform)
}

// mix is the finalizer of splitmix64. It distributes the bits of a combined hash.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
