// Package objectapi simulates the platform's object API and machine list. It serves HTTP with JSON
// bodies. Faults make it slow, unreachable, or drop responses.
package objectapi

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	api "dewknot/internal/postgres/objectapi"
)

// Settings configure a Store.
type Settings struct {
	// Readers is the maximum number of concurrent watches.
	Readers int
	// ListLag is how far the machine list lags behind changes.
	ListLag time.Duration
}

// Store holds the objects and machines. Its methods are safe for concurrent use.
type Store struct {
	settings Settings
	mu       sync.Mutex
	revision uint64
	objects  map[string]api.Object
	changed  chan struct{} // closed and replaced on each change
	watches  int
	machines []machineEvent
	faults   faults
	requests uint64
}

type machineEvent struct {
	at      time.Time
	machine api.Machine
	removed bool
}

type faults struct {
	down        bool
	slow        time.Duration
	loseAnswers int // how many of the next changes take effect without a response
}

// NewStore returns an empty store.
func NewStore(settings Settings) *Store {
	return &Store{settings: settings, objects: map[string]api.Object{}, changed: make(chan struct{})}
}

// maxObjectBytes limits the size of an object's value.
const maxObjectBytes = 1 << 20

// Handler returns the HTTP handler of the object API, the machine list, faults and status.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key...}", s.get)
	mux.HandleFunc("PUT /objects/{key...}", s.change)
	mux.HandleFunc("DELETE /objects/{key...}", s.change)
	mux.HandleFunc("GET /objects", s.list)
	mux.HandleFunc("GET /watch", s.watch)
	mux.HandleFunc("GET /machines", s.listMachines)
	mux.HandleFunc("PUT /machines/{id}", s.putMachine)
	mux.HandleFunc("DELETE /machines/{id}", s.putMachine)
	outer := http.NewServeMux()
	outer.HandleFunc("POST /fault", s.fault)
	outer.HandleFunc("GET /status", s.status)
	outer.Handle("/", s.withFaults(mux))
	return outer
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.mu.Lock()
		s.requests++
		current := s.faults
		s.mu.Unlock()
		time.Sleep(current.slow)
		if current.down {
			dropConnection(writer)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// dropConnection closes the connection without a response.
func dropConnection(writer http.ResponseWriter) {
	if hijacker, ok := writer.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *Store) get(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	found, ok := s.objects[request.PathValue("key")]
	s.mu.Unlock()
	if !ok || found.Deleted {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(writer, found)
}

func (s *Store) change(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxObjectBytes+1))
	deleted := request.Method == http.MethodDelete
	if err != nil || len(body) > maxObjectBytes || (!deleted && !json.Valid(body)) {
		http.Error(writer, "the body must be JSON of at most 1 MiB", http.StatusBadRequest)
		return
	}
	match, err := strconv.ParseUint(request.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(writer, "If-Match must name the version to replace, 0 for a new object", http.StatusBadRequest)
		return
	}
	stored, current, ok := s.Change(request.PathValue("key"), body, match, deleted)
	if !ok {
		writer.Header().Set("Object-Version", strconv.FormatUint(current, 10))
		http.Error(writer, "version conflict", http.StatusConflict)
		return
	}
	if s.takeLostAnswer() {
		dropConnection(writer)
		return
	}
	writeJSON(writer, stored)
}

func (s *Store) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.loseAnswers == 0 {
		return false
	}
	s.faults.loseAnswers--
	return true
}

// Change updates or deletes an object if its current version equals match. On a version conflict,
// ok is false and current is the object's version.
func (s *Store) Change(key string, value json.RawMessage, match uint64, deleted bool) (stored api.Object, current uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.objects[key]
	if !existing.Deleted {
		current = existing.Version
	}
	if current != match {
		return api.Object{}, current, false
	}
	s.revision++
	stored = api.Object{Key: key, Version: s.revision, Deleted: deleted}
	if !deleted {
		stored.Value = value
	}
	s.objects[key] = stored
	close(s.changed)
	s.changed = make(chan struct{})
	return stored, s.revision, true
}

// since returns the objects that changed after a revision, oldest first. s.mu must be held.
func (s *Store) since(revision uint64, prefix string) api.Listing {
	listing := api.Listing{Revision: s.revision}
	for _, object := range s.objects {
		if object.Version > revision && strings.HasPrefix(object.Key, prefix) {
			listing.Objects = append(listing.Objects, object)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Version < listing.Objects[j].Version })
	return listing
}

func (s *Store) list(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	listing := s.since(0, request.URL.Query().Get("prefix"))
	s.mu.Unlock()
	writeJSON(writer, listing)
}

func (s *Store) watch(writer http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	wait, waitErr := time.ParseDuration(request.URL.Query().Get("wait"))
	if err != nil || waitErr != nil {
		http.Error(writer, "since must be a revision and wait a duration", http.StatusBadRequest)
		return
	}
	if !s.beginWatch() {
		http.Error(writer, "too many readers; let fewer nodes watch", http.StatusTooManyRequests)
		return
	}
	defer s.endWatch()
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		listing, changed, down := s.since(since, ""), s.changed, s.faults.down
		s.mu.Unlock()
		if down {
			dropConnection(writer)
			return
		}
		if len(listing.Objects) > 0 {
			writeJSON(writer, listing)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(writer, listing)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *Store) beginWatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches >= s.settings.Readers {
		return false
	}
	s.watches++
	return true
}

func (s *Store) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches--
}

func (s *Store) putMachine(writer http.ResponseWriter, request *http.Request) {
	machine := api.Machine{ID: request.PathValue("id"), Zone: request.URL.Query().Get("zone"), Leaving: request.URL.Query().Get("leaving") == "true"}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines = append(s.machines, machineEvent{at: time.Now(), machine: machine, removed: request.Method == http.MethodDelete})
	writeJSON(writer, machine)
}

func (s *Store) listMachines(writer http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := map[string]machineEvent{}
	for _, event := range s.machines {
		if time.Since(event.at) >= s.settings.ListLag {
			latest[event.machine.ID] = event
		}
	}
	machines := []api.Machine{}
	for _, event := range latest {
		if !event.removed {
			machines = append(machines, event.machine)
		}
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].ID < machines[j].ID })
	writeJSON(writer, machines)
}

func (s *Store) fault(writer http.ResponseWriter, request *http.Request) {
	values := request.URL.Query()
	on := values.Get("on") != "false"
	s.mu.Lock()
	defer s.mu.Unlock()
	switch values.Get("kind") {
	case "down":
		s.setDown(on)
	case "slow":
		delay, err := time.ParseDuration(values.Get("amount"))
		if err != nil && on {
			http.Error(writer, "amount must be a duration", http.StatusBadRequest)
			return
		}
		s.faults.slow = delay
	case "lose-answer":
		count, err := strconv.Atoi(values.Get("amount"))
		if err != nil {
			count = 1
		}
		s.faults.loseAnswers = count
	default:
		http.Error(writer, "kind must be down, slow or lose-answer", http.StatusBadRequest)
	}
}

// SetDown sets whether the store drops every connection without a response.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setDown(down)
}

// setDown also wakes the open watches, so that they end. s.mu must be held.
func (s *Store) setDown(down bool) {
	s.faults.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeStatus is the response to GET /status.
type storeStatus struct {
	Revision uint64 `json:"revision"`
	Watches  int    `json:"watches"`
	Requests uint64 `json:"requests"`
}

func (s *Store) status(writer http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(writer, storeStatus{Revision: s.revision, Watches: s.watches, Requests: s.requests})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
