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
	// born is the time of the process's start, in milliseconds since 1970.
	born int64

	up bool
	// reachable is false while the server is dark to the nodes.
	reachable bool
	draining  bool
	// deaf servers receive nothing, held ones by order; severed primaries send nothing.
	deaf    bool
	held    bool
	severed bool
	// ledTerm is the term in which the server leads, or last led; lingering is set while a
	// replaced primary goes on, steppedDown while a primary was told to give up the lead.
	ledTerm     uint64
	lingering   bool
	steppedDown bool
	// loseAnswers makes the next answers get lost after the operation ran.
	loseAnswers int
	// slowdown is how many times the usual time a statement takes. One of failOneOf
	// statements fails; none if it is 0. asked counts them.
	slowdown   int
	failOneOf  int
	asked      int
	applyDelay time.Duration
	busyUntil  time.Time
	// crashes counts the crashes, so that an entry lapses for the newest only.
	crashes int

	log     []entry
	applied int
	// statements counts the callers' statements that have run.
	statements int
	running    int
	queued     int
	sessions   map[*Session]struct{}
}

// Zone returns the server's zone.
func (s *Server) Zone() string { return s.zone }

// Statements returns how many statements of callers have run on the server.
func (s *Server) Statements() int {
	defer s.lock()()
	return s.statements
}

// ID returns the server's id.
func (s *Server) ID() string { return s.id }

func (s *Server) lock() func() {
	s.group.mutex.Lock()
	return s.group.mutex.Unlock
}

// Crash ends the server's process; its log stays.
func (s *Server) Crash() {
	defer s.lock()()
	s.up = false
	if s.lingering {
		s.group.endLinger(s)
	}
	s.dropSessions()
	s.crashes++
	crash := s.crashes
	time.AfterFunc(entryLife, func() { s.lapse(crash) })
}

// entryLife is how long an entry of the directory outlives the last heartbeat of its server.
const entryLife = 3600 * time.Millisecond

// lapse removes the entry of a server that has been down since its crash with a number.
func (s *Server) lapse(crash int) {
	defer s.lock()()
	if !s.up && s.crashes == crash {
		s.group.announce(s)
	}
}

// Restart starts a crashed server with its log.
func (s *Server) Restart() {
	defer s.lock()()
	s.up, s.reachable, s.born = true, true, time.Now().UnixMilli()
	s.group.announce(s)
	s.group.replicateTo(s)
}

// RestartEmpty starts a crashed server under its id, without its log.
func (s *Server) RestartEmpty() {
	unlock := s.lock()
	s.log, s.applied, s.held, s.deaf = nil, 0, false, false
	unlock()
	s.Restart()
}

// SetReachable cuts the server off from the nodes, or heals the cut.
func (s *Server) SetReachable(reachable bool) {
	defer s.lock()()
	s.reachable = reachable
}

// SetDeaf keeps a replica from receiving, or lets it receive again.
func (s *Server) SetDeaf(deaf bool) {
	defer s.lock()()
	s.deaf = deaf
	if !deaf {
		s.group.replicateTo(s)
	}
}

// SetSevered keeps a primary's log from its replicas, or sends it again.
func (s *Server) SetSevered(severed bool) {
	defer s.lock()()
	s.severed = severed
	for _, other := range s.group.servers {
		if other != s.group.primary {
			s.group.replicateTo(other)
		}
	}
}

// SetApplyDelay changes how late a replica applies what it receives.
func (s *Server) SetApplyDelay(delay time.Duration) {
	defer s.lock()()
	s.applyDelay = delay
}

// LoseAnswers makes the server lose its next answers to statements.
func (s *Server) LoseAnswers(count int) {
	defer s.lock()()
	s.loseAnswers = count
}

// SetSlowdown makes the server take several times the usual time for each statement.
func (s *Server) SetSlowdown(times int) {
	defer s.lock()()
	s.slowdown = times
}

// FailOneOf makes one of so many statements fail after it has taken its slot; 0 ends that.
func (s *Server) FailOneOf(count int) {
	defer s.lock()()
	s.failOneOf = count
}

// fails reports whether the next statement fails; the lock is held.
func (s *Server) fails() bool {
	if s.failOneOf == 0 {
		return false
	}
	s.asked++
	return s.asked%s.failOneOf == 0
}

// work returns how long a statement takes.
func (s *Server) work() time.Duration {
	defer s.lock()()
	return time.Duration(max(1, s.slowdown)) * s.group.settings.Work
}

// SetBusy makes the server refuse all that takes a slot until a time.
func (s *Server) SetBusy(until time.Time) {
	defer s.lock()()
	s.busyUntil = until
}

// Drain announces the server's end; Leave ends it.
func (s *Server) Drain() {
	defer s.lock()()
	s.draining = true
	s.group.announce(s)
}

// Leave ends a drained server for good.
func (s *Server) Leave() {
	defer s.lock()()
	s.up = false
	s.dropSessions()
	s.group.announce(s)
}

func (s *Server) dropSessions() {
	for session := range s.sessions {
		session.breakOff()
	}
	clear(s.sessions)
}

// leads reports whether the server acts as the primary; the lock is held.
func (s *Server) leads() bool {
	return s.lingering || (s == s.group.primary && !s.steppedDown)
}

// stepDown makes a primary of a lower term a replica; the lock is held.
func (s *Server) stepDown(term uint64) {
	if !s.leads() || term <= s.ledTerm {
		return
	}
	if s.lingering {
		s.group.endLinger(s)
		return
	}
	s.steppedDown = true
	s.group.announce(s)
}

// term returns the term the server is in; the lock is held.
func (s *Server) term() uint64 {
	if s.lingering {
		return s.ledTerm
	}
	return s.group.term
}

// receives reports whether replication reaches the server; the lock is held.
func (s *Server) receives() bool { return s.up && !s.deaf && !s.held }

// holds reports whether the server's log has an entry; the lock is held.
func (s *Server) holds(at position.Position) bool {
	return at.Offset == 0 || (at.Offset <= uint64(len(s.log)) && s.log[at.Offset-1].at == at)
}

// hasApplied reports whether the server has applied a position; the lock is held.
func (s *Server) hasApplied(at position.Position) bool {
	return at.Offset <= uint64(s.applied) && s.holds(at)
}

// truncate removes what the new primary's log lacks; the lock is held.
func (s *Server) truncate(primary *Server) {
	kept := 0
	for kept < len(s.log) && kept < len(primary.log) && s.log[kept].at == primary.log[kept].at {
		kept++
	}
	if kept < len(s.log) {
		s.busyUntil = time.Now().Add(rollBackTime)
	}
	s.log = s.log[:kept:kept]
	s.applied = min(s.applied, kept)
}

// rollBackTime is how long a server is busy after it has rolled back.
const rollBackTime = 50 * time.Millisecond

// position returns what the server has applied; the lock is held.
func (s *Server) position() position.Position {
	if s.applied == 0 {
		return position.Position{Term: 1}
	}
	return s.log[s.applied-1].at
}

func (s *Server) received() position.Position {
	if len(s.log) == 0 {
		return position.Position{Term: 1}
	}
	return s.log[len(s.log)-1].at
}

func (s *Server) status() *upstream.Status {
	return &upstream.Status{
		Primary: s.leads(), Term: s.term(), Received: s.received(),
		Busy: s.running, Connections: len(s.sessions),
	}
}

// value returns a thing's newest value in the applied log; the lock is held.
func (s *Server) value(thing string) string {
	for i := s.applied - 1; i >= 0; i-- {
		for _, each := range s.log[i].writes {
			if each.thing == thing {
				return each.data
			}
		}
	}
	return ""
}
