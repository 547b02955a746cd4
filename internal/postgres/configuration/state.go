// Package configuration holds the fleet's configuration as every node knows it:
// a set of versioned objects that only ever moves forward.
//
// All versions come from the store's one revision counter. A node knows every
// change up to its Complete revision, and may know single later objects. Merging
// keeps the higher version of each object, so that it is commutative,
// associative and idempotent: the order in which peers and the store deliver
// changes, however often, does not matter, and nothing reverts.
package configuration

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"dewknot/internal/postgres/objectapi"
)

// State is a node's knowledge of the configuration.
type State struct {
	objects  map[string]objectapi.Object
	complete uint64
	hash     uint64
	// AcceptOlder breaks the rule that versions only grow; only a test of the
	// checker sets it.
	AcceptOlder bool
}

// NewState returns an empty state.
func NewState() *State { return &State{objects: map[string]objectapi.Object{}} }

// Digest summarizes a state for comparison between peers.
type Digest struct {
	Complete uint64 `msgpack:"c"`
	Hash     uint64 `msgpack:"h"`
}

// Digest returns the state's summary; equal digests mean equal states but for
// hash collisions, which the next change resolves.
func (s *State) Digest() Digest { return Digest{Complete: s.complete, Hash: s.hash} }

// Complete returns the revision up to which the node knows every change.
func (s *State) Complete() uint64 { return s.complete }

// Get returns an object; deleted objects are not found.
func (s *State) Get(key string) (objectapi.Object, bool) {
	found, ok := s.objects[key]
	return found, ok && !found.Deleted
}

// Len returns the number of objects, tombstones included.
func (s *State) Len() int { return len(s.objects) }

// Each calls visit for every object that is not deleted, in the order of keys.
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

// Merge takes in objects, and the revision up to which they complete what lies
// above this state's own complete revision (0 for single objects). It returns
// the objects that changed.
func (s *State) Merge(objects []objectapi.Object, complete uint64) []objectapi.Object {
	var changed []objectapi.Object
	for _, object := range objects {
		current, known := s.objects[object.Key]
		if known && object.Version <= current.Version && !s.AcceptOlder {
			continue
		}
		if known {
			s.hash ^= hashOf(current)
		}
		s.hash ^= hashOf(object)
		s.objects[object.Key] = object
		changed = append(changed, object)
	}
	s.complete = max(s.complete, complete)
	return changed
}

func hashOf(object objectapi.Object) uint64 {
	const mixer = 0x9e3779b97f4a7c15
	hash := xxhash.Sum64String(object.Key) + object.Version*mixer
	return hash ^ hash>>29*mixer
}

// Since returns every object above a revision and the revision up to which that
// is all of them.
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
