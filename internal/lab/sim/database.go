package sim

import (
	"fmt"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/lab/history"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/replication"
)

// recordWrite is the write of one record by an operation.
type recordWrite struct {
	key       string
	operation string
}

// databaseGroup is a group of servers whose replication is simulated by package replication.
type databaseGroup struct {
	world   *World
	name    string
	model   *replication.Group[[]recordWrite]
	servers []*databaseServer
}

// databaseServer is a simulated database server.
type databaseServer struct {
	group     *databaseGroup
	index     int
	location  location
	data      map[string]string // record key to the operation that last wrote it
	conns     map[*serverConn]bool
	busySlots int
	waiting   []func()
	paused    bool
	backlog   []func()
}

// serverConn is a connection from a node that serves the group to a server.
type serverConn struct {
	server *databaseServer
	owner  location
	closed bool
	inTx   bool
	writes []recordWrite
}

// statementCode is the kind of a statement.
type statementCode uint8

const (
	codeRead statementCode = iota
	codeWrite
	codeBegin
	codeTransactionWrite
	codeCommit
	codeRollback
)

// statement is a statement of an operation, as sent to a server.
type statement struct {
	code      statementCode
	key       string
	operation string
}

// serverAnswer is a server's answer to a statement.
type serverAnswer struct {
	operation string
	value     string
	readOnly  bool // rejected: the server is not a primary
	wrote     bool
	status    byte
	position  position.Position
}

func newDatabaseGroup(world *World, index int) *databaseGroup {
	const servers = 3
	created := &databaseGroup{
		world: world, name: groupName(index),
		model: replication.New[[]recordWrite](replication.Settings{
			Servers: servers, ElectionDelay: world.settings.ElectionDelay,
			ReceiveDelay: world.settings.ReceiveDelay + world.settings.BetweenZones,
		}),
	}
	for number := range servers {
		created.servers = append(created.servers, &databaseServer{
			group: created, index: number, data: map[string]string{}, conns: map[*serverConn]bool{},
			location: location{zone: world.zone(index + number), id: fmt.Sprintf("%s/%d", created.name, number)},
		})
	}
	return created
}

// advanceInterval is the interval at which the replication model is advanced.
const advanceInterval = 5 * time.Millisecond

func (g *databaseGroup) start() { g.advance() }

func (g *databaseGroup) advance() {
	g.applyChanges(g.model.Advance(g.world.Now()))
	g.world.After(advanceInterval, g.advance)
}

func (g *databaseGroup) applyChanges(changes []replication.Change[[]recordWrite]) {
	for _, change := range changes {
		target := g.servers[change.Server]
		switch {
		case change.Demoted:
			target.dropConnections()
		case change.Rebuild:
			target.data = map[string]string{}
		default:
			target.apply(change.Apply.Payload)
		}
	}
}

func (s *databaseServer) apply(writes []recordWrite) {
	for _, write := range writes {
		s.data[write.key] = write.operation
	}
}

func (g *databaseGroup) heal() {
	for index, server := range g.servers {
		g.model.SetIsolated(index, false)
		g.model.SetApplyLag(index, 0)
		g.model.SetDown(index, false)
		server.resume()
	}
}

func (g *databaseGroup) recordFinal() {
	for _, entry := range g.model.Log(g.model.Leader()) {
		g.world.history.Final[g.name] = append(g.world.history.Final[g.name], entry.Position)
	}
}

// do runs work on the server at once or, if the server is paused, when it resumes.
func (s *databaseServer) do(work func()) {
	if s.paused {
		s.backlog = append(s.backlog, work)
		return
	}
	work()
}

func (s *databaseServer) resume() {
	s.paused = false
	backlog := s.backlog
	s.backlog = nil
	for _, work := range backlog {
		work()
	}
}

// dropConnections closes every connection, as a restart or a demotion does.
func (s *databaseServer) dropConnections() {
	for conn := range s.conns {
		conn.closed = true
		conn.writes = nil
	}
	s.conns = map[*serverConn]bool{}
}

// connect opens a connection. It returns nil if the server is down or has no free
// connection.
func (s *databaseServer) connect(owner location) *serverConn {
	if s.group.model.Down(s.index) || len(s.conns) >= s.group.world.settings.Connections {
		return nil
	}
	conn := &serverConn{server: s, owner: owner}
	s.conns[conn] = true
	return conn
}

// close closes the connection at the server, which rolls back its open transaction.
func (c *serverConn) close() {
	c.closed = true
	c.writes = nil
	c.inTx = false
	delete(c.server.conns, c)
}

// execute runs a statement as soon as a slot is free and calls answer with the result. A
// server that is down doesn't answer.
func (s *databaseServer) execute(conn *serverConn, stmt statement, newWork bool, answer func(serverAnswer)) {
	if s.group.model.Down(s.index) || !s.conns[conn] {
		return
	}
	if s.busySlots >= s.group.world.settings.Slots {
		s.waiting = append(s.waiting, func() { s.execute(conn, stmt, newWork, answer) })
		return
	}
	if newWork {
		s.group.world.history.Works = append(s.group.world.history.Works,
			history.Work{Group: s.group.name, Server: s.index, At: s.group.world.Now()})
	}
	s.busySlots++
	s.group.world.After(s.serviceTime(stmt), func() {
		s.busySlots--
		s.do(func() { s.complete(conn, stmt, answer) })
		s.startWaiting()
	})
}

func (s *databaseServer) startWaiting() {
	if len(s.waiting) > 0 && s.busySlots < s.group.world.settings.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
}

func (s *databaseServer) serviceTime(stmt statement) time.Duration {
	world := s.group.world
	mean := world.settings.ReadTime
	if stmt.code == codeWrite || stmt.code == codeCommit {
		mean = world.settings.WriteTime
	}
	return mean/2 + time.Duration(world.random.Int64N(int64(mean)+1))
}

func (s *databaseServer) complete(conn *serverConn, stmt statement, answer func(serverAnswer)) {
	if s.group.model.Down(s.index) || !s.conns[conn] {
		return
	}
	result := serverAnswer{operation: stmt.operation, status: backend.Idle}
	switch stmt.code {
	case codeRead:
		result.value = s.data[stmt.key]
		result.position = s.group.model.Report(s.index).Received
	case codeWrite:
		result = s.commit(result, []recordWrite{{stmt.key, stmt.operation}})
	case codeBegin:
		conn.inTx = true
	case codeTransactionWrite:
		conn.writes = append(conn.writes, recordWrite{stmt.key, stmt.operation})
	case codeCommit:
		writes := conn.writes
		conn.inTx, conn.writes = false, nil
		result = s.commit(result, writes)
	case codeRollback:
		conn.inTx, conn.writes = false, nil
	}
	if conn.inTx {
		result.status = backend.InProgress
	}
	answer(result)
}

// commit appends the writes to the server's log. A replaced primary that was not demoted
// accepts them as well; its log is discarded later.
func (s *databaseServer) commit(result serverAnswer, writes []recordWrite) serverAnswer {
	at, ok := s.group.model.Append(s.index, writes, s.group.world.Now())
	if !ok {
		result.readOnly = true
		return result
	}
	s.apply(writes)
	commit := history.Commit{Group: s.group.name, Server: s.index, At: s.group.world.Now(), Position: at}
	for _, write := range writes {
		commit.Operations = append(commit.Operations, write.operation)
		commit.Keys = append(commit.Keys, write.key)
	}
	if len(writes) > 0 {
		s.group.world.history.Commits = append(s.group.world.history.Commits, commit)
	}
	result.wrote = true
	result.position = s.group.model.Report(s.index).Received
	return result
}
