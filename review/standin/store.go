package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedObject is an object of the platform's metadata store.
type storedObject struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreatedAt       uint64   `json:"created_at"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type storeEvent struct {
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
	number  uint64
}

// store is the platform's metadata store. All its answers are linearizable and nothing is lost.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storedObject
	events   map[string][]storeEvent
	changed  chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]map[string]*storedObject{}, events: map[string][]storeEvent{}, changed: make(chan struct{})}
}

// write stores an object and returns it. The lock must be held.
func (s *store) write(kind, name string, spec json.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	s.revision++
	object := &storedObject{Meta: objectMeta{Name: name, Revision: s.revision, CreatedAt: s.revision, Finalizers: []string{}}, Spec: spec}
	if before := s.objects[kind][name]; before != nil {
		object.Meta.CreatedAt = before.Meta.CreatedAt
		object.Status = before.Status
	}
	s.objects[kind][name] = object
	s.publish(kind, storeEvent{Object: *object, number: s.revision})
	return *object
}

func (s *store) publish(kind string, event storeEvent) {
	s.events[kind] = append(s.events[kind], event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object of the operator or of a server.
func (s *store) put(kind, name string, spec any) {
	content, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, content)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) {
	object := s.objects[kind][name]
	if object == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(kind, storeEvent{Object: *object, Deleted: true, number: s.revision})
}

const objectsPath = "/dewknot/objects/"

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		object := s.objects[kind][name]
		if object == nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer := *object
		s.mu.Unlock()
		reply(w, http.StatusOK, answer)
	default:
		s.change(w, r, kind, name, body)
	}
}

func reply(w http.ResponseWriter, status int, answer any) {
	content, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storedObject{}
	for name, object := range s.objects[kind] {
		if name > after {
			items = append(items, *object)
		}
	}
	timestamp := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "timestamp": timestamp})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, event := range s.events[kind] {
			if event.number > after {
				events = append(events, event)
			}
		}
		timestamp, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "timestamp": timestamp})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var sent storedObject
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wanted := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	s.mu.Lock()
	present := s.objects[kind][name]
	status, answer := http.StatusOK, storedObject{}
	switch {
	case r.Method == http.MethodPost && present != nil:
		status, answer = http.StatusConflict, *present
	case r.Method == http.MethodPost:
		answer = s.write(kind, name, sent.Spec)
	case present == nil:
		status = http.StatusNotFound
	case wanted != 0 && wanted != present.Meta.Revision:
		status, answer = http.StatusConflict, *present
	case r.Method == http.MethodPut && string(present.Spec) == string(sent.Spec):
		answer = *present
	case r.Method == http.MethodPut:
		answer = s.write(kind, name, sent.Spec)
	case r.Method == http.MethodDelete:
		answer = *present
		s.delete(kind, name)
	default:
		status = http.StatusBadRequest
	}
	s.mu.Unlock()
	record.add("store", fmt.Sprintf("%s %s/%s %d", r.Method, kind, name, status))
	reply(w, status, answer)
}
