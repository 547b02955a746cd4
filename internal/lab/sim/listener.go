package sim

import (
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/forward"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/policy"
)

// callerConn is a caller's connection to a node.
type callerConn struct {
	node    *node
	run     int
	session group.SessionID
	number  uint64
	status  byte
	owner   string // holds the open transaction
	visited map[string]string
	busy    bool
	closed  bool
	// lost is called when the node ends the connection under a request.
	lost func(byStop bool)
}

// callerReply is a node's answer to a caller.
type callerReply struct {
	kind        failure.Kind
	retryAfter  time.Duration
	answer      serverAnswer
	position    position.Position
	fromReplica bool
}

// callerRequest is what a caller asks for.
type callerRequest struct {
	group   string
	kind    string
	command command
	floor   position.Position
	caller  string
}

// forwarded is a request of a caller on its way through an owner.
type forwarded struct {
	stream  uint64
	conn    *callerConn
	asked   callerRequest
	request group.Request
	attempt forward.Attempt
	target  string
	reply   func(callerReply)
	// silentSince is when the target stopped being heard; 0 while it is.
	silentSince time.Duration
}

// accept opens a caller's connection; nil means that the node refuses it.
func (n *node) accept() *callerConn {
	if !n.alive || n.draining || n.view == nil || !n.view.Ready {
		return nil
	}
	n.sessions++
	epoch := uint64(n.run)<<16 | uint64(n.index+1)
	conn := &callerConn{
		node: n, run: n.run, session: group.SessionID{Listener: epoch, Session: n.sessions},
		status: backend.Idle, visited: map[string]string{},
	}
	n.callers[conn] = true
	return conn
}

// closeCaller ends a caller's connection from its side.
func (n *node) closeCaller(conn *callerConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	delete(n.callers, conn)
	for _, owner := range sortedKeys(conn.visited) {
		n.tellSessionEnd(owner, conn.visited[owner], conn.session)
	}
}

func (n *node) tellSessionEnd(owner, groupName string, session group.SessionID) {
	end := func(target *node) {
		if current := target.owned[groupName]; current != nil {
			current.endSession(session)
		}
	}
	if owner == n.place.id {
		end(n)
		return
	}
	if target := n.world.nodeNamed(owner); target != nil {
		always := func() bool { return true }
		run := target.run
		n.world.network.bytes(n.place, target.place, always, func() { target.do(run, func() { end(target) }) })
	}
}

// releaseIdleCallers ends connections without work, as a planned stop does.
func (n *node) releaseIdleCallers() {
	for conn := range n.callers {
		if !conn.busy && conn.status == backend.Idle {
			conn.closed = true
			delete(n.callers, conn)
		}
	}
}

// loseCallers ends all connections at once.
func (n *node) loseCallers(byStop bool) {
	for _, conn := range sortedCallers(n.callers) {
		conn.closed = true
		delete(n.callers, conn)
		if conn.lost != nil {
			lost := conn.lost
			conn.lost = nil
			lost(byStop && conn.busy)
		}
	}
	n.pending = map[uint64]*forwarded{}
}

func sortedCallers(callers map[*callerConn]bool) []*callerConn {
	bySession := map[string]*callerConn{}
	for conn := range callers {
		bySession[group.RequestID{Session: conn.session}.String()] = conn
	}
	var sorted []*callerConn
	for _, key := range sortedKeys(bySession) {
		sorted = append(sorted, bySession[key])
	}
	return sorted
}

// handle serves one request of a caller; reply is called in the node.
func (n *node) handle(conn *callerConn, asked callerRequest, reply func(callerReply)) {
	switch {
	case n.view == nil || !n.view.Ready:
		reply(callerReply{kind: failure.NotReady})
		return
	case n.clock() >= n.fresh && conn.status == backend.Idle && !n.world.settings.Mutations.IgnoreStaleness:
		reply(callerReply{kind: failure.Isolated})
		return
	}
	rule, weight := policy.DefaultRule(), 1
	if inForce := n.view.Config.Policies[asked.group]; inForce != nil {
		rule, weight = inForce.Table.Rule(asked.kind), inForce.Table.Weight(asked.caller)
	}
	conn.number++
	inTransaction := conn.status != backend.Idle
	code := asked.command.code
	n.streams++
	request := &forwarded{
		stream: n.streams, conn: conn, asked: asked, reply: reply,
		request: group.Request{
			ID: group.RequestID{Session: conn.session, Number: conn.number}, Caller: asked.caller, Weight: weight,
			ReadOnly: code == codeRead && !rule.Write && !inTransaction, Begins: code == codeBegin, InTransaction: inTransaction,
			MayCommit: code == codeWrite || code == codeCommit, Rule: rule, Floor: asked.floor,
		},
	}
	request.attempt = forward.Attempt{ReadOnly: request.request.ReadOnly, MayCommit: request.request.MayCommit, InTransaction: inTransaction}
	conn.busy = true
	n.pending[request.stream] = request
	n.send(request)
}

func (n *node) send(request *forwarded) {
	request.target = request.conn.owner
	if request.target == "" {
		owners := n.view.Owners(request.asked.group)
		if len(owners) == 0 {
			n.failed(request, forward.NotSent)
			return
		}
		request.target = owners[request.attempt.Tries%len(owners)]
	}
	if request.target == n.place.id {
		n.serveHere(request.asked, request.request, func(reply ownerReply) { n.arrived(request.stream, reply) })
		return
	}
	n.sendToPeer(request)
}

// dialTimeout is how long a peer that cannot be reached is tried.
const dialTimeout = 500 * time.Millisecond

func (n *node) sendToPeer(request *forwarded) {
	target := n.world.nodeNamed(request.target)
	network := n.world.network
	stream, tries := request.stream, request.attempt.Tries
	current := func() bool {
		found := n.pending[stream]
		return found == request && found.attempt.Tries == tries
	}
	switch {
	case !target.alive:
		n.after(network.delay(n.place, target.place), func() {
			if current() {
				n.failed(request, forward.NotSent)
			}
		})
		return
	case n.down[request.target]:
		// Known to be down: dialed aside, so that no request waits.
		n.after(0, func() {
			if current() {
				n.failed(request, forward.NotSent)
			}
		})
		return
	case !network.reachable(n.place, target.place):
		n.markDown(target)
		n.after(dialTimeout, func() {
			if current() {
				n.failed(request, forward.NotSent)
			}
		})
		return
	}
	run, targetRun := n.run, target.run
	asked, submitted := request.asked, request.request
	network.bytes(n.place, target.place, current, func() {
		target.do(targetRun, func() {
			target.serveHere(asked, submitted, func(reply ownerReply) {
				network.bytes(target.place, n.place, current, func() {
					n.do(run, func() {
						if current() {
							n.arrived(stream, reply)
						}
					})
				})
			})
			if n.world.chance(n.world.settings.Duplicates) {
				target.after(network.delay(n.place, target.place), func() {
					if owned := target.owned[asked.group]; owned != nil {
						owned.submitDuplicate(submitted)
					}
				})
			}
		})
	})
	request.silentSince = 0
	n.watchPeer(request, target, targetRun, tries)
}

// Times of a link between nodes; see package peer.
const (
	linkCheck    = 400 * time.Millisecond
	silenceLimit = 1600 * time.Millisecond
)

// watchPeer ends a request whose owner is gone or silent.
func (n *node) watchPeer(request *forwarded, target *node, targetRun, tries int) {
	n.after(linkCheck, func() {
		if n.pending[request.stream] != request || request.attempt.Tries != tries {
			return
		}
		silent := target.paused || !n.world.network.reachable(n.place, target.place)
		switch {
		case !target.alive || target.run != targetRun:
			n.linkLost(request)
			return
		case !silent:
			request.silentSince = 0
		case request.silentSince == 0:
			request.silentSince = n.world.Now()
		case n.world.Now()-request.silentSince >= silenceLimit:
			n.linkLost(request)
			return
		}
		n.watchPeer(request, target, targetRun, tries)
	})
}

// redialPause is the pause between attempts to reach a peer that is down.
const redialPause = 200 * time.Millisecond

// markDown notes that a peer cannot be reached, until it can.
func (n *node) markDown(target *node) {
	if n.down[target.place.id] {
		return
	}
	n.down[target.place.id] = true
	n.redial(target)
}

func (n *node) redial(target *node) {
	n.after(redialPause, func() {
		if target.alive && !target.paused && n.world.network.reachable(n.place, target.place) {
			delete(n.down, target.place.id)
			return
		}
		n.redial(target)
	})
}

// linkLost ends a request's attempt; the owner, if it still runs, ends the session.
func (n *node) linkLost(request *forwarded) {
	n.markDown(n.world.nodeNamed(request.target))
	n.tellSessionEnd(request.target, request.asked.group, request.conn.session)
	n.failed(request, forward.LinkLost)
}

// peerReset tells that another process has died.
func (n *node) peerReset(id string) {
	if !n.alive {
		return
	}
	n.after(n.world.settings.BetweenZones, func() {
		for _, stream := range sortedStreams(n.pending) {
			if request := n.pending[stream]; request != nil && request.target == id {
				n.failed(request, forward.LinkLost)
			}
		}
		dead := n.world.nodeNamed(id)
		for _, name := range sortedKeys(n.owned) {
			n.owned[name].endListener(uint64(dead.index + 1))
		}
	})
}

func sortedStreams(pending map[uint64]*forwarded) []uint64 {
	streams := make([]uint64, 0, len(pending))
	for stream := range pending {
		streams = append(streams, stream)
	}
	for i := range streams {
		for j := i; j > 0 && streams[j] < streams[j-1]; j-- {
			streams[j], streams[j-1] = streams[j-1], streams[j]
		}
	}
	return streams
}

// endListener ends the sessions that came from a node that has died.
func (g *ownedGroup) endListener(nodeNumber uint64) {
	sessions := map[string]group.SessionID{}
	note := func(session group.SessionID) {
		if session.Listener&0xffff == nodeNumber {
			sessions[group.RequestID{Session: session}.String()] = session
		}
	}
	for id := range g.calls {
		note(id.Session)
	}
	for session := range g.pinned {
		note(session)
	}
	for _, key := range sortedKeys(sessions) {
		g.endSession(sessions[key])
	}
}

// serveHere serves a request as owner or stand-by.
func (n *node) serveHere(asked callerRequest, submitted group.Request, reply func(ownerReply)) {
	current := n.owned[asked.group]
	if current == nil && n.mayServe(asked.group) {
		current = n.own(asked.group)
	}
	if current == nil {
		reply(ownerReply{kind: failure.NotOwner})
		return
	}
	current.submit(submitted, asked.command, reply)
}

func (n *node) mayServe(name string) bool {
	if n.view == nil || !n.view.Ready || n.draining {
		return false
	}
	for _, id := range n.view.Owners(name) {
		if id == n.place.id {
			return true
		}
	}
	return false
}

func (n *node) arrived(stream uint64, reply ownerReply) {
	request := n.pending[stream]
	if request == nil {
		return
	}
	if reply.kind == failure.NotOwner {
		n.failed(request, forward.NotOwner)
		return
	}
	conn := request.conn
	conn.visited[request.target] = request.asked.group
	if reply.kind == failure.None {
		conn.status = reply.answer.status
	} else if request.request.InTransaction {
		conn.status = backend.Idle
		n.tellSessionEnd(request.target, request.asked.group, conn.session)
	}
	conn.owner = ""
	if conn.status != backend.Idle {
		conn.owner = request.target
	}
	n.answer(request, callerReply(reply))
}

// tryPause is the pause before the third and later attempts.
const tryPause = 50 * time.Millisecond

// failed decides on a failed attempt by the same rule as the real listener.
func (n *node) failed(request *forwarded, ending forward.Ending) {
	if n.pending[request.stream] != request {
		return
	}
	request.attempt.Ending = ending
	request.attempt.Tries++
	decision := forward.Decide(request.attempt)
	if !decision.Retry {
		request.conn.status = backend.Idle
		request.conn.owner = ""
		n.answer(request, callerReply{kind: decision.Kind})
		return
	}
	request.conn.number++
	request.request.ID.Number = request.conn.number
	pause := time.Duration(0)
	if request.attempt.Tries >= core.OwnerCount {
		pause = tryPause
	}
	n.after(pause, func() {
		if n.pending[request.stream] == request {
			n.send(request)
		}
	})
}

func (n *node) answer(request *forwarded, reply callerReply) {
	delete(n.pending, request.stream)
	request.conn.busy = false
	request.reply(reply)
}
