package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// maxQueue is how many statements wait for a slot of a server at most.
const maxQueue = 24

// serverSession is a connection to a server.
type serverSession struct {
	server *Server
	conn   net.Conn
	// who is whom the connection was opened for.
	who      string
	out      *bufio.Writer
	state    string
	plain    bool
	term     uint64
	writes   []string
	prepared map[string]string
}

func (v *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session := &serverSession{server: v, conn: conn, out: bufio.NewWriter(conn), state: "I", prepared: map[string]string{}}
		v.service.mu.Lock()
		if !v.up {
			v.service.mu.Unlock()
			_ = conn.Close()
			continue
		}
		v.connections[session] = struct{}{}
		v.service.mu.Unlock()
		go session.serve()
	}
}

// blocked reports whether the connection is lost, after the end of a cut if there is one: the server
// is silent until then.
func (c *serverSession) blocked() bool {
	s := c.server.service
	s.mu.Lock()
	defer s.mu.Unlock()
	wasCut := c.server.cut
	for c.server.cut && c.server.up {
		s.changed.Wait()
	}
	return wasCut || !c.server.up
}

func readWireLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	for err == nil && !strings.HasSuffix(line, "\r\n") {
		var more string
		more, err = reader.ReadString('\n')
		line += more
	}
	return strings.TrimSuffix(line, "\r\n"), err
}

func (c *serverSession) serve() {
	defer func() {
		c.server.service.mu.Lock()
		delete(c.server.connections, c)
		c.server.service.mu.Unlock()
		_ = c.conn.Close()
	}()
	reader := bufio.NewReader(c.conn)
	start, err := readWireLine(reader)
	if err != nil || c.blocked() {
		return
	}
	fields := strings.Fields(start)
	config := &c.server.service.config
	if len(fields) < 3 || fields[0] != "START" || fields[1] != config.Name || (len(fields) > 3 && fields[3] != c.server.id) {
		_, _ = fmt.Fprintf(c.conn, "ERR MISROUTED %s\r\n", c.server.id)
		return
	}
	c.server.service.mu.Lock()
	full := len(c.server.connections) > config.MaxConnections
	c.server.service.mu.Unlock()
	if full {
		_, _ = fmt.Fprintf(c.conn, "ERR LIMIT %s\r\n", c.server.id)
		return
	}
	c.who = fields[2]
	time.Sleep(config.Handshake)
	c.ready()
	if c.out.Flush() != nil {
		return
	}
	for {
		line, err := readWireLine(reader)
		if err != nil || c.blocked() {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		if !c.query(id, text) || c.blocked() {
			return
		}
		if reader.Buffered() == 0 && c.out.Flush() != nil {
			return
		}
	}
}

func (c *serverSession) ready() {
	v := c.server
	v.service.mu.Lock()
	at := v.at(v.applied)
	v.service.mu.Unlock()
	_, _ = fmt.Fprintf(c.out, "READY %s %s\r\n", c.state, at)
}

func (c *serverSession) done(signature string) bool {
	_, _ = fmt.Fprintf(c.out, "DONE %s\r\n", signature)
	c.ready()
	return true
}

func (c *serverSession) fail(code string) bool {
	if c.state != "I" {
		c.state = "E"
	}
	_, _ = fmt.Fprintf(c.out, "ERR %s %s\r\n", code, c.server.id)
	c.ready()
	return true
}

func (c *serverSession) end() {
	c.state, c.plain, c.writes = "I", false, nil
}

// query runs one message and reports whether the connection goes on.
func (c *serverSession) query(id, text string) bool {
	minimum := Position{}
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		var at string
		at, text, _ = strings.Cut(rest, " ")
		term, number, _ := strings.Cut(at, ".")
		minimum.Term, _ = strconv.ParseUint(term, 10, 64)
		minimum.Number, _ = strconv.ParseUint(number, 10, 64)
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return c.fail("MALFORMED")
	}
	switch word {
	case "BEGIN":
		return c.begin(rest == "READ", minimum)
	case "ROLLBACK":
		c.end()
		return c.done("-")
	case "COMMIT":
		return c.commit(id)
	case "READ":
		return c.statement(id, text, false, minimum)
	case "WRITE":
		return c.statement(id, text, true, minimum)
	case "EXEC":
		name, _, _ := strings.Cut(rest, " ")
		access, found := c.prepared[name]
		if !found {
			return c.fail("NOSTMT")
		}
		return c.statement(id, text, access == "WRITE", minimum)
	case "PREPARE":
		fields := strings.Fields(rest)
		if len(fields) < 3 {
			return c.fail("MALFORMED")
		}
		c.prepared[fields[0]] = fields[1]
		return c.done("-")
	case "SET", "DEALLOC":
		return c.done("-")
	case "RESET":
		c.prepared = map[string]string{}
		return c.done("-")
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return c.control(word, rest)
	default:
		return c.fail("MALFORMED")
	}
}

func (c *serverSession) begin(readOnly bool, minimum Position) bool {
	v := c.server
	v.service.mu.Lock()
	leads, has, term := v.service.primary == v, v.covers(minimum), v.service.term
	v.service.mu.Unlock()
	switch {
	case c.state != "I":
		return c.fail("MALFORMED")
	case !readOnly && !leads:
		return c.fail("READONLY")
	case !has:
		return c.fail("BEHIND")
	}
	c.state, c.plain, c.term = "T", !readOnly, term
	return c.done("-")
}

// leads reports whether the server still has the lead that the statement needs. The lock is held.
func (c *serverSession) leads() bool {
	s := c.server.service
	return s.primary == c.server && (c.state == "I" || s.term == c.term)
}

// enter takes a slot; false if the server is full.
func (c *serverSession) enter() bool {
	v := c.server
	select {
	case v.slots <- struct{}{}:
		return true
	default:
	}
	v.service.mu.Lock()
	full := v.queued >= maxQueue
	if !full {
		v.queued++
	}
	v.service.mu.Unlock()
	if full {
		return false
	}
	v.slots <- struct{}{}
	v.service.mu.Lock()
	v.queued--
	v.service.mu.Unlock()
	return true
}

func (c *serverSession) leave() { <-c.server.slots }

func (c *serverSession) received(id, text string) {
	s := c.server.service
	s.mu.Lock()
	if _, found := s.arrived[id]; !found {
		s.arrived[id] = time.Now()
	}
	s.mu.Unlock()
	s.record.Add("%s receives %s %.40s on a connection of %s", c.server.id, id, text, c.who)
}

func (c *serverSession) statement(id, text string, writes bool, minimum Position) bool {
	v, s := c.server, c.server.service
	c.received(id, text)
	if !c.enter() {
		return c.fail("BUSY")
	}
	s.mu.Lock()
	refused := ""
	switch {
	case (writes || c.plain) && !c.leads(), writes && c.state == "T" && !c.plain:
		refused = "READONLY"
	case !v.covers(minimum):
		refused = "BEHIND"
	default:
		s.ran[id]++
		s.ranFor[id] = c.who
	}
	s.mu.Unlock()
	if refused != "" {
		c.leave()
		return c.fail(refused)
	}
	time.Sleep(s.config.Work(id, text))
	c.leave()
	if !writes {
		_, _ = fmt.Fprintf(c.out, "ROW %s\r\n", id)
	}
	if writes && c.state == "T" {
		c.writes = append(c.writes, id)
	}
	if writes && c.state == "I" && !c.apply(id, []string{id}) {
		return false
	}
	signature := v.signature()
	s.record.Add("%s answers %s with %s", v.id, id, signature)
	return c.done(signature)
}

// apply commits writes and waits for the replicas. It reports false if the connection has to break.
func (c *serverSession) apply(id string, requests []string) bool {
	v, s := c.server, c.server.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !v.up || s.primary != v {
		return false
	}
	at := s.commit(requests)
	s.record.Add("%s commits %s at %s", v.id, id, at)
	return s.awaitReplicas(v, at)
}

func (c *serverSession) commit(id string) bool {
	v, s := c.server, c.server.service
	c.received(id, "COMMIT")
	if c.state != "T" {
		c.end()
		return c.fail("ABORTED")
	}
	if !c.enter() {
		return c.fail("BUSY")
	}
	s.mu.Lock()
	leads := c.leads()
	s.mu.Unlock()
	if len(c.writes) > 0 && !leads {
		c.leave()
		c.end()
		return c.fail("READONLY")
	}
	time.Sleep(s.config.Work(id, "COMMIT"))
	c.leave()
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	if len(c.writes) > 0 && !c.apply(id, c.writes) {
		return false
	}
	c.end()
	signature := v.signature()
	s.record.Add("%s answers %s with %s", v.id, id, signature)
	return c.done(signature)
}

// control answers STATUS, PAUSE, RESUME and DEMOTE.
func (c *serverSession) control(word, rest string) bool {
	v, s := c.server, c.server.service
	if !c.enter() {
		return c.fail("BUSY")
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && s.primary != v && term > s.term:
		v.paused = term
		s.record.Add("%s pauses at %s", v.id, v.position())
	case word == "RESUME" && v.paused > 0:
		v.paused = 0
		s.replicate(v)
		s.record.Add("%s resumes", v.id)
	}
	role := "replica"
	if s.primary == v {
		role = "primary"
	}
	// The queue holds this message's own slot.
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, s.term, v.position(), v.paused, 0, max(0, len(v.slots)-1), len(v.connections))
	s.mu.Unlock()
	c.leave()
	_, _ = fmt.Fprintf(c.out, "ROW %s\r\n", row)
	return c.done("-")
}
