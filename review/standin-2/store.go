package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the store's time for an answer.
const storeLatency = 4 * time.Millisecond

// pageObjects is the number of objects on one page of a listing.
const pageObjects = 500

type objectMeta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreatedAt       uint64   `json:"created_at"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
}

// newStore returns a store that serves HTTP on a free port of an address.
func newStore(ip string) (*Store, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		address: listener.Addr().String(), revision: 1,
		kinds: map[string]map[string]object{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// Put writes an object on behalf of the operator or a server.
func (s *Store) Put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, content, nil, nil)
}

// Remove deletes an object on behalf of the operator or a server.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec, status json.RawMessage, finalizers []string) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	current, found := s.kinds[kind][name]
	if !found {
		current = object{Meta: objectMeta{Name: name, CreatedAt: s.revision}}
	}
	current.Meta.Revision = s.revision
	current.Meta.Finalizers = slices.Clone(finalizers)
	if current.Meta.Finalizers == nil {
		current.Meta.Finalizers = []string{}
	}
	current.Spec = spec
	if status != nil {
		current.Status = status
	}
	s.kinds[kind][name] = current
	s.record(kind, current, false)
	return current
}

func (s *Store) remove(kind, name string) {
	current, found := s.kinds[kind][name]
	if !found {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	current.Meta.Revision = s.revision
	s.record(kind, current, true)
}

func (s *Store) record(kind string, changed object, deleted bool) {
	s.history = append(s.history, storeEvent{Object: changed, Deleted: deleted, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/dewknot/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	time.Sleep(storeLatency)
	parts := strings.SplitN(path, "/", 3)
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost && name == "":
		s.create(w, r, kind)
	case r.Method == http.MethodPut:
		s.replace(w, r, kind, name, len(parts) == 3)
	case r.Method == http.MethodDelete:
		s.drop(w, r, kind, name)
	default:
		http.Error(w, "unknown call", http.StatusBadRequest)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageObjects
	if more {
		names = names[:pageObjects]
	}
	items := make([]object, 0, len(names))
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "timestamp": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, event := range s.history {
			if event.kind == kind && event.revision > after {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "timestamp": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	current, found := s.kinds[kind][name]
	s.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, current)
}

func decodeObject(r *http.Request) (object, error) {
	var sent object
	err := json.NewDecoder(r.Body).Decode(&sent)
	return sent, err
}

func (s *Store) create(w http.ResponseWriter, r *http.Request, kind string) {
	sent, err := decodeObject(r)
	if err != nil || sent.Meta.Name == "" {
		http.Error(w, fmt.Sprint("bad object ", err), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	current, found := s.kinds[kind][sent.Meta.Name]
	if !found {
		current = s.put(kind, sent.Meta.Name, sent.Spec, nil, sent.Meta.Finalizers)
	}
	s.mu.Unlock()
	if found {
		answer(w, http.StatusConflict, current)
		return
	}
	answer(w, http.StatusOK, current)
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	sent, err := decodeObject(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	current, found := s.kinds[kind][name]
	conflict := found && sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision
	if found && !conflict {
		spec, newStatus, finalizers := sent.Spec, json.RawMessage(nil), sent.Meta.Finalizers
		if status {
			spec, newStatus, finalizers = current.Spec, sent.Status, current.Meta.Finalizers
		}
		if string(spec) != string(current.Spec) || status || !slices.Equal(finalizers, current.Meta.Finalizers) {
			current = s.put(kind, name, spec, newStatus, finalizers)
		}
	}
	s.mu.Unlock()
	switch {
	case !found:
		http.Error(w, "no such object", http.StatusNotFound)
	case conflict:
		answer(w, http.StatusConflict, current)
	default:
		answer(w, http.StatusOK, current)
	}
}

func (s *Store) drop(w http.ResponseWriter, r *http.Request, kind, name string) {
	condition, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	current, found := s.kinds[kind][name]
	conflict := found && condition != 0 && condition != current.Meta.Revision
	if found && !conflict {
		s.remove(kind, name)
	}
	s.mu.Unlock()
	switch {
	case !found:
		http.Error(w, "no such object", http.StatusNotFound)
	case conflict:
		answer(w, http.StatusConflict, current)
	default:
		answer(w, http.StatusOK, current)
	}
}
