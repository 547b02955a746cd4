package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MostOfShare is how many times its fair share of the keys a candidate is assigned at most,
// rounded up. The fair share follows the weights. A smaller multiple is more even, but more
// keys move that neither came from nor go to a candidate that changed.
const MostOfShare = 1.25

// Assign gives each key one of the candidates, so that none has more than MostOfShare of its
// fair share. The pairs of a key and a candidate are taken in the order of their scores, so
// the outcome is the same whatever the order of keys and candidates, and a candidate that
// comes or goes moves little else: only keys for which a bounded candidate had no room.
func Assign(keys []string, candidates []Candidate) map[string]string {
	type pair struct {
		key       string
		candidate int
		score     float64
	}
	resolved := resolveWeights(candidates)
	room := rooms(len(keys), resolved)
	pairs := make([]pair, 0, len(keys)*len(resolved))
	for _, key := range keys {
		keyHash := xxhash.Sum64String(key)
		for i, candidate := range resolved {
			pairs = append(pairs, pair{key, i, score(keyHash, candidate, "")})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		// Names are compared for equal scores only, of which there are hardly any.
		if byScore := cmp.Compare(b.score, a.score); byScore != 0 {
			return byScore
		}
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(resolved[a.candidate].ID, resolved[b.candidate].ID))
	})
	owners := make(map[string]string, len(keys))
	for _, p := range pairs {
		if _, assigned := owners[p.key]; !assigned && room[p.candidate] > 0 {
			owners[p.key] = resolved[p.candidate].ID
			room[p.candidate]--
		}
	}
	return owners
}

// rooms returns how many of some keys each candidate may have. In sum it is all of them at
// least.
func rooms(keys int, candidates []Candidate) []int {
	sum := 0.0
	for _, candidate := range candidates {
		sum += candidate.Weight
	}
	room := make([]int, len(candidates))
	for i, candidate := range candidates {
		room[i] = int(math.Ceil(MostOfShare * float64(keys) * candidate.Weight / sum))
	}
	return room
}

// resolveWeights gives candidates that tell no weight the least of those told, 1 if none is.
func resolveWeights(candidates []Candidate) []Candidate {
	least := math.Inf(1)
	for _, candidate := range candidates {
		if candidate.Weight > 0 {
			least = min(least, candidate.Weight)
		}
	}
	if math.IsInf(least, 1) {
		least = 1
	}
	resolved := slices.Clone(candidates)
	for i := range resolved {
		if !(resolved[i].Weight > 0) {
			resolved[i].Weight = least
		}
	}
	return resolved
}
