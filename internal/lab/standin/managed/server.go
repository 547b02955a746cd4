package managed

import (
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/upstream"
)

// Server is one server of a group. Its fields are guarded by the group's lock.
type Server struct {
	group *Group
	id    string
	zone  string
	// incarnation is the start time of the process in milliseconds since 1970.
	incarnation int64

	up bool
	// reachable is false while nodes can't reach the server.
	reachable bool
	draining  bool
	// unlisted is set once the server has left the directory. It may still run.
	unlisted bool
	// receiveBlocked stops replication to the server because of a fault, replicationHeld because a
	// node ordered it. sendBlocked stops replication from the primary.
	receiveBlocked  bool
	replicationHeld bool
	sendBlocked     bool
	// primaryTerm is the latest term in which the server was the primary. lingering is set while a
	// replaced primary keeps running as one, steppedDown after the primary obeyed an order to
	// step down.
	primaryTerm uint64
	lingering   bool
	steppedDown bool
	// loseAnswers is how many of the next answers are lost after the operation ran.
	loseAnswers int
	// slowdown multiplies the duration of statements. One of failOneOf statements fails, none
	// if it is 0. failCounter counts the statements while failOneOf is set.
	slowdown    int
	failOneOf   int
	failCounter int
	// One of repeatOneOf answers is repeated, none if it is 0.
	repeatOneOf int
	repeatSeed  uint64
	applyDelay  time.Duration
	busyUntil   time.Time
	// crashes counts the crashes, so that the entry only expires after the latest one.
	crashes int

	log     []entry
	applied int
	// dropped holds the entries of the logs without which the server restarted since the last promotion.
	dropped []entry
	// statements counts the callers' statements that ran.
	statements int
	// runs counts the signed answers to each request.
	runs    map[string]int
	running int
	queued  int
	// opened counts the connections opened.
	opened   int
	sessions map[*Session]struct{}
}

// Zone returns the server's zone.
func (s *Server) Zone() string { return s.zone }

// Statements returns how many statements of callers ran on the server.
func (s *Server) Statements() int {
	defer s.lock()()
	return s.statements
}

// ID returns the server's ID.
func (s *Server) ID() string { return s.id }

func (s *Server) lock() func() {
	s.group.mutex.Lock()
	return s.group.mutex.Unlock
}

// Crash ends the server's process. It keeps its log.
func (s *Server) Crash() {
	defer s.lock()()
	s.up = false
	if s.lingering {
		s.group.endLinger(s)
	}
	s.dropSessions()
	s.crashes++
	crash := s.crashes
	time.AfterFunc(entryTTL, func() { s.expireEntry(crash) })
}

// entryTTL is how long a directory entry stays after the last heartbeat of its server.
const entryTTL = 3600 * time.Millisecond

// expireEntry removes the directory entry of a server that has been down since the given crash.
func (s *Server) expireEntry(crash int) {
	defer s.lock()()
	if !s.up && s.crashes == crash {
		s.group.announce(s)
	}
}

// Restart starts a crashed server with its log.
func (s *Server) Restart() {
	defer s.lock()()
	s.up, s.reachable, s.incarnation = true, true, time.Now().UnixMilli()
	s.group.announce(s)
	s.group.replicateTo(s)
}

// RestartEmpty starts a crashed server with the same ID and an empty log.
func (s *Server) RestartEmpty() {
	unlock := s.lock()
	s.dropped = append(s.dropped, s.log...)
	s.log, s.applied, s.replicationHeld, s.receiveBlocked = nil, 0, false, false
	unlock()
	s.Restart()
}

// SetReachable sets whether the nodes can reach the server.
func (s *Server) SetReachable(reachable bool) {
	defer s.lock()()
	s.reachable = reachable
}

// SetReceiveBlocked sets whether a replica stops receiving replication.
func (s *Server) SetReceiveBlocked(receiveBlocked bool) {
	defer s.lock()()
	s.receiveBlocked = receiveBlocked
	if !receiveBlocked {
		s.group.replicateTo(s)
	}
}

// SetSendBlocked sets whether a primary stops sending its log to the replicas.
func (s *Server) SetSendBlocked(sendBlocked bool) {
	defer s.lock()()
	s.sendBlocked = sendBlocked
	for _, other := range s.group.servers {
		if other != s.group.primary {
			s.group.replicateTo(other)
		}
	}
}

// SetApplyDelay sets how long after receiving a transaction a replica applies it.
func (s *Server) SetApplyDelay(delay time.Duration) {
	defer s.lock()()
	s.applyDelay = delay
}

// LoseAnswers makes the server lose its next answers.
func (s *Server) LoseAnswers(count int) {
	defer s.lock()()
	s.loseAnswers = count
}

// SetSlowdown multiplies the duration of each statement.
func (s *Server) SetSlowdown(times int) {
	defer s.lock()()
	s.slowdown = times
}

// FailOneOf makes one of count statements fail after it has taken its slot. 0 ends the fault.
func (s *Server) FailOneOf(count int) {
	defer s.lock()()
	s.failOneOf = count
}

// fails reports whether the next statement fails. The lock must be held.
func (s *Server) fails() bool {
	if s.failOneOf == 0 {
		return false
	}
	s.failCounter++
	return s.failCounter%s.failOneOf == 0
}

// statementTime returns the duration of an operation that takes a slot.
func (s *Server) statementTime(requestID string) time.Duration {
	defer s.lock()()
	work := s.group.settings.StatementTime
	if s.group.settings.WorkTime != nil {
		work = s.group.settings.WorkTime(requestID)
	}
	return time.Duration(max(1, s.slowdown)) * work
}

// SetBusy makes the server reject all operations that take a slot until a time.
func (s *Server) SetBusy(until time.Time) {
	defer s.lock()()
	s.busyUntil = until
}

// Drain announces that the server is going to leave, see Leave.
func (s *Server) Drain() {
	defer s.lock()()
	s.draining = true
	s.group.announce(s)
}

// LeaveDirectory removes the server's directory entry without an announcement. The server runs on, see
// Leave.
func (s *Server) LeaveDirectory() {
	defer s.lock()()
	s.unlisted = true
	s.group.announce(s)
}

// Leave ends a drained server permanently.
func (s *Server) Leave() {
	defer s.lock()()
	s.up = false
	s.dropSessions()
	s.group.announce(s)
}

func (s *Server) dropSessions() {
	for session := range s.sessions {
		session.disconnect()
	}
	clear(s.sessions)
}

// isPrimary reports whether the server acts as the primary, also after it was replaced. The lock
// must be held.
func (s *Server) isPrimary() bool {
	return s.lingering || (s == s.group.primary && !s.steppedDown)
}

// stepDown makes the server a replica if it is the primary of a lower term. The lock must be held.
func (s *Server) stepDown(term uint64) {
	if !s.isPrimary() || term <= s.primaryTerm || s.group.settings.IgnoresStepDown {
		return
	}
	if s.lingering {
		s.group.endLinger(s)
		return
	}
	s.steppedDown = true
	s.group.announce(s)
}

// term returns the server's current term. The lock must be held.
func (s *Server) term() uint64 {
	if s.lingering {
		return s.primaryTerm
	}
	return s.group.term
}

// receives reports whether the server receives replication. The lock must be held.
func (s *Server) receives() bool { return s.up && !s.receiveBlocked && !s.replicationHeld }

// holds reports whether the server's log has the entry at a position. The lock must be held.
func (s *Server) holds(at position.Position) bool {
	return at.Offset == 0 || (at.Offset <= uint64(len(s.log)) && s.log[at.Offset-1].at == at)
}

// hasApplied reports whether the server has applied a position. The lock must be held.
func (s *Server) hasApplied(at position.Position) bool {
	return at.Offset <= uint64(s.applied) && s.holds(at)
}

// truncate removes the entries that the new primary's log doesn't have. The lock must be held.
func (s *Server) truncate(primary *Server) {
	kept := 0
	for kept < len(s.log) && kept < len(primary.log) && s.log[kept].at == primary.log[kept].at {
		kept++
	}
	if kept < len(s.log) {
		s.busyUntil = time.Now().Add(rollbackDuration)
	}
	s.log = s.log[:kept:kept]
	s.applied = min(s.applied, kept)
}

// rollbackDuration is how long a server stays busy after it rolled back entries.
const rollbackDuration = 50 * time.Millisecond

// position returns the position up to which the server has applied the log. The lock must be held.
func (s *Server) position() position.Position {
	if s.applied == 0 {
		return position.Position{Term: 1}
	}
	return s.log[s.applied-1].at
}

// received returns the position up to which the server has received the log. The lock must be held.
func (s *Server) received() position.Position {
	if len(s.log) == 0 {
		return position.Position{Term: 1}
	}
	return s.log[len(s.log)-1].at
}

// status returns the answer to a status request. The lock must be held.
func (s *Server) status() *upstream.Status {
	return &upstream.Status{
		Primary: s.isPrimary(), Term: s.term(), Received: s.received(),
		Busy: s.running, Connections: len(s.sessions),
	}
}

// value returns the newest value of a key in the applied log. The lock must be held.
func (s *Server) value(key string) string {
	for i := s.applied - 1; i >= 0; i-- {
		for _, each := range s.log[i].writes {
			if each.key == key {
				return each.data
			}
		}
	}
	return ""
}
