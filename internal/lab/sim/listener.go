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
	node     *node
	run      int
	session  group.SessionID
	number   uint64
	status   byte
	owner    string            // node that holds the open transaction; empty without one
	servedBy map[string]string // group last served by each owner
	busy     bool
	closed   bool
	// onLost is called when the node closes the connection during a request.
	onLost func(byStop bool)
}

// callerReply is a node's answer to a caller.
type callerReply struct {
	kind        failure.Kind
	retryAfter  time.Duration
	answer      serverAnswer
	position    position.Position
	fromReplica bool
}

// callerRequest is a caller's request to a node.
type callerRequest struct {
	group       string
	kind        string
	statement   statement
	minPosition position.Position
	caller      string
}

// forwardedRequest is a caller's request that its node has sent to an owner of the group.
type forwardedRequest struct {
	stream   uint64
	conn     *callerConn
	incoming callerRequest
	request  group.Request
	attempt  forward.Attempt
	target   string
	reply    func(callerReply)
	// silentSince is when the target became silent; 0 while it responds.
	silentSince time.Duration
}

// accept opens a caller's connection. It returns nil if the node doesn't accept callers.
func (n *node) accept() *callerConn {
	if !n.alive || n.draining || n.view == nil || !n.view.Ready {
		return nil
	}
	n.sessions++
	epoch := uint64(n.run)<<16 | uint64(n.index+1)
	conn := &callerConn{
		node: n, run: n.run, session: group.SessionID{Listener: epoch, Session: n.sessions},
		status: backend.Idle, servedBy: map[string]string{},
	}
	n.callers[conn] = true
	return conn
}

// closeCaller handles a connection that its caller has closed.
func (n *node) closeCaller(conn *callerConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	delete(n.callers, conn)
	for _, owner := range sortedKeys(conn.servedBy) {
		n.notifySessionEnd(owner, conn.servedBy[owner], conn.session)
	}
}

func (n *node) notifySessionEnd(owner, groupName string, session group.SessionID) {
	end := func(target *node) {
		if current := target.owned[groupName]; current != nil {
			current.endSession(session)
		}
	}
	if owner == n.location.id {
		end(n)
		return
	}
	if target := n.world.nodeNamed(owner); target != nil {
		always := func() bool { return true }
		run := target.run
		n.world.network.deliverBytes(n.location, target.location, always, func() {
			target.do(run, func() { end(target) })
		})
	}
}

// releaseIdleCallers closes connections without a request or transaction in progress, as
// a planned stop does.
func (n *node) releaseIdleCallers() {
	for conn := range n.callers {
		if !conn.busy && conn.status == backend.Idle {
			conn.closed = true
			delete(n.callers, conn)
		}
	}
}

// loseCallers closes all callers' connections, also those with requests in progress.
func (n *node) loseCallers(byStop bool) {
	for _, conn := range sortedCallers(n.callers) {
		conn.closed = true
		delete(n.callers, conn)
		if conn.onLost != nil {
			onLost := conn.onLost
			conn.onLost = nil
			onLost(byStop && conn.busy)
		}
	}
	n.pending = map[uint64]*forwardedRequest{}
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

// handle serves one request of a caller. reply is called in the node's process.
func (n *node) handle(conn *callerConn, incoming callerRequest, reply func(callerReply)) {
	switch {
	case n.view == nil || !n.view.Ready:
		reply(callerReply{kind: failure.NotReady})
		return
	case n.clock() >= n.freshUntil && conn.status == backend.Idle && !n.world.settings.Mutations.IgnoreStaleness:
		reply(callerReply{kind: failure.Isolated})
		return
	}
	rule, weight := policy.DefaultRule(), 1
	if activePolicy := n.view.Config.Policies[incoming.group]; activePolicy != nil {
		rule, weight = activePolicy.Table.Rule(incoming.kind), activePolicy.Table.Weight(incoming.caller)
	}
	conn.number++
	inTransaction := conn.status != backend.Idle
	code := incoming.statement.code
	n.streams++
	request := &forwardedRequest{
		stream: n.streams, conn: conn, incoming: incoming, reply: reply,
		request: group.Request{
			ID: group.RequestID{Session: conn.session, Number: conn.number}, Caller: incoming.caller, Weight: weight,
			ReadOnly: code == codeRead && !rule.Write && !inTransaction,
			Begins:   code == codeBegin, InTransaction: inTransaction,
			MayCommit: code == codeWrite || code == codeCommit, Rule: rule, Floor: incoming.minPosition,
		},
	}
	request.attempt = forward.Attempt{
		ReadOnly: request.request.ReadOnly, MayCommit: request.request.MayCommit, InTransaction: inTransaction,
	}
	conn.busy = true
	n.pending[request.stream] = request
	n.send(request)
}

func (n *node) send(request *forwardedRequest) {
	request.target = request.conn.owner
	if request.target == "" {
		owners := n.view.Owners(request.incoming.group)
		if len(owners) == 0 {
			n.handleFailure(request, forward.NotSent)
			return
		}
		request.target = owners[request.attempt.Tries%len(owners)]
	}
	if request.target == n.location.id {
		n.serveLocally(request.incoming, request.request, func(reply ownerReply) {
			n.handleOwnerReply(request.stream, reply)
		})
		return
	}
	n.sendToPeer(request)
}

// dialTimeout is the time after which dialing an unreachable peer fails.
const dialTimeout = 500 * time.Millisecond

func (n *node) sendToPeer(request *forwardedRequest) {
	target := n.world.nodeNamed(request.target)
	network := n.world.network
	stream, tries := request.stream, request.attempt.Tries
	isCurrent := func() bool {
		found := n.pending[stream]
		return found == request && found.attempt.Tries == tries
	}
	switch {
	case !target.alive:
		n.after(network.delay(n.location, target.location), func() {
			if isCurrent() {
				n.handleFailure(request, forward.NotSent)
			}
		})
		return
	case n.down[request.target]:
		// The peer is known to be down. It is redialed in the background, and requests fail
		// without waiting.
		n.after(0, func() {
			if isCurrent() {
				n.handleFailure(request, forward.NotSent)
			}
		})
		return
	case !network.reachable(n.location, target.location):
		n.markDown(target)
		n.after(dialTimeout, func() {
			if isCurrent() {
				n.handleFailure(request, forward.NotSent)
			}
		})
		return
	}
	run, targetRun := n.run, target.run
	incoming, submitted := request.incoming, request.request
	network.deliverBytes(n.location, target.location, isCurrent, func() {
		target.do(targetRun, func() {
			target.serveLocally(incoming, submitted, func(reply ownerReply) {
				network.deliverBytes(target.location, n.location, isCurrent, func() {
					n.do(run, func() {
						if isCurrent() {
							n.handleOwnerReply(stream, reply)
						}
					})
				})
			})
			if n.world.chance(n.world.settings.Duplicates) {
				target.after(network.delay(n.location, target.location), func() {
					if owned := target.owned[incoming.group]; owned != nil {
						owned.submitDuplicate(submitted)
					}
				})
			}
		})
	})
	request.silentSince = 0
	n.watchPeer(request, target, targetRun, tries)
}

// Health checks of a link between nodes; see package peer.
const (
	linkCheckInterval = 400 * time.Millisecond
	silenceTimeout    = 1600 * time.Millisecond
)

// watchPeer fails a request whose owner has died or is silent for too long.
func (n *node) watchPeer(request *forwardedRequest, target *node, targetRun, tries int) {
	n.after(linkCheckInterval, func() {
		if n.pending[request.stream] != request || request.attempt.Tries != tries {
			return
		}
		silent := target.paused || !n.world.network.reachable(n.location, target.location)
		switch {
		case !target.alive || target.run != targetRun:
			n.handleLinkLoss(request)
			return
		case !silent:
			request.silentSince = 0
		case request.silentSince == 0:
			request.silentSince = n.world.Now()
		case n.world.Now()-request.silentSince >= silenceTimeout:
			n.handleLinkLoss(request)
			return
		}
		n.watchPeer(request, target, targetRun, tries)
	})
}

// redialInterval is the interval between attempts to reach a peer that is down.
const redialInterval = 200 * time.Millisecond

// markDown marks a peer as unreachable until a redial succeeds.
func (n *node) markDown(target *node) {
	if n.down[target.location.id] {
		return
	}
	n.down[target.location.id] = true
	n.redial(target)
}

func (n *node) redial(target *node) {
	n.after(redialInterval, func() {
		if target.alive && !target.paused && n.world.network.reachable(n.location, target.location) {
			delete(n.down, target.location.id)
			return
		}
		n.redial(target)
	})
}

// handleLinkLoss fails a request's attempt after its link was lost. The owner, if it still
// runs, ends the session.
func (n *node) handleLinkLoss(request *forwardedRequest) {
	n.markDown(n.world.nodeNamed(request.target))
	n.notifySessionEnd(request.target, request.incoming.group, request.conn.session)
	n.handleFailure(request, forward.LinkLost)
}

// handlePeerDeath fails the requests sent to a process that has died and ends the sessions
// that came from it.
func (n *node) handlePeerDeath(id string) {
	if !n.alive {
		return
	}
	n.after(n.world.settings.BetweenZones, func() {
		for _, stream := range sortedStreams(n.pending) {
			if request := n.pending[stream]; request != nil && request.target == id {
				n.handleFailure(request, forward.LinkLost)
			}
		}
		dead := n.world.nodeNamed(id)
		for _, name := range sortedKeys(n.owned) {
			n.owned[name].endSessionsOfNode(uint64(dead.index + 1))
		}
	})
}

func sortedStreams(pending map[uint64]*forwardedRequest) []uint64 {
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

// endSessionsOfNode ends the sessions of callers of a node that has died.
func (g *ownedGroup) endSessionsOfNode(nodeNumber uint64) {
	sessions := map[string]group.SessionID{}
	addIfFromNode := func(session group.SessionID) {
		if session.Listener&0xffff == nodeNumber {
			sessions[group.RequestID{Session: session}.String()] = session
		}
	}
	for id := range g.calls {
		addIfFromNode(id.Session)
	}
	for session := range g.pinned {
		addIfFromNode(session)
	}
	for _, key := range sortedKeys(sessions) {
		g.endSession(sessions[key])
	}
}

// serveLocally serves a request at this node if it is one of the group's owners.
func (n *node) serveLocally(incoming callerRequest, submitted group.Request, reply func(ownerReply)) {
	current := n.owned[incoming.group]
	if current == nil && n.mayServe(incoming.group) {
		current = n.own(incoming.group)
	}
	if current == nil {
		reply(ownerReply{kind: failure.NotOwner})
		return
	}
	current.submit(submitted, incoming.statement, reply)
}

func (n *node) mayServe(name string) bool {
	if n.view == nil || !n.view.Ready || n.draining {
		return false
	}
	for _, id := range n.view.Owners(name) {
		if id == n.location.id {
			return true
		}
	}
	return false
}

func (n *node) handleOwnerReply(stream uint64, reply ownerReply) {
	request := n.pending[stream]
	if request == nil {
		return
	}
	if reply.kind == failure.NotOwner {
		n.handleFailure(request, forward.NotOwner)
		return
	}
	conn := request.conn
	conn.servedBy[request.target] = request.incoming.group
	if reply.kind == failure.None {
		conn.status = reply.answer.status
	} else if request.request.InTransaction {
		conn.status = backend.Idle
		n.notifySessionEnd(request.target, request.incoming.group, conn.session)
	}
	conn.owner = ""
	if conn.status != backend.Idle {
		conn.owner = request.target
	}
	n.answer(request, callerReply(reply))
}

// retryDelay is the delay before an attempt once every owner has been tried.
const retryDelay = 50 * time.Millisecond

// handleFailure retries a failed attempt or answers with the failure. It decides with
// forward.Decide, as the real listener does.
func (n *node) handleFailure(request *forwardedRequest, ending forward.Ending) {
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
		pause = retryDelay
	}
	n.after(pause, func() {
		if n.pending[request.stream] == request {
			n.send(request)
		}
	})
}

func (n *node) answer(request *forwardedRequest, reply callerReply) {
	delete(n.pending, request.stream)
	request.conn.busy = false
	request.reply(reply)
}
