package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Position is a position in a server's log.
type Position struct{ Term, Number uint64 }

// String returns the position as it stands on the wire.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Number) }

// logEntry is a commit that wrote.
type logEntry struct {
	at       Position
	requests []string
}

// ServiceConfig configures a stand-in of a service.
type ServiceConfig struct {
	Name           string
	SyncReplicas   int
	MaxConnections int
	Slots          int
	PromoteDelay   time.Duration
	Handshake      time.Duration
	// Work returns how long a statement runs.
	Work func(id, text string) time.Duration
	// LapseAfter is how long after its end a server's entry goes if the server did not remove it.
	LapseAfter time.Duration
	DrainFor   time.Duration
}

// Service is one primary with its replicas. Its lock guards the servers too.
type Service struct {
	config ServiceConfig
	store  *Store
	record *Record

	mu         sync.Mutex
	changed    *sync.Cond
	term       uint64
	primary    *Server
	servers    []*Server
	serial     int
	fence      uint64
	promotions []promotionDone
	// ran holds, by request, how often a server ran it, arrived by request when a server first
	// received it, and committed how often a write of it took effect.
	ran     map[string]int
	arrived map[string]time.Time
	// ranFor holds, by request, whom the connection was opened for on which it ran last.
	ranFor    map[string]string
	committed map[string]int
}

// promotionDone is a change of the primary that has taken effect.
type promotionDone struct {
	at      time.Time
	from    string
	to      *Server
	term    uint64
	missing []string
}

// Server is a stand-in of a database server.
type Server struct {
	service  *Service
	id, zone string
	address  string
	listener net.Listener
	// receiveDelay is the one-way delay of the replication to this server.
	receiveDelay time.Duration

	up, draining bool
	// listed is set while the server's entry is in the store.
	listed bool
	// cut is set while no machine of the system reaches the server, deaf while it receives nothing.
	cut, deaf bool
	paused    uint64
	log       []logEntry
	applied   int
	// acknowledged is how much of the log the primary knows the server to have received.
	acknowledged int
	connections  map[*serverSession]struct{}
	slots        chan struct{}
	queued       int
	begun        int64
}

func newService(config ServiceConfig, store *Store, record *Record) *Service {
	s := &Service{
		config: config, store: store, record: record, term: 1,
		ran: map[string]int{}, ranFor: map[string]string{}, arrived: map[string]time.Time{}, committed: map[string]int{},
	}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// AddServer starts a server with the primary's log. The first one is the primary.
func (s *Service) AddServer(ip, zone string, receiveDelay time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	server := &Server{
		service: s, id: fmt.Sprintf("i-%s%d", s.config.Name, s.serial), zone: zone, address: listener.Addr().String(),
		listener: listener, receiveDelay: receiveDelay, up: true, connections: map[*serverSession]struct{}{},
		slots: make(chan struct{}, s.config.Slots), begun: time.Now().UnixMilli(),
	}
	if s.primary == nil {
		s.primary = server
	} else {
		server.log = slices.Clone(s.primary.log)
		server.applied, server.acknowledged = len(server.log), len(server.log)
	}
	s.servers = append(s.servers, server)
	server.listed = true
	server.announce()
	s.record.Add("server %s of %s starts in %s, primary %v", server.id, s.config.Name, zone, s.primary == server)
	go server.accept(listener)
	return server, nil
}

// announce writes the server's entry. The lock is held.
func (v *Server) announce() {
	if !v.listed {
		return
	}
	state, role := "ready", "replica"
	if v.draining {
		state = "draining"
	}
	if v.service.primary == v {
		role = "primary"
	}
	v.service.store.Put("servers", v.id, map[string]any{
		"service": v.service.config.Name, "address": v.address, "zone": v.zone, "version": "v1", "slots": v.service.config.Slots,
		"state": state, "cold_remaining_ms": 0, "db_role": role, "born": v.begun, "sequence": 1,
	})
}

// Drain begins the planned end of a server that announces it.
func (v *Server) Drain() {
	v.service.mu.Lock()
	v.draining = true
	v.announce()
	v.service.mu.Unlock()
	v.service.record.Note("server %s says draining", v.id)
	time.AfterFunc(v.service.config.DrainFor+time.Second, func() {
		v.stop()
		v.unlist()
		v.service.record.Note("server %s has ended", v.id)
	})
}

// LeaveSilently begins the planned end of a server that never says draining: its entry goes, and it
// serves on as long as one that does.
func (v *Server) LeaveSilently() {
	v.unlist()
	v.service.record.Note("server %s leaves: its entry is gone, it serves on", v.id)
	time.AfterFunc(v.service.config.DrainFor+time.Second, func() {
		v.stop()
		v.service.record.Note("server %s has ended", v.id)
	})
}

func (v *Server) unlist() {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	if v.listed {
		v.listed = false
		v.service.store.Remove("servers", v.id)
	}
}

// stop ends the server's process.
func (v *Server) stop() {
	v.service.mu.Lock()
	defer v.service.mu.Unlock()
	if !v.up {
		return
	}
	v.up = false
	_ = v.listener.Close()
	for session := range v.connections {
		_ = session.conn.Close()
	}
	v.connections = map[*serverSession]struct{}{}
	v.service.changed.Broadcast()
}

// Crash ends the server. Its entry lapses. It returns with its log after a while.
func (v *Server) Crash(downFor time.Duration) {
	v.stop()
	v.service.record.Note("server %s crashes", v.id)
	time.AfterFunc(v.service.config.LapseAfter, func() {
		v.service.mu.Lock()
		up := v.up
		v.service.mu.Unlock()
		if !up {
			v.unlist()
		}
	})
	time.AfterFunc(downFor, v.restart)
}

func (v *Server) restart() {
	listener, err := net.Listen("tcp4", v.address)
	if err != nil {
		v.service.record.Note("server %s does not return: %v", v.id, err)
		return
	}
	s := v.service
	s.mu.Lock()
	defer s.mu.Unlock()
	v.listener, v.up, v.listed, v.begun = listener, true, true, time.Now().UnixMilli()
	v.paused = 0
	if s.primary != v {
		v.truncate()
		s.replicate(v)
	}
	v.announce()
	s.record.Note("server %s returns with its log at %s, primary %v", v.id, v.position(), s.primary == v)
	go v.accept(listener)
}

// SetCut cuts the server off from all machines of the system, or ends that.
func (v *Server) SetCut(cut bool) {
	v.service.mu.Lock()
	v.cut = cut
	var open []*serverSession
	if !cut {
		// The connections of before the cut are dropped.
		for session := range v.connections {
			open = append(open, session)
		}
	}
	v.service.changed.Broadcast()
	v.service.mu.Unlock()
	for _, session := range open {
		_ = session.conn.Close()
	}
	v.service.record.Note("server %s cut off from the machines: %v", v.id, cut)
}

// SetDeaf keeps the server from receiving, or ends that.
func (v *Server) SetDeaf(deaf bool) {
	v.service.mu.Lock()
	v.deaf = deaf
	if !deaf {
		v.service.replicate(v)
	}
	v.service.mu.Unlock()
	v.service.record.Note("server %s receives nothing: %v", v.id, deaf)
}

// position returns the end of the log. The lock is held.
func (v *Server) position() Position { return v.at(len(v.log)) }

func (v *Server) at(length int) Position {
	if length == 0 {
		return Position{Term: 1}
	}
	return v.log[length-1].at
}

// covers reports whether the log has a position. The lock is held.
func (v *Server) covers(at Position) bool {
	if at.Number == 0 {
		return true
	}
	return uint64(v.applied) >= at.Number && v.log[at.Number-1].at == at
}

// truncate rolls back what the primary's log lacks. The lock is held.
func (v *Server) truncate() {
	primary := v.service.primary.log
	common := 0
	for common < len(v.log) && common < len(primary) && v.log[common].at == primary[common].at {
		common++
	}
	v.log = v.log[:common:common]
	v.applied, v.acknowledged = min(v.applied, common), min(v.acknowledged, common)
}

// replicate sends what the primary has to a replica. The lock is held.
func (s *Service) replicate(replica *Server) {
	primary, term := s.primary, s.term
	if replica == primary || !primary.up {
		return
	}
	length := len(primary.log)
	time.AfterFunc(replica.receiveDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.term != term || !replica.up || replica.deaf || replica.paused > 0 || len(replica.log) >= length {
			return
		}
		replica.log = append(replica.log, primary.log[len(replica.log):length]...)
		time.AfterFunc(8*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			replica.applied = max(replica.applied, min(length, len(replica.log)))
		})
		time.AfterFunc(replica.receiveDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.term == term && s.primary == primary {
				replica.acknowledged = max(replica.acknowledged, min(length, len(replica.log)))
				s.changed.Broadcast()
			}
		})
	})
}

// commit appends writes to the primary's log. The lock is held.
func (s *Service) commit(requests []string) Position {
	primary := s.primary
	at := Position{Term: s.term, Number: uint64(len(primary.log) + 1)}
	primary.log = append(primary.log, logEntry{at: at, requests: requests})
	primary.applied = len(primary.log)
	for _, request := range requests {
		s.committed[request]++
	}
	for _, server := range s.servers {
		s.replicate(server)
	}
	return at
}

// awaitReplicas waits until enough replicas have received a position. It reports false if the server
// ends or loses the lead before. The lock is held.
func (s *Service) awaitReplicas(v *Server, at Position) bool {
	for {
		if !v.up || s.primary != v || s.term != at.Term {
			return false
		}
		received := 0
		for _, server := range s.servers {
			if server != v && server.acknowledged >= int(at.Number) {
				received++
			}
		}
		if received >= s.config.SyncReplicas {
			return true
		}
		s.changed.Wait()
	}
}

// find returns a server by its ID, or nil. The lock is held.
func (s *Service) find(id string) *Server {
	for _, server := range s.servers {
		if server.id == id {
			return server
		}
	}
	return nil
}

// order handles POST /promotions and returns the status.
func (s *Service) order(id, holder string, token uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.find(id)
	status := http.StatusOK
	switch {
	case token < s.fence:
		status = http.StatusConflict
	case target == nil || !target.up:
		s.fence = token
		status = http.StatusConflict
	default:
		s.fence = token
		if target != s.primary {
			time.AfterFunc(s.config.PromoteDelay, func() { s.promote(target) })
		}
	}
	s.record.Note("%s orders the promotion of %s, token %d: %d", holder, id, token, status)
	return status
}

// promote makes a server the primary.
func (s *Service) promote(target *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !target.up || target == s.primary {
		return
	}
	previous := s.primary
	s.term++
	s.primary = target
	target.paused, target.applied = 0, len(target.log)
	s.promotions = append(s.promotions, promotionDone{at: time.Now(), from: previous.id, to: target, term: s.term})
	s.record.Note("%s leads term %d with its log at %s; %s had %s", target.id, s.term, target.position(), previous.id, previous.position())
	for _, server := range s.servers {
		if server == target {
			continue
		}
		s.record.Note("  %s had received %s", server.id, server.position())
		server.paused = 0
		server.truncate()
		server.acknowledged = 0
		s.replicate(server)
	}
	previous.announce()
	target.announce()
	s.changed.Broadcast()
}

// holds reports whether the present primary's log has the writes of a request.
func (s *Service) holds(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.primary.log {
		if slices.Contains(s.primary.log[i].requests, request) {
			return true
		}
	}
	return false
}

// Cloud is a stand-in of the platform's promotions.
type Cloud struct {
	address  string
	services map[string]*Service
}

func newCloud(ip string, services map[string]*Service) (*Cloud, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	c := &Cloud{address: listener.Addr().String(), services: services}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotions", c.promote)
	go func() { _ = http.Serve(listener, mux) }()
	return c, nil
}

func (c *Cloud) promote(w http.ResponseWriter, r *http.Request) {
	var sent struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Dewknot-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&sent) != nil || c.services[sent.Service] == nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	w.WriteHeader(c.services[sent.Service].order(sent.ID, r.Header.Get("Dewknot-Lease-Holder"), token))
}

// signature returns a signature that no other answer has.
func (v *Server) signature() string {
	return fmt.Sprintf("%s.%x.%x", v.id, time.Now().UnixNano(), rand.Uint64())
}
