package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// commit is a committed write in a server's log.
type commit struct {
	id, thing, data string
	term, number    uint64
	at              time.Time
}

// server is one database server of the service. Its fields are guarded by the group's lock.
type server struct {
	id, zone, address string
	listener          net.Listener
	connections       map[net.Conn]struct{}
	primary           bool
	alive             bool
	// inStore is set while the server reaches the platform's store.
	inStore bool
	term    uint64
	log     []commit
	paused  bool
	delay   time.Duration
	// dark is set while nothing reaches the server and it reaches nobody.
	dark bool
}

// takeover is a promote that took effect.
type takeover struct {
	server string
	term   uint64
	at     time.Time
}

// group is a service: a primary and its replicas, without synchronous replicas. The platform checks
// no fences. A replaced primary goes on until DEMOTE, or until a second after it can reach the new one.
type group struct {
	mu      sync.Mutex
	service string
	servers map[string]*server
	leader  *server
	term    uint64
	// takeovers are the promotes that took effect, ran the commits of all servers by request, also those
	// that were rolled back later.
	takeovers []takeover
	ran       map[string]ranCommit
	store     *store
	// synchronous makes the answer to a commit come once a replica has received it.
	synchronous bool
}

// ranCommit is a write that a server ran.
type ranCommit struct {
	server    string
	commit    commit
	arrivedAt time.Time
}

const (
	promoteDelay  = 300 * time.Millisecond
	deposedPeriod = time.Second
	workTime      = 3 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	silenceBeats  = 3
)

func newGroup(service string, s *store) *group {
	return &group{service: service, servers: map[string]*server{}, ran: map[string]ranCommit{}, store: s}
}

func (g *group) add(id, zone string, primary bool, delay time.Duration) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{
		id: id, zone: zone, address: listener.Addr().String(), listener: listener, connections: map[net.Conn]struct{}{},
		primary: primary, alive: true, inStore: true, term: 1, delay: delay,
		log: []commit{{id: "-", thing: "seed", data: "x", term: 1, number: 1}},
	}
	g.mu.Lock()
	g.servers[id] = s
	if primary {
		g.leader, g.term = s, 1
	}
	g.mu.Unlock()
	go g.accept(s)
	go g.replicate(s)
	g.publish(s)
	return nil
}

// publish writes a server's entry to the store.
func (g *group) publish(s *server) {
	g.mu.Lock()
	role := "replica"
	if s.primary {
		role = "primary"
	}
	reaches := s.inStore && s.alive
	g.mu.Unlock()
	if !reaches {
		return
	}
	g.store.put("servers", s.id, map[string]any{
		"service": g.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 3, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "db_role": role,
	})
	record.add("directory", s.id+" says that it is "+role)
}

// silence keeps a server from the store; its entry goes after three heartbeats.
func (g *group) silence(s *server) {
	g.mu.Lock()
	s.inStore = false
	g.mu.Unlock()
	time.AfterFunc(silenceBeats*heartbeat, func() {
		g.mu.Lock()
		gone := !s.inStore || !s.alive
		g.mu.Unlock()
		if gone {
			g.store.remove("servers", s.id)
			record.add("directory", s.id+" has been silent for three heartbeats, its entry is removed")
		}
	})
}

func (g *group) reachStoreAgain(s *server) {
	g.mu.Lock()
	s.inStore = true
	g.mu.Unlock()
	g.publish(s)
}

// crash ends a server, which says nothing.
func (g *group) crash(s *server) {
	g.mu.Lock()
	s.alive = false
	connections := s.connections
	s.connections = map[net.Conn]struct{}{}
	g.mu.Unlock()
	_ = s.listener.Close()
	for c := range connections {
		_ = c.Close()
	}
	record.add("fault", "server "+s.id+" crashes")
	g.silence(s)
}

// promote makes a server the primary of the next term, with the log that it has received.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	s := g.servers[id]
	if s == nil || !s.alive {
		g.mu.Unlock()
		return false
	}
	if s == g.leader && s.primary {
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	time.AfterFunc(promoteDelay, func() { g.takeLead(s) })
	return true
}

func (g *group) takeLead(s *server) {
	g.mu.Lock()
	if !s.alive || (s == g.leader && s.primary) {
		g.mu.Unlock()
		return
	}
	before := g.leader
	g.term++
	g.leader, s.primary, s.term, s.paused = s, true, g.term, false
	g.takeovers = append(g.takeovers, takeover{s.id, g.term, time.Now()})
	for _, other := range g.servers {
		if other != s && other != before {
			other.truncate(s)
			other.paused = false
		}
	}
	received := s.log[len(s.log)-1]
	g.mu.Unlock()
	record.add("promote", fmt.Sprintf("%s takes the lead of term %d with the log up to %d.%d", s.id, s.term, received.term, received.number))
	g.publish(s)
	if before != s {
		time.AfterFunc(deposedPeriod, func() { g.demote(before) })
	}
}

// demote makes a replaced primary a replica of the present one.
func (g *group) demote(s *server) {
	g.mu.Lock()
	demoted := s.primary && s != g.leader && s.alive
	if demoted {
		s.primary = false
		s.truncate(g.leader)
	}
	g.mu.Unlock()
	if demoted {
		record.add("server", s.id+" has heard of the new primary and is a replica")
		g.publish(s)
	}
}

// truncate rolls back what the primary's log lacks.
func (s *server) truncate(leader *server) {
	common := 0
	for common < len(s.log) && common < len(leader.log) && s.log[common] == leader.log[common] {
		common++
	}
	s.log = s.log[:common]
	s.term = leader.term
}

// replicate lets a replica receive the primary's log.
func (g *group) replicate(s *server) {
	for {
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
		if !s.alive {
			g.mu.Unlock()
			return
		}
		leader := g.leader
		if s != leader && !s.primary && leader.alive && leader.primary && !leader.dark && !s.paused {
			for len(s.log) < len(leader.log) {
				next := leader.log[len(s.log)]
				if time.Since(next.at) < s.delay {
					break
				}
				s.log = append(s.log, next)
				s.term = leader.term
			}
		}
		g.mu.Unlock()
	}
}

func (g *group) accept(s *server) {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		dark := s.dark
		s.connections[connection] = struct{}{}
		g.mu.Unlock()
		if !dark {
			go g.serve(s, connection)
		}
	}
}

// connectionState is the state of a connection at a server.
type connectionState struct {
	open, readOnly, failed bool
	term                   uint64
	writes                 []commit
	arrived                []time.Time
	prepared               map[string]string
}

func (g *group) serve(s *server, connection net.Conn) {
	defer func() {
		_ = connection.Close()
		g.mu.Lock()
		delete(s.connections, connection)
		g.mu.Unlock()
	}()
	reader := bufio.NewReader(connection)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != g.service || (len(fields) > 3 && fields[3] != s.id) {
		_, _ = fmt.Fprintf(connection, "ERR MISROUTED %s\r\n", s.id)
		return
	}
	state := &connectionState{prepared: map[string]string{}}
	if _, err := fmt.Fprintf(connection, "READY I %s\r\n", g.position(s)); err != nil {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if g.isDark(s, connection) {
			return
		}
		words := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if words[0] != "QUERY" || len(words) < 3 {
			return
		}
		answer := g.run(s, state, words[1], words[2])
		if !g.awaitReplica(s, connection, words[1]) {
			return
		}
		if _, err := fmt.Fprintf(connection, "%sREADY %s %s\r\n", answer, state.letter(), g.position(s)); err != nil {
			return
		}
	}
}

// goDark makes nothing reach a server for a while. What was sent to it meanwhile is lost.
func (g *group) goDark(s *server, duration time.Duration) {
	g.mu.Lock()
	s.dark = true
	g.mu.Unlock()
	record.add("fault", "server "+s.id+" goes dark")
	time.Sleep(duration)
	g.mu.Lock()
	s.dark = false
	connections := s.connections
	s.connections = map[net.Conn]struct{}{}
	g.mu.Unlock()
	for connection := range connections {
		_ = connection.Close()
	}
	record.add("fault", "server "+s.id+" is reached again")
}

// isDark reports whether a message on a connection is lost because the server is dark. It waits until
// the connection is closed.
func (g *group) isDark(s *server, connection net.Conn) bool {
	g.mu.Lock()
	dark := s.dark
	g.mu.Unlock()
	for dark {
		time.Sleep(10 * time.Millisecond)
		g.mu.Lock()
		_, dark = s.connections[connection]
		g.mu.Unlock()
		if !dark {
			return true
		}
	}
	return false
}

// awaitReplica waits until a replica has received the commit of a request, if there is one. It reports
// false if the connection has been closed.
func (g *group) awaitReplica(s *server, connection net.Conn, id string) bool {
	for {
		g.mu.Lock()
		ran, found := g.ran[id]
		_, open := s.connections[connection]
		received := !g.synchronous || !found || ran.server != s.id
		for _, replica := range g.servers {
			if !received && replica != s && replica.alive && len(replica.log) > 0 {
				last := replica.log[len(replica.log)-1]
				received = last.term > ran.commit.term || (last.term == ran.commit.term && last.number >= ran.commit.number)
			}
		}
		g.mu.Unlock()
		if received {
			return open
		}
		if !open {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (c *connectionState) letter() string {
	switch {
	case c.failed:
		return "E"
	case c.open:
		return "T"
	default:
		return "I"
	}
}

func (g *group) position(s *server) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// run runs a statement and returns the answer without its READY.
func (g *group) run(s *server, state *connectionState, id, text string) string {
	arrived := time.Now()
	words := strings.Fields(text)
	if words[0] == "AFTER" {
		if !g.covers(s, words[1]) {
			return "ERR BEHIND " + s.id + "\r\n"
		}
		words = words[2:]
	}
	if state.failed && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
		return "ERR MALFORMED " + s.id + "\r\n"
	}
	if words[0] == "EXEC" {
		prepared, found := state.prepared[words[1]]
		if !found {
			return "ERR NOSTMT " + s.id + "\r\n"
		}
		words = append([]string{prepared}, words[2:]...)
	}
	if id != "-" {
		time.Sleep(workTime)
	}
	switch words[0] {
	case "RESET":
		state.prepared = map[string]string{}
		return "DONE -\r\n"
	case "SET":
		return "DONE -\r\n"
	case "PREPARE":
		state.prepared[words[1]] = words[2]
		return "DONE -\r\n"
	case "DEALLOC":
		delete(state.prepared, words[1])
		return "DONE -\r\n"
	case "BEGIN":
		return g.begin(s, state, len(words) > 1)
	case "ROLLBACK":
		*state = connectionState{prepared: state.prepared}
		return "DONE -\r\n"
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return g.control(s, words)
	case "READ":
		return g.read(s, state, id, words[1])
	case "WRITE":
		return g.write(s, state, commit{id: id, thing: words[1], data: strings.Join(words[2:], " ")}, arrived)
	case "COMMIT":
		return g.commit(s, state, id)
	default:
		return "ERR MALFORMED " + s.id + "\r\n"
	}
}

func (g *group) covers(s *server, position string) bool {
	var term, number uint64
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &number)
	g.mu.Lock()
	defer g.mu.Unlock()
	last := s.log[len(s.log)-1]
	return last.term > term || (last.term == term && last.number >= number)
}

func (g *group) begin(s *server, state *connectionState, readOnly bool) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !readOnly && !s.primary {
		return "ERR READONLY " + s.id + "\r\n"
	}
	state.open, state.readOnly, state.term = true, readOnly, s.term
	return "DONE -\r\n"
}

func (g *group) control(s *server, words []string) string {
	if words[0] == "DEMOTE" {
		g.stepDown(s, words[1])
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch words[0] {
	case "PAUSE":
		if !s.primary && !s.paused {
			s.paused = true
			record.add("server", s.id+" is told to pause receiving")
		}
	case "RESUME":
		if s.paused {
			s.paused = false
			record.add("server", s.id+" is told to resume receiving")
		}
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	last := s.log[len(s.log)-1]
	return fmt.Sprintf("ROW %s %d %d.%d %d 0 0 %d\r\nDONE -\r\n", role, s.term, last.term, last.number, last.term, len(s.connections))
}

// stepDown turns a primary of a lower term into a replica.
func (g *group) stepDown(s *server, newTerm string) {
	var term uint64
	_, _ = fmt.Sscan(newTerm, &term)
	g.mu.Lock()
	lower, isLeader := s.primary && s.term < term, s == g.leader
	if lower && isLeader {
		s.primary = false
	}
	g.mu.Unlock()
	if !lower {
		return
	}
	record.add("server", s.id+" is told to step down")
	if isLeader {
		g.publish(s)
		return
	}
	g.demote(s)
}

func (g *group) read(s *server, state *connectionState, id, thing string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state.open && !state.readOnly && (!s.primary || s.term != state.term) {
		state.failed = true
		return "ERR READONLY " + s.id + "\r\n"
	}
	row := "-"
	for _, entry := range s.log {
		if entry.thing == thing {
			row = entry.data
		}
	}
	return fmt.Sprintf("ROW %s\r\nDONE r.%s.%s\r\n", row, s.id, id)
}

func (g *group) write(s *server, state *connectionState, c commit, arrived time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.primary || (state.open && (state.readOnly || s.term != state.term)) {
		state.failed = state.open
		return "ERR READONLY " + s.id + "\r\n"
	}
	if state.open {
		state.writes, state.arrived = append(state.writes, c), append(state.arrived, arrived)
		return fmt.Sprintf("DONE w.%s.%s\r\n", s.id, c.id)
	}
	return g.append(s, c, arrived)
}

// append commits a write. The lock must be held.
func (g *group) append(s *server, c commit, arrived time.Time) string {
	last := s.log[len(s.log)-1]
	c.term, c.number, c.at = s.term, last.number+1, time.Now()
	s.log = append(s.log, c)
	g.ran[c.id] = ranCommit{s.id, c, arrived}
	record.add("run", fmt.Sprintf("%s commits %s as %d.%d", s.id, c.id, c.term, c.number))
	return fmt.Sprintf("DONE w.%s.%d.%d\r\n", s.id, c.term, c.number)
}

func (g *group) commit(s *server, state *connectionState, id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	writes, arrived, failed := state.writes, state.arrived, state.failed
	stale := len(writes) > 0 && (!s.primary || s.term != state.term)
	*state = connectionState{prepared: state.prepared}
	if failed || stale {
		return "ERR READONLY " + s.id + "\r\n"
	}
	for i := range writes {
		g.append(s, writes[i], arrived[i])
	}
	return fmt.Sprintf("DONE c.%s.%s\r\n", s.id, id)
}
