package sim

import (
	"slices"
	"sort"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/lab/trace"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/group"
)

// ownedGroup is a group at a node that serves it. It runs the real state machine of package
// group over simulated connections.
type ownedGroup struct {
	node    *node
	name    string
	target  *databaseGroup
	machine *group.Machine
	calls   map[group.RequestID]*call
	pinned  map[group.SessionID]*serverConn
	idle    [][]*serverConn
	conns   []map[*serverConn]bool
	wakeUps uint64
	// lastPinned is the connection that the mutation SharePinned gives to other sessions.
	lastPinned *serverConn
	tracer     *trace.GroupWriter
	lastAnswer serverAnswer
}

// call is a request in progress at an owner.
type call struct {
	request   group.Request
	statement statement
	answer    serverAnswer
	conn      *serverConn
	reply     func(ownerReply)
	runs      int
}

// ownerReply is an owner's answer to the node of the caller.
type ownerReply struct {
	kind        failure.Kind
	retryAfter  time.Duration
	answer      serverAnswer
	position    position.Position
	fromReplica bool
}

func sortedKeys[V any](source map[string]V) []string {
	keys := make([]string, 0, len(source))
	for key := range source {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// updateGroups adds and updates groups according to the view, as owner.Groups does.
func (n *node) updateGroups() {
	for _, name := range sortedKeys(n.view.Config.Groups) {
		owners := n.view.Owners(name)
		serve := slices.Contains(owners, n.location.id) && !n.draining
		if len(owners) > 0 && owners[0] == n.location.id && serve && n.owned[name] == nil {
			n.own(name)
		}
		if current := n.owned[name]; current != nil {
			current.update(serve)
		}
	}
}

func (n *node) own(name string) *ownedGroup {
	target := n.world.groupNamed(name)
	settings := n.world.settings.Group
	settings.Servers = len(target.servers)
	settings.Slots, settings.Connections = n.world.settings.Slots, n.world.settings.Connections*3/4
	settings.NeedsFresh = !n.world.settings.Mutations.IgnoreStaleness
	created := &ownedGroup{
		node: n, name: name, target: target, machine: group.New(settings),
		calls: map[group.RequestID]*call{}, pinned: map[group.SessionID]*serverConn{},
		idle: make([][]*serverConn, len(target.servers)),
	}
	for range target.servers {
		created.conns = append(created.conns, map[*serverConn]bool{})
	}
	if world := n.world; world.settings.Trace != nil && world.tracer == nil && name == groupName(0) {
		world.tracer = trace.NewGroupWriter(world.settings.Trace, settings)
		created.tracer = world.tracer
	}
	n.owned[name] = created
	created.step(group.Fresh{Until: n.freshUntil})
	created.update(true)
	return created
}

func (g *ownedGroup) update(serve bool) {
	g.step(group.Accept{Open: serve})
	g.markLeaving()
}

// markLeaving tells the machine which servers the view marks as leaving.
func (g *ownedGroup) markLeaving() {
	for index, server := range g.target.servers {
		leaving := g.node.view.Config.LeavingServers[g.name+"/"+server.location.id]
		g.step(group.Leaving{Server: index, On: leaving})
	}
}

// crash resets the connections to the servers after the process has died.
func (g *ownedGroup) crash() {
	for index := range g.conns {
		for conn := range g.conns[index] {
			g.world().After(g.world().settings.InZone, conn.close)
		}
	}
}

func (g *ownedGroup) world() *World { return g.node.world }

func (g *ownedGroup) step(event group.Event) {
	effects := slices.Clone(g.machine.Step(g.node.clock(), event))
	if g.tracer != nil {
		g.tracer.Step(g.node.clock(), event, effects)
	}
	for _, effect := range effects {
		g.perform(effect)
	}
	g.wakeUps++
	current := g.wakeUps
	g.node.after(g.machine.NextWake()-g.node.clock(), func() {
		if current == g.wakeUps {
			g.step(group.Tick{})
		}
	})
}

func (g *ownedGroup) perform(effect group.Effect) {
	switch typed := effect.(type) {
	case group.Run:
		g.run(typed)
	case group.Reply:
		g.reply(typed)
	case group.Ask:
		g.pollStatus(typed)
	case group.Disconnect:
		g.disconnect(typed.Server)
	case group.Abort:
		g.closeConn(g.pinned[typed.Session])
		delete(g.pinned, typed.Session)
	case group.CancelRun:
		// Not simulated: statements are so short that cancel requests would arrive too late.
	}
}

// submit begins a request that a caller's node has sent.
func (g *ownedGroup) submit(submitted group.Request, stmt statement, reply func(ownerReply)) {
	if g.calls[submitted.ID] != nil {
		return // duplicate frame
	}
	g.calls[submitted.ID] = &call{request: submitted, statement: stmt, reply: reply}
	g.step(group.Arrive{Request: submitted})
}

// submitDuplicate simulates a duplicate frame of a request.
func (g *ownedGroup) submitDuplicate(submitted group.Request) {
	g.step(group.Arrive{Request: submitted})
}

func (g *ownedGroup) endSession(session group.SessionID) {
	g.step(group.SessionEnd{Session: session})
	for id, current := range g.calls {
		if id.Session == session {
			g.closeConn(current.conn)
			delete(g.calls, id)
		}
	}
}

func (g *ownedGroup) reply(effect group.Reply) {
	current := g.calls[effect.ID]
	if current == nil {
		return
	}
	delete(g.calls, effect.ID)
	answer := current.answer
	if g.world().settings.Mutations.MixAnswers && g.world().chance(0.05) {
		answer = g.lastAnswer
	}
	g.lastAnswer = current.answer
	current.reply(ownerReply{
		kind: effect.Kind, retryAfter: effect.RetryAfter, answer: answer,
		position: effect.Position, fromReplica: effect.FromReplica,
	})
}

// run starts a request on a connection, dialing one if none is idle.
func (g *ownedGroup) run(effect group.Run) {
	current := g.calls[effect.ID]
	if current == nil {
		return
	}
	if effect.Pinned {
		g.runOnConnection(current, effect, g.pinned[effect.ID.Session])
		return
	}
	if shared := g.lastPinned; g.world().settings.Mutations.SharePinned && shared != nil &&
		!shared.closed && shared.inTx && shared.server.index == effect.Server {
		g.runOnConnection(current, effect, shared)
		return
	}
	idle := g.idle[effect.Server]
	if last := len(idle) - 1; last >= 0 {
		g.idle[effect.Server] = idle[:last]
		g.runOnConnection(current, effect, idle[last])
		return
	}
	g.dial(effect, func(conn *serverConn) { g.runOnConnection(current, effect, conn) })
}

// serverDialTimeout is the time after which dialing a server fails.
const serverDialTimeout = 3 * time.Second

func (g *ownedGroup) dial(effect group.Run, then func(*serverConn)) {
	server := g.target.servers[effect.Server]
	done := false
	finish := func(conn *serverConn) {
		if done {
			g.closeConn(conn)
			return
		}
		done = true
		if conn != nil {
			g.conns[effect.Server][conn] = true
		}
		then(conn)
	}
	waiting := func() bool { return !done }
	g.node.after(serverDialTimeout, func() {
		if !done {
			finish(nil)
		}
	})
	run := g.node.run
	g.world().network.deliverBytes(g.node.location, server.location, waiting, func() {
		server.do(func() {
			conn := server.connect(g.node.location)
			g.world().After(g.world().settings.ConnectCost, func() {
				g.world().network.deliverBytes(server.location, g.node.location, waiting, func() {
					if !g.node.alive || g.node.run != run {
						if conn != nil {
							conn.close()
						}
						return
					}
					g.node.do(run, func() { finish(conn) })
				})
			})
		})
	})
}

func (g *ownedGroup) runOnConnection(current *call, effect group.Run, conn *serverConn) {
	if conn != nil && !conn.closed && !effect.Pinned && !g.machine.MayBegin(g.node.clock(), effect.Server) {
		g.idle[effect.Server] = append(g.idle[effect.Server], conn)
		conn = nil
	}
	if conn == nil || conn.closed {
		g.reportResult(effect, group.RunResult{Outcome: group.NotStarted})
		return
	}
	current.conn = conn
	current.runs++
	attempt := current.runs
	server := conn.server
	run := g.node.run
	open := func() bool { return !conn.closed }
	answered := func(answer serverAnswer) {
		g.world().network.deliverBytes(server.location, g.node.location, open, func() {
			g.node.do(run, func() {
				if current.runs == attempt && current.conn == conn {
					g.handleAnswer(current, effect, conn, answer)
				}
			})
		})
	}
	g.world().network.deliverBytes(g.node.location, server.location, open, func() {
		server.do(func() { server.execute(conn, current.statement, !effect.Pinned, answered) })
	})
	g.watchConn(current, effect, conn, attempt)
}

// connCheckInterval is the interval at which an owner checks the connection of a running
// statement.
const connCheckInterval = 20 * time.Millisecond

// watchConn reports a statement as lost if its connection is closed while it runs.
func (g *ownedGroup) watchConn(current *call, effect group.Run, conn *serverConn, attempt int) {
	g.node.after(connCheckInterval, func() {
		if current.conn != conn || current.runs != attempt {
			return
		}
		if conn.closed || g.target.model.Down(conn.server.index) {
			current.conn = nil
			g.closeConn(conn)
			if effect.Pinned {
				delete(g.pinned, effect.ID.Session)
			}
			g.reportResult(effect, group.RunResult{Outcome: group.Lost})
			return
		}
		g.watchConn(current, effect, conn, attempt)
	})
}

func (g *ownedGroup) handleAnswer(current *call, effect group.Run, conn *serverConn, answer serverAnswer) {
	current.conn = nil
	current.answer = answer
	open := answer.status != backend.Idle
	session := effect.ID.Session
	abandoned := g.calls[effect.ID] != current
	switch {
	case abandoned:
		g.closeConn(conn)
		return
	case open:
		g.pinned[session] = conn
		g.lastPinned = conn
	default:
		delete(g.pinned, session)
		g.idle[effect.Server] = append(g.idle[effect.Server], conn)
	}
	if answer.readOnly {
		g.reportResult(effect, group.RunResult{Outcome: group.NotStarted})
		return
	}
	g.reportResult(effect, group.RunResult{
		Outcome: group.Completed, Wrote: answer.wrote, Position: answer.position, TransactionOpen: open,
	})
}

func (g *ownedGroup) reportResult(effect group.Run, result group.RunResult) {
	g.step(group.Finish{ID: effect.ID, Server: effect.Server, Result: result})
}

func (g *ownedGroup) closeConn(conn *serverConn) {
	if conn == nil {
		return
	}
	delete(g.conns[conn.server.index], conn)
	conn.closed = true
	g.world().After(g.world().settings.InZone, conn.close)
}

func (g *ownedGroup) disconnect(server int) {
	for conn := range g.conns[server] {
		g.closeConn(conn)
	}
	g.idle[server] = nil
}

// pollStatus requests the status of a server. Requests and answers may be lost or late; the
// machine has a timeout of its own.
func (g *ownedGroup) pollStatus(effect group.Ask) {
	server := g.target.servers[effect.Server]
	run := g.node.run
	network := g.world().network
	if !network.reachable(g.node.location, server.location) {
		return
	}
	g.world().After(network.delay(g.node.location, server.location), func() {
		server.do(func() {
			if g.target.model.Down(server.index) {
				g.sendStatusFailure(effect, server, run)
				return
			}
			report := g.target.model.Report(server.index)
			g.sendStatus(server, run, group.StatusAnswer{Server: effect.Server, Ask: effect.Number, Report: report})
		})
	})
}

func (g *ownedGroup) sendStatusFailure(effect group.Ask, server *databaseServer, run int) {
	g.sendStatus(server, run, group.StatusFailure{Server: effect.Server, Ask: effect.Number})
}

func (g *ownedGroup) sendStatus(server *databaseServer, run int, event group.Event) {
	network := g.world().network
	if !network.reachable(server.location, g.node.location) {
		return
	}
	deliver := func() { g.node.do(run, func() { g.step(event) }) }
	g.world().After(network.delay(server.location, g.node.location), deliver)
	if g.world().chance(g.world().settings.Duplicates) {
		g.world().After(3*network.delay(server.location, g.node.location), deliver)
	}
}
