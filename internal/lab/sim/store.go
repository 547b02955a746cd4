package sim

import (
	"context"
	"encoding/json"
	"time"

	store "dewknot/internal/lab/standin/objectapi"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/objectapi"
)

// objectStore is the platform's object store: the simulated store of package standin/objectapi
// without its HTTP interface.
type objectStore struct {
	world *World
	inner *store.Store
	// objects holds the stored objects, updated with every change.
	objects     *configuration.State
	down        bool
	loseAnswers int
}

func newObjectStore(world *World) *objectStore {
	return &objectStore{
		world: world, inner: store.NewStore(store.Settings{Readers: 8}), objects: configuration.NewState(),
	}
}

func (s *objectStore) heal() {
	s.down = false
	s.loseAnswers = 0
}

func (s *objectStore) put(key string, value any, match uint64) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the simulator's own values can be encoded
	}
	if _, err := s.Put(context.Background(), key, encoded, match); err != nil {
		panic(err)
	}
}

// seed stores the groups and the first policies.
func (s *objectStore) seed() {
	for index, current := range s.world.groups {
		config := configuration.Group{Slots: s.world.settings.Slots, Connections: s.world.settings.Connections}
		for _, server := range current.servers {
			config.Servers = append(config.Servers,
				configuration.Server{Address: server.location.id, Zone: server.location.zone.Name})
		}
		s.put(configuration.GroupPrefix+current.name, config, 0)
		table := s.world.settings.Table
		table.Service = groupName(index)
		s.put(configuration.PolicyPrefix+current.name, configuration.Policy{Table: &table, Author: "seed"}, 0)
	}
}

// Get implements administration.Store.
func (s *objectStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	if s.down {
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.Unavailable, Message: "store is down"}
	}
	found, ok := s.objects.Get(key)
	if !ok {
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.NotFound}
	}
	return found, nil
}

// Put implements administration.Store.
func (s *objectStore) Put(
	_ context.Context, key string, value json.RawMessage, version uint64,
) (objectapi.Object, error) {
	return s.change(key, value, version, false)
}

// Delete implements administration.Store.
func (s *objectStore) Delete(_ context.Context, key string, version uint64) (objectapi.Object, error) {
	return s.change(key, nil, version, true)
}

func (s *objectStore) change(
	key string, value json.RawMessage, version uint64, deleted bool,
) (objectapi.Object, error) {
	if s.down {
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.AnswerLost, Message: "store is down"}
	}
	stored, current, ok := s.inner.Change(key, value, version, deleted)
	if !ok {
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.Conflict, Current: current}
	}
	s.objects.Merge([]objectapi.Object{stored}, stored.Version)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.AnswerLost, Message: "answer lost"}
	}
	return stored, nil
}

// since returns the objects above a revision; ok is false while the store is down.
func (s *objectStore) since(revision uint64) (objects []objectapi.Object, complete uint64, ok bool) {
	if s.down {
		return nil, 0, false
	}
	objects, complete = s.objects.Since(revision)
	return objects, complete, true
}

// storeDelay is the one-way delay between any node and the store.
const storeDelay = 5 * time.Millisecond
