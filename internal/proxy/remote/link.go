package remote

import (
	"bufio"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/framing"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/upstream"
)

// Times of a link's watch.
const (
	// pingInterval is the pause between looks while answers are awaited.
	pingInterval = 100 * time.Millisecond
	// suspicionLimit is after how long without a frame, while answers are awaited,
	// new work turns to another owner.
	suspicionLimit = 300 * time.Millisecond
	// silenceLimit is after how long without a frame, while answers are awaited,
	// the link counts as lost.
	silenceLimit = 800 * time.Millisecond
	// writeLimit bounds a write: a peer that reads nothing must not hold up its callers.
	writeLimit = 2 * time.Second
)

// ProofFunc takes a position that covers all commits acknowledged before a time.
type ProofFunc func(server string, at time.Time, covers position.Position)

// ReportFunc takes what an owner tells of the work that waits for a server, on the answer
// to a question that was sent at a time.
type ReportFunc func(server string, sent time.Time, report *told.Report)

// lives counts the links: a link leads to one process, whose reports it tells apart.
var lives atomic.Uint64

// Link is the asking end of a link to an owner. It is safe for concurrent use.
type Link struct {
	conn     net.Conn
	w        *framing.Writer
	onProof  ProofFunc
	onReport ReportFunc
	life     uint64

	leaving atomic.Bool
	// suspect is set while the owner is silent for longer than usual.
	suspect atomic.Bool
	// suspected is closed when the owner becomes suspect, and replaced when it is
	// heard again; mu guards the field.
	suspected chan struct{}
	// lost is closed when the link has ended.
	lost chan struct{}
	once sync.Once

	mu      sync.Mutex
	waiting map[uint64]chan response
	next    uint64
	// heard is when a frame last came, asked when answers began to be awaited.
	heard time.Time
	asked time.Time
	// watching is set while the watch runs.
	watching bool
}

// NewLink returns the asking end of a link over a connection.
func NewLink(conn net.Conn, onProof ProofFunc, onReport ReportFunc) *Link {
	l := &Link{
		conn: conn, w: framing.NewWriter(deadlineWriter{conn}), onProof: onProof, onReport: onReport, life: lives.Add(1),
		lost: make(chan struct{}), suspected: make(chan struct{}), waiting: map[uint64]chan response{}, heard: time.Now(),
	}
	go l.readLoop()
	return l
}

// deadlineWriter bounds each write of a connection.
type deadlineWriter struct{ net.Conn }

// Write implements net.Conn.
func (w deadlineWriter) Write(content []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeLimit))
	return w.Conn.Write(content)
}

// Alive reports whether the link is open, and its owner answers and wants new work.
func (l *Link) Alive() bool { return l.open() && !l.leaving.Load() && !l.suspect.Load() }

func (l *Link) open() bool {
	select {
	case <-l.lost:
		return false
	default:
		return true
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.lost)
		_ = l.conn.Close()
	})
}

// Session returns a new session of a principal with a server through the owner.
func (l *Link) Session(server string, principal upstream.Principal) *Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return &Session{link: l, stream: l.next, server: server, principal: principal}
}

func (l *Link) readLoop() {
	defer l.Close()
	r := bufio.NewReaderSize(l.conn, readBuffer)
	for {
		f, err := framing.Read(r, maxFrameBytes)
		if err != nil {
			return
		}
		l.hear()
		switch f.Kind {
		case frameRan:
			var answered response
			if codec.Decode(f.Body, &answered) != nil {
				return
			}
			l.deliver(f.Stream, answered)
		case frameLeaving:
			l.leaving.Store(true)
		default:
		}
	}
}

// hear notes that the owner has said something.
func (l *Link) hear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
	if l.suspect.CompareAndSwap(true, false) {
		l.suspected = make(chan struct{})
	}
}

// suspectOwner turns new work, and reads under way, to another owner.
func (l *Link) suspectOwner() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspect.CompareAndSwap(false, true) {
		close(l.suspected)
	}
}

// deliver hands a response to whoever awaits it; a late one is dropped.
func (l *Link) deliver(stream uint64, answered response) {
	l.mu.Lock()
	awaited := l.waiting[stream]
	delete(l.waiting, stream)
	l.mu.Unlock()
	if awaited != nil {
		awaited <- answered
	}
}

// await announces that a stream awaits a response.
func (l *Link) await(stream uint64) (answer chan response, suspected chan struct{}) {
	awaited := make(chan response, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.asked = time.Now()
	}
	l.waiting[stream] = awaited
	if !l.watching {
		l.watching = true
		time.AfterFunc(pingInterval, l.watch)
	}
	return awaited, l.suspected
}

func (l *Link) forget(stream uint64) {
	l.mu.Lock()
	delete(l.waiting, stream)
	l.mu.Unlock()
}

// watch ends the link if the owner is silent while answers are awaited. A suspect
// owner is watched to the end, also if nobody waits for it any longer.
func (l *Link) watch() {
	now := time.Now()
	l.mu.Lock()
	silent := min(now.Sub(l.heard), now.Sub(l.asked))
	l.watching = (len(l.waiting) > 0 || l.suspect.Load()) && l.open()
	watching := l.watching
	l.mu.Unlock()
	switch {
	case !watching:
	case silent >= silenceLimit:
		l.Close()
	default:
		if silent >= suspicionLimit {
			l.suspectOwner()
		}
		if silent >= pingInterval {
			// A ping that cannot be written shows in the silence.
			go func() { _ = l.w.Send(framePing, 0, &empty{}) }()
		}
		time.AfterFunc(pingInterval, l.watch)
	}
}

// Session is a connection to a server through its owner. It implements
// upstream.Connection.
type Session struct {
	link   *Link
	stream uint64
	server string
	// principal is in whose name the session runs.
	principal upstream.Principal

	ticket  Ticket
	awaited chan response
	// suspected ends the wait for an answer that another owner can give; nil if
	// there is none.
	suspected chan struct{}
	sentAt    time.Time
	results   []upstream.Result
	// cause is why no further answers come.
	cause error
	open  bool
}

// Queue sets the place of the next operations among those that wait at the owner.
func (s *Session) Queue(ticket Ticket) { s.ticket = ticket }

// Send implements upstream.Connection.
func (s *Session) Send(operations []upstream.Operation, deadline time.Time) error {
	if s.cause != nil || !s.link.open() {
		return ErrLinkLost
	}
	s.sentAt = time.Now()
	s.awaited, s.suspected = s.link.await(s.stream)
	if s.open || !repeatable(operations) {
		s.suspected = nil
	}
	err := s.link.w.Send(frameRun, s.stream, &request{
		Server: s.server, Operations: operations, Budget: deadline.Sub(s.sentAt), Open: s.open, Ticket: s.ticket, Principal: s.principal,
	})
	if err != nil {
		s.cause = ErrLinkLost
		s.link.Close()
	}
	return err
}

// repeatable reports whether operations outside of a transaction change nothing that
// lasts, so that they may be asked of another owner.
func repeatable(operations []upstream.Operation) bool {
	for i := range operations {
		operation := &operations[i]
		if operation.Kind == upstream.Commit || (operation.Kind == upstream.RunStatement && operation.Statement.Writes) {
			return false
		}
	}
	return true
}

// Receive implements upstream.Connection.
func (s *Session) Receive(_ upstream.OperationKind, deadline time.Time) (upstream.Result, error) {
	if s.awaited != nil {
		s.take(deadline)
	}
	if len(s.results) == 0 {
		if s.cause == nil {
			s.cause = ErrInDoubt
		}
		return upstream.Result{}, s.cause
	}
	result := s.results[0]
	s.results = s.results[1:]
	s.open = result.State != upstream.Idle
	return result, nil
}

// take waits for the response to the last request.
func (s *Session) take(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case answered := <-s.awaited:
		s.results = answered.Results
		if answered.Lost {
			s.cause = ErrInDoubt
		}
		if !answered.Proof.IsZero() {
			s.link.onProof(s.server, s.sentAt.Add(-answered.ProofAge), answered.Proof)
		}
		if answered.Load != nil {
			answered.Load.Life = s.link.life
			s.link.onReport(s.server, s.sentAt, answered.Load)
		}
	case <-s.link.lost:
		s.cause = ErrLinkLost
	case <-s.suspected:
		s.cause = ErrLinkLost
	case <-timer.C:
		s.cause = os.ErrDeadlineExceeded
	}
	s.link.forget(s.stream)
	s.awaited = nil
}

// Alive implements upstream.Connection.
func (s *Session) Alive() bool { return s.cause == nil && s.link.open() }

// Close implements upstream.Connection.
func (s *Session) Close() {
	if s.cause == nil && !s.open && s.awaited == nil {
		return
	}
	if s.cause == nil {
		s.cause = ErrLinkLost
	}
	if s.link.open() {
		_ = s.link.w.Send(frameEnd, s.stream, &empty{})
	}
}
