// Package configuration holds the fleet's configuration on each node: a set of
// versioned objects whose versions never decrease.
//
// All versions come from the revision counter of the store. A node has every change
// up to its Complete revision and may have some later objects. Merging keeps the
// higher version of each object, which makes it commutative, associative and
// idempotent: peers and the store may deliver changes in any order and more than
// once, and no object reverts to an older version.
package configuration

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"dewknot/internal/postgres/objectapi"
)

// State is the configuration as known to one node. It is not safe for concurrent use.
type State struct {
	objects  map[string]objectapi.Object
	complete uint64
	hash     uint64
	// AcceptOlder lets Merge accept older versions. It is a fault that only tests
	// set, to verify that the checker detects it.
	AcceptOlder bool
}

// NewState returns an empty state.
func NewState() *State { return &State{objects: map[string]objectapi.Object{}} }

// Digest identifies a state, so that peers can compare theirs.
type Digest struct {
	Complete uint64 `msgpack:"c"`
	Hash     uint64 `msgpack:"h"`
}

// Digest returns the digest of the state. Equal digests mean equal states, except
// for hash collisions, which the next change resolves.
func (s *State) Digest() Digest { return Digest{Complete: s.complete, Hash: s.hash} }

// Complete returns the revision up to which the state has every change.
func (s *State) Complete() uint64 { return s.complete }

// Get returns an object. It does not find deleted objects.
func (s *State) Get(key string) (objectapi.Object, bool) {
	found, ok := s.objects[key]
	return found, ok && !found.Deleted
}

// Len returns the number of objects, including tombstones.
func (s *State) Len() int { return len(s.objects) }

// Each calls visit for every object that is not deleted, ordered by key.
func (s *State) Each(visit func(objectapi.Object)) {
	keys := make([]string, 0, len(s.objects))
	for key := range s.objects {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if object := s.objects[key]; !object.Deleted {
			visit(object)
		}
	}
}

// Merge merges objects into the state and returns those that changed. The objects
// must include every change between the state's own complete revision and complete;
// complete is 0 for single objects.
func (s *State) Merge(objects []objectapi.Object, complete uint64) []objectapi.Object {
	var changed []objectapi.Object
	for _, object := range objects {
		current, exists := s.objects[object.Key]
		if exists && object.Version <= current.Version && !s.AcceptOlder {
			continue
		}
		if exists {
			s.hash ^= objectHash(current)
		}
		s.hash ^= objectHash(object)
		s.objects[object.Key] = object
		changed = append(changed, object)
	}
	s.complete = max(s.complete, complete)
	return changed
}

func objectHash(object objectapi.Object) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	hash := xxhash.Sum64String(object.Key) + object.Version*multiplier
	return hash ^ hash>>29*multiplier
}

// Since returns all known objects with a version above revision, ordered by version,
// and the revision up to which they are complete.
func (s *State) Since(revision uint64) ([]objectapi.Object, uint64) {
	var objects []objectapi.Object
	for _, object := range s.objects {
		if object.Version > revision {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects, s.complete
}
