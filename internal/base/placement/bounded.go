package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxShareRatio is the maximum number of keys of a candidate in proportion to its fair share,
// which follows the weights. A smaller ratio balances better, but a change of one candidate
// then moves more keys between unchanged candidates.
const MaxShareRatio = 1.25

// Assign assigns each key to a candidate. No candidate gets more than MaxShareRatio times its
// fair share, rounded up. Pairs of a key and a candidate are assigned in the order of their
// scores, so the result does not depend on the order of the arguments. When a candidate is added
// or removed, the only other keys that move are those for which a candidate was full.
func Assign(keys []string, candidates []Candidate) map[string]string {
	type pair struct {
		key       string
		candidate int
		score     float64
	}
	resolved := resolveWeights(candidates)
	capacity := capacities(len(keys), resolved)
	pairs := make([]pair, 0, len(keys)*len(resolved))
	for _, key := range keys {
		keyHash := xxhash.Sum64String(key)
		for i, candidate := range resolved {
			pairs = append(pairs, pair{key, i, score(keyHash, candidate, "")})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		// Comparing names only for equal scores, which are rare, saves time.
		if byScore := cmp.Compare(b.score, a.score); byScore != 0 {
			return byScore
		}
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(resolved[a.candidate].ID, resolved[b.candidate].ID))
	})
	owners := make(map[string]string, len(keys))
	for _, p := range pairs {
		if _, assigned := owners[p.key]; !assigned && capacity[p.candidate] > 0 {
			owners[p.key] = resolved[p.candidate].ID
			capacity[p.candidate]--
		}
	}
	return owners
}

// capacities returns the maximum number of keys of each candidate. The sum is at least keys.
func capacities(keys int, candidates []Candidate) []int {
	sum := 0.0
	for _, candidate := range candidates {
		sum += candidate.Weight
	}
	capacity := make([]int, len(candidates))
	for i, candidate := range candidates {
		capacity[i] = int(math.Ceil(MaxShareRatio * float64(keys) * candidate.Weight / sum))
	}
	return capacity
}

// resolveWeights returns the candidates with a weight for all: candidates without one get the
// smallest weight of the others, 1 if no candidate has one.
func resolveWeights(candidates []Candidate) []Candidate {
	smallest := math.Inf(1)
	for _, candidate := range candidates {
		if candidate.Weight > 0 {
			smallest = min(smallest, candidate.Weight)
		}
	}
	if math.IsInf(smallest, 1) {
		smallest = 1
	}
	resolved := slices.Clone(candidates)
	for i := range resolved {
		if !(resolved[i].Weight > 0) {
			resolved[i].Weight = smallest
		}
	}
	return resolved
}
