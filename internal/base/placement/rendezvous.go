// Package placement ranks nodes for groups and roles by weighted rendezvous hashing.
//
// Every node computes the same ranking from the same members, without messages.
// Views may differ for a while: the ranking decides efficiency, never safety.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a node that can be ranked.
type Candidate struct {
	ID   string
	Zone string
	// Weight is in proportion to how often the candidate ranks first. One that has none
	// weighs as the least of those that do.
	Weight float64
}

// homeZoneWeight makes a node in a key's home zone that many times as likely to
// rank first as one elsewhere, so that owners tend to be near the primary.
const homeZoneWeight = 6

// Rank returns the best candidates for a key, best first, at most count.
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

// score is the weighted rendezvous score -weight/ln(u) with u uniform in (0, 1).
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

// mix is the finalizer of splitmix64; it spreads the bits of a combined hash.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
