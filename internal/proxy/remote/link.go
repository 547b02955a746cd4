package remote

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/framing"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/upstream"
)

// Timing of a link's checks.
const (
	// pingInterval is the pause between checks while responses are pending.
	pingInterval = 100 * time.Millisecond
	// suspicionTimeout is the time without data, while responses are pending, after which new
	// work goes to another owner.
	suspicionTimeout = 300 * time.Millisecond
	// silenceTimeout is the time without data, while responses are pending, after which the link
	// counts as lost.
	silenceTimeout = 800 * time.Millisecond
	// writeTimeout bounds a write, so that a peer that stops reading doesn't block its callers.
	writeTimeout = 2 * time.Second
)

// ProofFunc receives a position that covers all commits acknowledged before a time.
type ProofFunc func(server string, at time.Time, covers position.Position)

// ReportFunc receives an owner's load report on a server, and when the request was sent whose
// response carried it.
type ReportFunc func(server string, sent time.Time, report *loadreport.Report)

// linkCount numbers the links. A link leads to one process, so its number identifies the
// incarnation in that process's load reports.
var linkCount atomic.Uint64

// Link is the requesting node's end of a link to an owner. It is safe for concurrent use.
type Link struct {
	conn        net.Conn
	w           *framing.Writer
	onProof     ProofFunc
	onReport    ReportFunc
	incarnation uint64

	leaving atomic.Bool
	// suspect is set while the owner is silent for longer than suspicionTimeout.
	suspect atomic.Bool
	// suspected is closed when the owner becomes suspect, and replaced when a frame arrives again.
	// It is guarded by mu.
	suspected chan struct{}
	// lost is closed when the link has ended.
	lost chan struct{}
	once sync.Once

	mu      sync.Mutex
	waiting map[uint64]chan response
	next    uint64
	// receivedAt is when data last arrived, waitingSince when responses became pending.
	receivedAt   time.Time
	waitingSince time.Time
	// watching is set while watch is scheduled.
	watching bool
}

// NewLink returns the requesting node's end of a link over a connection.
func NewLink(conn net.Conn, onProof ProofFunc, onReport ReportFunc) *Link {
	l := &Link{
		conn: conn, w: newWriter(conn), onProof: onProof, onReport: onReport, incarnation: linkCount.Add(1),
		lost: make(chan struct{}), suspected: make(chan struct{}), waiting: map[uint64]chan response{}, receivedAt: time.Now(),
	}
	go l.readLoop()
	return l
}

// newWriter returns a writer of frames to the other end of a link.
func newWriter(conn net.Conn) *framing.Writer {
	w := framing.NewWriter(deadlineWriter{conn})
	w.Limit = maxFrameBytes
	return w
}

// writeBytes is the number of bytes that must be written within writeTimeout.
const writeBytes = 256 << 10

// deadlineWriter sets a deadline for each part of what is written to a connection, so that a large
// frame may take longer on a slow link.
type deadlineWriter struct{ net.Conn }

// Write implements net.Conn.
func (w deadlineWriter) Write(content []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(content, writeBytes) {
		_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := w.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// linkReader reads from a link's connection and records that data arrives, also while a large frame is
// incomplete.
type linkReader struct{ link *Link }

// Read implements io.Reader.
func (r linkReader) Read(content []byte) (int, error) {
	n, err := r.link.conn.Read(content)
	if n > 0 {
		r.link.recordReceived()
	}
	return n, err
}

// Alive reports whether the link is open and its owner is responsive and accepts new work.
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

// Session returns a new session of a principal with a server, through the owner.
func (l *Link) Session(server string, principal upstream.Principal) *Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return &Session{link: l, stream: l.next, server: server, principal: principal}
}

func (l *Link) readLoop() {
	defer l.Close()
	r := bufio.NewReaderSize(linkReader{l}, readBufferBytes)
	for {
		f, err := framing.Read(r, maxFrameBytes)
		if err != nil {
			return
		}
		switch f.Kind {
		case frameResponse:
			var resp response
			if codec.Decode(f.Body, &resp) != nil {
				return
			}
			l.deliver(f.Stream, resp)
		case frameLeaving:
			l.leaving.Store(true)
		default:
		}
	}
}

// recordReceived records that data arrived, which ends a suspicion.
func (l *Link) recordReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedAt = time.Now()
	if l.suspect.CompareAndSwap(true, false) {
		l.suspected = make(chan struct{})
	}
}

// suspectOwner makes new work and pending reads go to another owner.
func (l *Link) suspectOwner() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspect.CompareAndSwap(false, true) {
		close(l.suspected)
	}
}

// deliver passes a response to the session that waits for it. A late response is dropped.
func (l *Link) deliver(stream uint64, resp response) {
	l.mu.Lock()
	pending := l.waiting[stream]
	delete(l.waiting, stream)
	l.mu.Unlock()
	if pending != nil {
		pending <- resp
	}
}

// await registers a stream that waits for a response, and starts the checks of the link.
func (l *Link) await(stream uint64) (answer chan response, suspected chan struct{}) {
	pending := make(chan response, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.waitingSince = time.Now()
	}
	l.waiting[stream] = pending
	if !l.watching {
		l.watching = true
		time.AfterFunc(pingInterval, l.watch)
	}
	return pending, l.suspected
}

func (l *Link) cancelWait(stream uint64) {
	l.mu.Lock()
	delete(l.waiting, stream)
	l.mu.Unlock()
}

// watch closes the link if the owner is silent while responses are pending. A suspect owner is
// checked until it answers or the link is lost, even if nothing waits for it any more.
func (l *Link) watch() {
	now := time.Now()
	l.mu.Lock()
	silent := min(now.Sub(l.receivedAt), now.Sub(l.waitingSince))
	l.watching = (len(l.waiting) > 0 || l.suspect.Load()) && l.open()
	watching := l.watching
	l.mu.Unlock()
	switch {
	case !watching:
	case silent >= silenceTimeout:
		l.Close()
	default:
		if silent >= suspicionTimeout {
			l.suspectOwner()
		}
		if silent >= pingInterval {
			// A failed ping needs no handling: the owner's silence shows it.
			go func() { _ = l.w.Send(framePing, 0, &empty{}) }()
		}
		time.AfterFunc(pingInterval, l.watch)
	}
}

// Session is a connection to a server through its owner. It implements upstream.Connection.
type Session struct {
	link   *Link
	stream uint64
	server string
	// principal is the user for whom the session runs.
	principal upstream.Principal

	ticket  Ticket
	pending chan response
	// suspected ends the wait for a response that another owner can give as well; nil if none can.
	suspected chan struct{}
	sentAt    time.Time
	results   []upstream.Result
	// cause is why no more answers will come.
	cause error
	// open is set while a transaction is open.
	open bool
}

// SetTicket sets the ticket with which the next operations wait at the owner.
func (s *Session) SetTicket(ticket Ticket) { s.ticket = ticket }

// Send implements upstream.Connection.
func (s *Session) Send(operations []upstream.Operation, deadline time.Time) error {
	if s.cause != nil || !s.link.open() {
		return ErrLinkLost
	}
	s.sentAt = time.Now()
	req := &request{
		Server: s.server, Operations: operations, Budget: min(deadline.Sub(s.sentAt), maxBudget), Open: s.open, Ticket: s.ticket, Principal: s.principal,
	}
	if !req.valid() {
		s.cause = ErrInvalidRequest
		return s.cause
	}
	s.pending, s.suspected = s.link.await(s.stream)
	if s.open || !repeatable(operations) {
		s.suspected = nil
	}
	err := s.link.w.Send(frameRequest, s.stream, req)
	var tooLarge *framing.TooLargeError
	switch {
	case err == nil:
	case errors.As(err, &tooLarge):
		s.link.cancelWait(s.stream)
		s.pending, s.cause = nil, err
	default:
		s.cause = ErrLinkLost
		s.link.Close()
	}
	return err
}

// repeatable reports whether operations outside of a transaction have no lasting effect, so that
// another owner may run them again.
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
	if s.pending != nil {
		s.awaitResponse(deadline)
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

// awaitResponse waits for the response to the last request.
func (s *Session) awaitResponse(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case resp := <-s.pending:
		s.results = resp.Results
		if resp.Lost {
			s.cause = ErrInDoubt
		}
		if !resp.Proof.IsZero() {
			s.link.onProof(s.server, s.sentAt.Add(-resp.ProofAge), resp.Proof)
		}
		if resp.Load != nil {
			resp.Load.Incarnation = s.link.incarnation
			s.link.onReport(s.server, s.sentAt, resp.Load)
		}
	case <-s.link.lost:
		s.cause = ErrLinkLost
	case <-s.suspected:
		s.cause = ErrLinkLost
	case <-timer.C:
		s.cause = os.ErrDeadlineExceeded
	}
	s.link.cancelWait(s.stream)
	s.pending = nil
}

// Alive implements upstream.Connection.
func (s *Session) Alive() bool { return s.cause == nil && s.link.open() }

// Close implements upstream.Connection.
func (s *Session) Close() {
	if s.cause == nil && !s.open && s.pending == nil {
		return
	}
	if s.cause == nil {
		s.cause = ErrLinkLost
	}
	if s.link.open() {
		_ = s.link.w.Send(frameEnd, s.stream, &empty{})
	}
}
