package remote

import (
	"context"
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
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/upstream"
)

// fakeServer is a server that answers each operation at once, with the operation's
// own name as its row.
type fakeServer struct {
	mu sync.Mutex
	// full refuses all that needs a slot, gone all connections.
	full, gone bool
	// behind makes the owner know that the server is at position 1/9.
	behind bool
	// lose makes the next statement's answer get lost.
	lose bool
	// hold, if set, delays statements until it is closed.
	hold    chan struct{}
	entered int
	reports uint64
	log     []upstream.OperationKind
	pool    *upstream.Pool
	proved  time.Time
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

func (s *fakeServer) Lend(principal upstream.Principal, deadline time.Time) (*upstream.Lease, error) {
	return s.pool.Get(principal, deadline)
}

func (s *fakeServer) Behind(floor position.Position) (position.Position, bool) {
	at := position.Position{Term: 1, Offset: 9}
	return at, s.behind && !at.Covers(floor)
}

func (s *fakeServer) Silent() bool { return s.gone }

func (s *fakeServer) Enter(admission.Request, time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return false
	}
	s.entered++
	return true
}

func (s *fakeServer) Report() told.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	return told.Report{Sequence: s.reports, Waiting: 7, Limit: 4}
}

func (s *fakeServer) Leave(admission.Class, *upstream.Batch, *upstream.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entered--
}

func (s *fakeServer) Proof() (time.Time, position.Position) {
	return s.proved, position.Position{Term: 1, Offset: 7}
}

func (s *fakeServer) kinds() []upstream.OperationKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]upstream.OperationKind(nil), s.log...)
}

// fakeConnection is a connection to a fakeServer.
type fakeConnection struct {
	server *fakeServer
	queue  []upstream.Result
	open   bool
	lost   bool
}

func (c *fakeConnection) Send(operations []upstream.Operation, _ time.Time) error {
	for _, operation := range operations {
		c.server.mu.Lock()
		c.server.log = append(c.server.log, operation.Kind)
		lose, hold := c.server.lose && operation.Kind.UsesSlot(), c.server.hold
		c.server.mu.Unlock()
		if hold != nil && operation.Kind.UsesSlot() {
			<-hold
		}
		if lose {
			c.lost = true
			return nil
		}
		switch operation.Kind {
		case upstream.Begin, upstream.BeginReadOnly:
			c.open = true
		case upstream.Commit, upstream.Rollback:
			c.open = false
		default:
		}
		result := upstream.Result{Rows: [][]byte{[]byte(operation.RequestID)}, Position: position.Position{Term: 1, Offset: 9}}
		if c.open {
			result.State = upstream.InTransaction
		}
		c.queue = append(c.queue, result)
	}
	return nil
}

func (c *fakeConnection) Receive(upstream.OperationKind, time.Time) (upstream.Result, error) {
	if len(c.queue) == 0 {
		return upstream.Result{}, net.ErrClosed
	}
	result := c.queue[0]
	c.queue = c.queue[1:]
	return result, nil
}

func (c *fakeConnection) Alive() bool { return !c.lost }
func (c *fakeConnection) Close()      {}

type proofs struct {
	mu   sync.Mutex
	list []time.Time
	view told.View
}

func ignoreReports(string, time.Time, *told.Report) {}

// connect links an asking side to an owner of the server.
func connect(t testing.TB, server *fakeServer) (*Link, *Owner, *proofs) {
	t.Helper()
	owner := NewOwner(server)
	here, there := net.Pipe()
	go owner.Serve(there)
	taken := &proofs{}
	link := NewLink(here, func(_ string, at time.Time, _ position.Position) {
		taken.mu.Lock()
		defer taken.mu.Unlock()
		taken.list = append(taken.list, at)
	}, func(_ string, sent time.Time, report *told.Report) {
		taken.mu.Lock()
		defer taken.mu.Unlock()
		taken.view.Observe(sent, report)
	})
	t.Cleanup(link.Close)
	return link, owner, taken
}

func lease(link *Link, server string) *upstream.Lease {
	return upstream.NewRemoteLease(link.Session(server, upstream.Own), upstream.NewStats(), func() {})
}

func statement(id string) upstream.Operation {
	return upstream.Operation{Kind: upstream.RunStatement, RequestID: id, Statement: &command.Statement{RequestID: id}}
}

func soon() time.Time { return time.Now().Add(5 * time.Second) }

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal(what)
		}
	}
}

// TestStreamsOfALinkNeverMix runs statements of many users over one link; each gets
// the answer to its own.
func TestStreamsOfALinkNeverMix(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		link, _, _ := connect(t, newFakeServer())
		var working sync.WaitGroup
		for user := range 40 {
			working.Go(func() {
				for i := range 20 {
					id := string(rune('a'+user)) + string(rune('a'+i))
					batch := lease(link, "s1").Run([]upstream.Operation{statement(id)}, soon())
					must.NoError(t, batch.Err)
					must.Eq(t, id, string(batch.Last().Rows[0]))
				}
			})
		}
		working.Wait()
	})
}

// TestTransactionKeepsItsConnection runs a transaction through the owner: its
// session values go with it, and nothing is left open.
func TestTransactionKeepsItsConnection(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, owner, _ := connect(t, server)
		l := lease(link, "s1")
		begin := append(l.Adapt(map[string]string{"zone": "a"}, nil), upstream.Operation{Kind: upstream.Begin})
		batch := l.Run(begin, soon())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.InTransaction, batch.Last().State)
		must.Eq(t, 1, owner.Active())
		must.Len(t, 0, l.Adapt(map[string]string{"zone": "a"}, nil), must.Sprint("values stay while the transaction is open"))
		batch = l.Run([]upstream.Operation{statement("x"), {Kind: upstream.Commit, RequestID: "x"}}, soon())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Idle, batch.Last().State)
		must.Eq(t, 0, owner.Active())
		must.Eq(t, []upstream.OperationKind{upstream.SetValue, upstream.Begin, upstream.RunStatement, upstream.Commit}, server.kinds())
		must.Len(t, 1, l.Adapt(map[string]string{"zone": "a"}, nil), must.Sprint("an owner keeps no values between transactions"))
	})
}

// TestWhatIsLeftOpenIsRolledBack ends a transaction's session, then its link.
func TestWhatIsLeftOpenIsRolledBack(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		for _, end := range []func(*Link, *upstream.Lease){
			func(_ *Link, l *upstream.Lease) { l.Discard() },
			func(link *Link, _ *upstream.Lease) { link.Close() },
		} {
			server := newFakeServer()
			link, owner, _ := connect(t, server)
			l := lease(link, "s1")
			must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Begin}}, soon()).Err)
			end(link, l)
			eventually(t, "the transaction stays open", func() bool {
				kinds := server.kinds()
				return kinds[len(kinds)-1] == upstream.Rollback && owner.Active() == 0
			})
		}
	})
}

// TestEndDuringABatch ends a session while its batch runs at the owner: the batch's
// transaction is rolled back once it is over.
func TestEndDuringABatch(t *testing.T) {
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

// TestWhatDidNotRunIsSaidSo: for want of a slot, of the server, of a transaction.
func TestWhatDidNotRunIsSaidSo(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, _, _ := connect(t, server)
		server.full = true
		batch := lease(link, "s1").Run([]upstream.Operation{statement("x")}, soon())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Busy, batch.Last().Outcome)
		must.SliceEmpty(t, server.kinds())

		told := false
		unknown := upstream.NewRemoteLease(link.Session("s2", upstream.Own), upstream.NewStats(), func() { told = true })
		batch = unknown.Run([]upstream.Operation{statement("x")}, soon())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Unreached, batch.Last().Outcome)
		must.True(t, told)

		l := lease(link, "s1")
		must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Begin}}, soon()).Err)
		batch = l.Run([]upstream.Operation{statement("x"), {Kind: upstream.Rollback}}, soon())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Busy, batch.First().Outcome)
		must.Eq(t, upstream.Idle, batch.Last().State, must.Sprint("the rollback needs no slot"))
	})
}

// TestKnownToBeBehind: a read whose floor the server has just been seen to lack does not
// take a connection, and is answered with the server's position.
func TestKnownToBeBehind(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		server.behind = true
		link, _, _ := connect(t, server)
		read := statement("x")
		read.Floor = position.Position{Term: 1, Offset: 12}
		batch := lease(link, "s1").Run([]upstream.Operation{read}, soon())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Behind, batch.Last().Outcome)
		must.Eq(t, position.Position{Term: 1, Offset: 9}, batch.Last().Position)
		must.SliceEmpty(t, server.kinds())
		read.Floor = position.Position{Term: 1, Offset: 8}
		batch = lease(link, "s1").Run([]upstream.Operation{read}, soon())
		must.NoError(t, batch.Err)
		must.Eq(t, upstream.Succeeded, batch.Last().Outcome)
	})
}

// TestLostAnswerLeavesDoubt: the server's answer to a statement does not come.
func TestLostAnswerLeavesDoubt(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, owner, _ := connect(t, server)
		server.lose = true
		l := lease(link, "s1")
		batch := l.Run([]upstream.Operation{statement("x")}, soon())
		must.ErrorIs(t, batch.Err, ErrInDoubt)
		must.False(t, l.Alive())
		must.Eq(t, 0, owner.Active())
		must.Eq(t, 0, server.entered)
	})
}

// TestProofIsNeverDatedLate: what an owner knew some time ago is dated before the
// question by at least that time.
func TestProofIsNeverDatedLate(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		server.proved = time.Now().Add(-300 * time.Millisecond)
		link, _, taken := connect(t, server)
		must.NoError(t, lease(link, "s1").Run([]upstream.Operation{statement("x")}, soon()).Err)
		must.Len(t, 1, taken.list)
		must.False(t, taken.list[0].After(server.proved))
	})
}

// TestSilentOwner ends a link whose other side reads and says nothing.
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
		batch := lease(link, "s1").Run([]upstream.Operation{write}, soon())
		must.ErrorIs(t, batch.Err, ErrLinkLost)
		must.Less(t, 3*time.Second, time.Since(began))
		must.False(t, link.Alive())
	})
}

// TestSuspectOwner: an owner that stands still for a moment gets no new work, and
// gets some again once it answers.
func TestSuspectOwner(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		here, there := net.Pipe()
		stopped := serveStopped(NewOwner(server), there)
		link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
		t.Cleanup(link.Close)
		stopped.still.Store(true)
		done := make(chan upstream.Batch, 1)
		write := statement("x")
		write.Statement.Writes = true
		go func() { done <- lease(link, "s1").Run([]upstream.Operation{write}, soon()) }()
		began := time.Now()
		eventually(t, "the owner is not suspected", func() bool { return !link.Alive() })
		must.Less(t, silenceLimit, time.Since(began))
		stopped.resume()
		batch := <-done
		must.NoError(t, batch.Err, must.Sprint("a write under way is not given up"))
		eventually(t, "the owner stays suspected", link.Alive)
	})
}

// TestReadsLeaveASuspectOwner: another owner can answer them; a statement of an open
// transaction waits for its own.
func TestReadsLeaveASuspectOwner(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		here, there := net.Pipe()
		stopped := serveStopped(NewOwner(server), there)
		link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
		t.Cleanup(link.Close)
		transaction := lease(link, "s1")
		must.NoError(t, transaction.Run([]upstream.Operation{{Kind: upstream.Begin}}, soon()).Err)
		stopped.still.Store(true)
		done := make(chan upstream.Batch, 1)
		go func() { done <- transaction.Run([]upstream.Operation{statement("x")}, soon()) }()
		read := lease(link, "s1").Run([]upstream.Operation{statement("y")}, soon())
		must.ErrorIs(t, read.Err, ErrLinkLost)
		must.False(t, link.Alive())
		select {
		case <-link.lost:
			t.Fatal("the link is lost with the transaction")
		default:
		}
		stopped.resume()
		must.NoError(t, (<-done).Err)
	})
}

// TestSuspectOwnerIsWatchedToTheEnd: nobody waits for the owner any longer, and it
// stays silent.
func TestSuspectOwnerIsWatchedToTheEnd(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		stopped := serveStopped(NewOwner(newFakeServer()), there)
		stopped.still.Store(true)
		defer stopped.resume()
		link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
		batch := lease(link, "s1").Run([]upstream.Operation{statement("x")}, time.Now().Add(suspicionLimit+2*pingInterval))
		must.ErrorIs(t, batch.Err, ErrLinkLost)
		select {
		case <-link.lost:
		case <-time.After(5 * time.Second):
			t.Fatal("the link stays open")
		}
	})
}

// stoppedConn passes nothing in while it stands still. What is sent to it meanwhile is
// kept, as a process that stands still is sent to.
type stoppedConn struct {
	net.Conn
	still  atomic.Bool
	pieces chan []byte
	rest   []byte
}

// serveStopped serves an owner over a connection that can stand still.
func serveStopped(owner *Owner, conn net.Conn) *stoppedConn {
	c := &stoppedConn{Conn: conn, pieces: make(chan []byte, 1000)}
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

func (c *stoppedConn) Read(buffer []byte) (int, error) {
	for len(c.rest) == 0 {
		piece, open := <-c.pieces
		if !open {
			return 0, net.ErrClosed
		}
		c.rest = piece
	}
	for c.still.Load() {
		time.Sleep(time.Millisecond)
	}
	n := copy(buffer, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// resume lets what was sent in.
func (c *stoppedConn) resume() {
	c.still.Store(false)
	time.Sleep(10 * time.Millisecond)
}

// TestOwnerThatLeavesGetsNoNewWork and finishes what is under way.
func TestOwnerThatLeavesGetsNoNewWork(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, owner, _ := connect(t, server)
		l := lease(link, "s1")
		must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Begin}}, soon()).Err)
		owner.Leave()
		eventually(t, "the link does not learn of it", func() bool { return !link.Alive() })
		must.NoError(t, l.Run([]upstream.Operation{{Kind: upstream.Commit, RequestID: "x"}}, soon()).Err)
	})
}

// TestMeaninglessFramesHarmNobody sends garbage to an owner.
func TestMeaninglessFramesHarmNobody(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		for _, garbage := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff, 1}, make([]byte, 64), {0, 0, 0, 9, frameRun, 0, 0, 0, 0, 0, 0, 0, 1}} {
			must.Eq(t, 0, writeToOwner(garbage).Active())
		}
	})
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte{0x95, 0xa1, 's', 0x90, 0x00, 0xc2, 0x94, 0, 0, 0, 0})
	f.Fuzz(func(_ *testing.T, body []byte) {
		frame := append([]byte{0, 0, byte((len(body) + 9) >> 8), byte(len(body) + 9), frameRun, 0, 0, 0, 0, 0, 0, 0, 1}, body...)
		writeToOwner(frame)
	})
}

// writeToOwner writes bytes to an owner and closes the connection.
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
