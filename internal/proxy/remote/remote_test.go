package remote

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/upstream"
)

// fakeServer answers each operation at once, with the operation's request ID as its row.
type fakeServer struct {
	mu sync.Mutex
	// full rejects all work that needs a slot. silent makes the server count as silent.
	full, silent bool
	// behind makes the owner know that the server is at position 1/9.
	behind bool
	// loseAnswer drops the answer to the next statement.
	loseAnswer bool
	// hold, if set, delays statements until it is closed.
	hold     chan struct{}
	entered  int
	reports  uint64
	log      []upstream.OperationKind
	pool     *upstream.Pool
	provedAt time.Time
}

func newFakeServer() *fakeServer {
	s := &fakeServer{}
	s.pool = upstream.NewPool(s, upstream.Target{Address: "address", Service: "service", Server: "s1"}, 8, upstream.NewStats())
	return s
}

// Dial implements upstream.Dialer.
func (s *fakeServer) Dial(context.Context, upstream.Target) (upstream.Connection, position.Position, error) {
	return &fakeConnection{server: s}, position.Position{}, nil
}

func (s *fakeServer) Owned(id string) Server {
	if id != "s1" {
		return nil
	}
	return s
}

func (s *fakeServer) Acquire(principal upstream.Principal, deadline time.Time) (*upstream.Lease, error) {
	return s.pool.Get(principal, deadline)
}

func (s *fakeServer) Behind(minimum position.Position) (position.Position, bool) {
	at := position.Position{Term: 1, Offset: 9}
	return at, s.behind && !at.Covers(minimum)
}

func (s *fakeServer) Silent() bool { return s.silent }

func (s *fakeServer) Enter(admission.Request, time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return false
	}
	s.entered++
	return true
}

func (s *fakeServer) Report() loadreport.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	return loadreport.Report{Sequence: s.reports, Waiting: 7, Limit: 4}
}

func (s *fakeServer) Leave(admission.Class, *upstream.Batch, *upstream.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entered--
}

func (s *fakeServer) Proof() (time.Time, position.Position) {
	return s.provedAt, position.Position{Term: 1, Offset: 7}
}

func (s *fakeServer) kinds() []upstream.OperationKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]upstream.OperationKind(nil), s.log...)
}

// fakeConnection is a connection to a fakeServer.
type fakeConnection struct {
	server     *fakeServer
	queue      []upstream.Result
	open       bool
	answerLost bool
}

func (c *fakeConnection) Send(operations []upstream.Operation, _ time.Time) error {
	for _, operation := range operations {
		c.server.mu.Lock()
		c.server.log = append(c.server.log, operation.Kind)
		loseAnswer, hold := c.server.loseAnswer && operation.Kind.UsesSlot(), c.server.hold
		c.server.mu.Unlock()
		if hold != nil && operation.Kind.UsesSlot() {
			<-hold
		}
		if loseAnswer {
			c.answerLost = true
			return nil
		}
		switch operation.Kind {
		case upstream.Begin, upstream.BeginReadOnly:
			c.open = true
		case upstream.Commit, upstream.Rollback:
			c.open = false
		default:
		}
		result := upstream.Result{Position: position.Position{Term: 1, Offset: 9}}
		if operation.Kind.UsesSlot() {
			result.Rows = [][]byte{[]byte(operation.RequestID)}
			result.Signature = fmt.Sprintf("%s#%d", operation.RequestID, signatures.Add(1))
		}
		if c.open {
			result.State = upstream.InTransaction
		}
		c.queue = append(c.queue, result)
	}
	return nil
}

// signatures counts the signed answers of all fake servers.
var signatures atomic.Uint64

func (c *fakeConnection) Receive(upstream.OperationKind, time.Time) (upstream.Result, error) {
	if len(c.queue) == 0 {
		return upstream.Result{}, net.ErrClosed
	}
	result := c.queue[0]
	c.queue = c.queue[1:]
	return result, nil
}

func (c *fakeConnection) Alive() bool { return !c.answerLost }
func (c *fakeConnection) Close()      {}

type observations struct {
	mu         sync.Mutex
	proofTimes []time.Time
	view       loadreport.View
}

func ignoreReports(string, time.Time, *loadreport.Report) {}

// connect opens a link to an owner of the server, and records the proofs and load reports.
func connect(t testing.TB, server *fakeServer) (*Link, *Owner, *observations) {
	t.Helper()
	owner := NewOwner(server)
	here, there := net.Pipe()
	go owner.Serve(there)
	observed := &observations{}
	link := NewLink(here, func(_ string, at time.Time, _ position.Position) {
		observed.mu.Lock()
		defer observed.mu.Unlock()
		observed.proofTimes = append(observed.proofTimes, at)
	}, func(_ string, sent time.Time, report *loadreport.Report) {
		observed.mu.Lock()
		defer observed.mu.Unlock()
		observed.view.Observe(sent, report)
	})
	t.Cleanup(link.Close)
	return link, owner, observed
}

func lease(link *Link, server string) *upstream.Lease {
	return upstream.NewRemoteLease(link.Session(server, upstream.Own), upstream.NewStats(), func() {})
}

func statement(id string) upstream.Operation {
	return upstream.Operation{Kind: upstream.RunStatement, RequestID: id, Statement: &command.Statement{RequestID: id}}
}

func testDeadline() time.Time { return time.Now().Add(5 * time.Second) }

func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(message)
		}
	}
}

// TestStreamsDoNotMix guards against responses that reach another user of the same link.
func TestStreamsDoNotMix(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		link, _, _ := connect(t, newFakeServer())
		var working sync.WaitGroup
		for user := range 40 {
			working.Go(func() {
				for i := range 20 {
					id := string(rune('a'+user)) + string(rune('a'+i))
					batch := lease(link, "s1").Run([]upstream.Operation{statement(id)}, testDeadline())
					must.NoError(t, batch.Err)
					must.Eq(t, id, string(batch.Last().Rows[0]))
				}
			})
		}
		working.Wait()
	})
}

// TestTransactionKeepsItsConnection guards against a transaction that changes its connection, loses
// its session values, or is left open at the owner.
func TestTransactionKeepsItsConnection(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, owner, _ := connect(t, server)
		l := lease(link, "s1")
		begin := append(l.Adapt(map[string]string{"zone": "a"}, nil), upstream.Operation{Kind: upstream.Begin})
		batch := l.Run(begin, testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.InTransaction, batch.Last().State)
		must.Eq(t, 1, owner.Active())
		must.Len(t, 0, l.Adapt(map[string]string{"zone": "a"}, nil), must.Sprint("the owner keeps values while the transaction is open"))
		batch = l.Run([]upstream.Operation{statement("x"), {Kind: upstream.Commit, RequestID: "x"}}, testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Idle, batch.Last().State)
		must.Eq(t, 0, owner.Active())
		// A connection of the owner adds PREPARE to a BEGIN.
		must.Eq(t, []upstream.OperationKind{
			upstream.SetValue, upstream.Begin, upstream.PrepareStatement, upstream.RunStatement, upstream.Commit,
		}, server.kinds())
		must.Len(t, 1, l.Adapt(map[string]string{"zone": "a"}, nil), must.Sprint("the owner must not keep values between transactions"))
	})
}

// TestOpenTransactionIsRolledBack guards against transactions that stay open after their session or
// link has ended.
func TestOpenTransactionIsRolledBack(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		for _, end := range []func(*Link, *upstream.Lease){
			func(_ *Link, l *upstream.Lease) { l.Discard() },
			func(link *Link, _ *upstream.Lease) { link.Close() },
		} {
			server := newFakeServer()
			link, owner, _ := connect(t, server)
			l := lease(link, "s1")
			must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Begin}}, testDeadline()).Err)
			end(link, l)
			eventually(t, "the transaction stays open", func() bool {
				kinds := server.kinds()
				return kinds[len(kinds)-1] == upstream.Rollback && owner.Active() == 0
			})
		}
	})
}

// TestSessionEndDuringBatch guards against a transaction that stays open because its session ended
// while its batch was running at the owner.
func TestSessionEndDuringBatch(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, owner, _ := connect(t, server)
		server.hold = make(chan struct{})
		l := lease(link, "s1")
		batch := l.Run([]upstream.Operation{{Kind: upstream.Begin}, statement("x")}, time.Now().Add(50*time.Millisecond))
		must.True(t, batch.TimedOut())
		l.Discard()
		close(server.hold)
		eventually(t, "the transaction stays open", func() bool { return owner.Active() == 0 })
		kinds := server.kinds()
		must.Eq(t, upstream.Rollback, kinds[len(kinds)-1])
	})
}

// TestRejectedOperationsAreReported guards against wrong outcomes of operations that did not run
// because of a missing slot or an unknown server, and against rollbacks that wait for a slot.
func TestRejectedOperationsAreReported(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, _, _ := connect(t, server)
		server.full = true
		batch := lease(link, "s1").Run([]upstream.Operation{statement("x")}, testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Busy, batch.Last().Outcome)
		must.SliceEmpty(t, server.kinds())

		reported := false
		unknown := upstream.NewRemoteLease(link.Session("s2", upstream.Own), upstream.NewStats(), func() { reported = true })
		batch = unknown.Run([]upstream.Operation{statement("x")}, testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Unreached, batch.Last().Outcome)
		must.True(t, reported)

		l := lease(link, "s1")
		must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Begin}}, testDeadline()).Err)
		batch = l.Run([]upstream.Operation{statement("x"), {Kind: upstream.Rollback}}, testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Busy, batch.First().Outcome)
		must.Eq(t, upstream.Idle, batch.Last().State, must.Sprint("the rollback needs no slot"))
	})
}

// TestReadBehindMinimumPosition guards against reads that take a connection although the server is
// known to lack their minimum position, and against answers without the server's position.
func TestReadBehindMinimumPosition(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		server.behind = true
		link, _, _ := connect(t, server)
		read := statement("x")
		read.MinimumPosition = position.Position{Term: 1, Offset: 12}
		batch := lease(link, "s1").Run([]upstream.Operation{read}, testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Behind, batch.Last().Outcome)
		must.Eq(t, position.Position{Term: 1, Offset: 9}, batch.Last().Position)
		must.SliceEmpty(t, server.kinds())
		read.MinimumPosition = position.Position{Term: 1, Offset: 8}
		batch = lease(link, "s1").Run([]upstream.Operation{read}, testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Succeeded, batch.Last().Outcome)
	})
}

// TestLostAnswerIsInDoubt guards against a definite result, or a leaked slot, after the server's
// answer to a statement was lost.
func TestLostAnswerIsInDoubt(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, owner, _ := connect(t, server)
		server.loseAnswer = true
		l := lease(link, "s1")
		batch := l.Run([]upstream.Operation{statement("x")}, testDeadline())
		must.ErrorIs(t, batch.Err, ErrInDoubt)
		must.False(t, l.Alive())
		must.Eq(t, 0, owner.Active())
		must.Eq(t, 0, server.entered)
	})
}

// TestProofIsNeverDatedLate guards against a proof dated later than the owner learned it: its age
// has to be subtracted from the time of the request.
func TestProofIsNeverDatedLate(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		server.provedAt = time.Now().Add(-300 * time.Millisecond)
		link, _, observed := connect(t, server)
		must.NoError(t, lease(link, "s1").Run([]upstream.Operation{statement("x")}, testDeadline()).Err)
		must.Len(t, 1, observed.proofTimes)
		must.False(t, observed.proofTimes[0].After(server.provedAt))
	})
}

// TestSilentOwner guards against a link that stays open when the owner reads but sends nothing.
func TestSilentOwner(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := there.Read(buffer); err != nil {
					return
				}
			}
		}()
		link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
		began := time.Now()
		write := statement("x")
		write.Statement.Writes = true
		batch := lease(link, "s1").Run([]upstream.Operation{write}, testDeadline())
		must.ErrorIs(t, batch.Err, ErrLinkLost)
		must.Less(t, 3*time.Second, time.Since(began))
		must.False(t, link.Alive())
	})
}

// TestSuspectOwner guards against new work for an owner that doesn't respond, against canceling its
// pending writes, and against avoiding it once it responds again.
func TestSuspectOwner(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		here, there := net.Pipe()
		ownerConn := servePausable(NewOwner(server), there)
		link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
		t.Cleanup(link.Close)
		ownerConn.paused.Store(true)
		done := make(chan upstream.Batch, 1)
		write := statement("x")
		write.Statement.Writes = true
		go func() { done <- lease(link, "s1").Run([]upstream.Operation{write}, testDeadline()) }()
		began := time.Now()
		eventually(t, "the owner is not suspected", func() bool { return !link.Alive() })
		must.Less(t, silenceTimeout, time.Since(began))
		ownerConn.resume()
		batch := <-done
		must.NoError(t, batch.Err, must.Sprint("a pending write must not be canceled"))
		eventually(t, "the owner stays suspected", link.Alive)
	})
}

// TestReadsLeaveASuspectOwner guards against reads that wait for a suspect owner instead of using
// another one, and against statements of an open transaction that don't wait.
func TestReadsLeaveASuspectOwner(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		here, there := net.Pipe()
		ownerConn := servePausable(NewOwner(server), there)
		link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
		t.Cleanup(link.Close)
		transaction := lease(link, "s1")
		must.NoError(t, transaction.Run([]upstream.Operation{{Kind: upstream.Begin}}, testDeadline()).Err)
		ownerConn.paused.Store(true)
		done := make(chan upstream.Batch, 1)
		go func() { done <- transaction.Run([]upstream.Operation{statement("x")}, testDeadline()) }()
		read := lease(link, "s1").Run([]upstream.Operation{statement("y")}, testDeadline())
		must.ErrorIs(t, read.Err, ErrLinkLost)
		must.False(t, link.Alive())
		select {
		case <-link.lost:
			t.Fatal("the link was lost during the transaction")
		default:
		}
		ownerConn.resume()
		must.NoError(t, (<-done).Err)
	})
}

// TestSuspectOwnerIsWatchedUntilLost guards against a link that stays open when its silent owner
// has no pending requests any more.
func TestSuspectOwnerIsWatchedUntilLost(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		ownerConn := servePausable(NewOwner(newFakeServer()), there)
		ownerConn.paused.Store(true)
		defer ownerConn.resume()
		link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
		batch := lease(link, "s1").Run([]upstream.Operation{statement("x")}, time.Now().Add(suspicionTimeout+2*pingInterval))
		must.ErrorIs(t, batch.Err, ErrLinkLost)
		select {
		case <-link.lost:
		case <-time.After(5 * time.Second):
			t.Fatal("the link stays open")
		}
	})
}

// pausableConn delivers no data while it is paused, and keeps the data received meanwhile, as for a
// stopped process.
type pausableConn struct {
	net.Conn
	paused atomic.Bool
	pieces chan []byte
	rest   []byte
}

// servePausable serves an owner over a connection that can be paused.
func servePausable(owner *Owner, conn net.Conn) *pausableConn {
	c := &pausableConn{Conn: conn, pieces: make(chan []byte, 1000)}
	go func() {
		defer close(c.pieces)
		buffer := make([]byte, 4096)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			c.pieces <- append([]byte(nil), buffer[:n]...)
		}
	}()
	go owner.Serve(c)
	return c
}

func (c *pausableConn) Read(buffer []byte) (int, error) {
	for len(c.rest) == 0 {
		piece, open := <-c.pieces
		if !open {
			return 0, net.ErrClosed
		}
		c.rest = piece
	}
	for c.paused.Load() {
		time.Sleep(time.Millisecond)
	}
	n := copy(buffer, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// resume delivers the data that was kept.
func (c *pausableConn) resume() {
	c.paused.Store(false)
	time.Sleep(10 * time.Millisecond)
}

// TestOwnerThatLeavesGetsNoNewWork guards against new work for an owner that is about to stop, and
// against failures of the work in progress.
func TestOwnerThatLeavesGetsNoNewWork(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, owner, _ := connect(t, server)
		l := lease(link, "s1")
		must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Begin}}, testDeadline()).Err)
		owner.AnnounceLeaving()
		eventually(t, "the link does not learn that the owner leaves", func() bool { return !link.Alive() })
		must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Commit, RequestID: "x"}}, testDeadline()).Err)
	})
}

// TestInvalidFramesAreRejected guards against an owner that crashes or keeps sessions after invalid
// frames.
func TestInvalidFramesAreRejected(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		for _, garbage := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff, 1}, make([]byte, 64), {0, 0, 0, 9, frameRequest, 0, 0, 0, 0, 0, 0, 0, 1}} {
			must.Eq(t, 0, writeToOwner(garbage).Active())
		}
	})
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte{0x95, 0xa1, 's', 0x90, 0x00, 0xc2, 0x94, 0, 0, 0, 0})
	f.Fuzz(func(_ *testing.T, body []byte) {
		frame := append([]byte{0, 0, byte((len(body) + 9) >> 8), byte(len(body) + 9), frameRequest, 0, 0, 0, 0, 0, 0, 0, 1}, body...)
		writeToOwner(frame)
	})
}

// writeToOwner writes bytes to an owner, closes the connection and waits until the owner has ended
// the link.
func writeToOwner(content []byte) *Owner {
	owner := NewOwner(newFakeServer())
	here, there := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		owner.Serve(there)
	}()
	_ = here.SetDeadline(time.Now().Add(time.Second))
	_, _ = here.Write(content)
	_ = here.Close()
	<-served
	return owner
}
