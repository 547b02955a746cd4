package upstream

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/position"
	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/proxy/command"
)

// idleServer is a server whose position moves only when a test moves it, and that sends one earlier
// answer again when a test asks for it.
type idleServer struct {
	primary bool
	offset  uint64
	// accepted counts the transactions that the server accepted.
	accepted int
	// repeat is the index of the earlier answer that is sent again after a number of answers; -1
	// for none.
	repeat int
	after  int
	// refuses, if set, reports whether the server answers an operation with an error.
	refuses func(kind OperationKind) bool
	signed  int
	dials   int
}

func (s *idleServer) position() position.Position {
	return position.Position{Term: 1, Offset: s.offset}
}

func (s *idleServer) Dial(context.Context, Target) (Connection, position.Position, error) {
	s.dials++
	return &idleServerConnection{server: s}, s.position(), nil
}

type idleServerConnection struct {
	server *idleServer
	given  []Result
	queue  []Result
	state  TransactionState
}

func (c *idleServerConnection) Send(operations []Operation, _ time.Time) error {
	for i := range operations {
		c.queue = append(c.queue, c.run(&operations[i]))
	}
	return nil
}

func (c *idleServerConnection) run(operation *Operation) Result {
	s := c.server
	result := Result{Position: s.position()}
	switch {
	case s.refuses != nil && s.refuses(operation.Kind):
		result.Outcome = Rejected
	case operation.Kind == Begin && !s.primary:
		result.Outcome = NotPrimary
	case operation.Kind == Begin:
		s.accepted++
		c.state = InTransaction
	case operation.Kind == BeginReadOnly:
		c.state = InTransaction
	case operation.Kind == Rollback:
		c.state = Idle
	case operation.Kind.ReportsStatus():
		result.Status = &Status{Received: result.Position}
	case operation.Kind.UsesSlot():
		if operation.Kind == Commit {
			c.state = Idle
		}
		s.signed++
		result.Signature = fmt.Sprintf("s%d", s.signed)
		result.Rows = [][]byte{[]byte(operation.RequestID)}
	}
	result.State = c.state
	return result
}

func (c *idleServerConnection) Receive(OperationKind, time.Time) (Result, error) {
	s := c.server
	if s.repeat >= 0 && s.repeat < len(c.given) {
		if s.after == 0 {
			again := c.given[s.repeat]
			s.repeat = -1
			return again, nil
		}
		s.after--
	}
	if len(c.queue) == 0 {
		return Result{}, os.ErrDeadlineExceeded
	}
	result := c.queue[0]
	c.queue = slices.Delete(c.queue, 0, 1)
	c.given = append(c.given, result)
	return result, nil
}

func (c *idleServerConnection) Alive() bool { return true }

func (c *idleServerConnection) Close() {}

// TestRefusedProbeIsNoProof: one copy of an answer to an earlier probe must not make a server that
// has lost the lead, or whose position has moved, prove to be the primary at an old position.
func TestRefusedProbeIsNoProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := &idleServer{offset: 1, repeat: -1}
		pool := NewPool(server, Target{}, 1, NewStats())
		for range rapid.IntRange(2, 10).Draw(t, "probes") {
			server.primary = rapid.Bool().Draw(t, "primary")
			server.offset += rapid.Uint64Range(0, 1).Draw(t, "commits")
			server.repeat = rapid.IntRange(-1, 30).Draw(t, "copy of the answer")
			server.after = rapid.IntRange(0, 5).Draw(t, "answers before the copy")
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			accepted, at := server.accepted, server.position()
			// Through an owner, a probe may have to change the connection's session first.
			operations := []Operation{{Kind: ResetSession}, {Kind: Begin}, {Kind: Rollback}}[rapid.IntRange(0, 1).Draw(t, "without a reset"):]
			batch := lease.Run(operations, time.Now().Add(time.Second))
			if batch.Err != nil {
				lease.Discard()
				continue
			}
			must.SliceLen(t, len(operations), batch.Results)
			if begin := batch.Results[len(operations)-2]; begin.Outcome == Succeeded {
				must.Eq(t, accepted+1, server.accepted, must.Sprint("the server refused the transaction"))
				must.False(t, begin.Position.Less(at))
			}
			lease.Settle(batch.Last())
		}
	})
}

// TestOldCopyIsNotTakenForTheNext: a copy must not be taken for the answer to the next request
// however many requests the connection has answered since.
func TestOldCopyIsNotTakenForTheNext(t *testing.T) {
	server := &idleServer{repeat: -1}
	pool := NewPool(server, Target{}, 1, NewStats())
	run := func(id string) Batch {
		lease, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		batch := lease.Run([]Operation{{Kind: RunStatement, RequestID: id, Statement: &command.Statement{RequestID: id}}}, time.Now().Add(time.Second))
		if batch.Err != nil {
			lease.Discard()
		} else {
			lease.Settle(batch.Last())
		}
		return batch
	}
	for i := range 3 * maxSignatures {
		run(fmt.Sprintf("r%d", i))
	}
	server.repeat = 0
	batch := run("last")
	must.NoError(t, batch.Err)
	must.Eq(t, [][]byte{[]byte("last")}, batch.Last().Rows)
}

// TestStatementBehindARefusedValueHasNoResult: a statement behind a refused SET, PREPARE or RESET must
// not be reported as if it had run with the session's values.
func TestStatementBehindARefusedValueHasNoResult(t *testing.T) {
	for _, refused := range []OperationKind{ResetSession, SetValue, PrepareStatement} {
		refuses := false
		server := &idleServer{repeat: -1, refuses: func(kind OperationKind) bool { return refuses && kind == refused }}
		pool := NewPool(server, Target{}, 1, NewStats())
		run := func() Batch {
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			defer lease.Discard()
			return lease.Run([]Operation{
				{Kind: refused, Name: "v"},
				{Kind: RunStatement, RequestID: "r", Statement: &command.Statement{RequestID: "r"}},
			}, time.Now().Add(time.Second))
		}
		refuses = true
		batch := run()
		must.NoError(t, batch.Err)
		must.Eq(t, Rejected, batch.Last().Outcome, must.Sprintf("operation %d was refused at first", refused))
		must.Eq(t, 0, server.signed)
		refuses = false
		batch = run()
		must.Eq(t, Succeeded, batch.Last().Outcome)
		refuses = true
		must.Error(t, run().Err, must.Sprintf("operation %d was refused later", refused))
	}
}

// TestRefusalIsNotHiddenByAnEarlierBegin: one copy of the answer to an earlier BEGIN must not hide that
// a server whose position has not moved has refused a transaction, so that its statements run outside of one.
func TestRefusalIsNotHiddenByAnEarlierBegin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := &idleServer{offset: 1, repeat: -1}
		pool := NewPool(server, Target{}, 1, NewStats())
		for range rapid.IntRange(2, 10).Draw(t, "transactions") {
			server.primary = rapid.Bool().Draw(t, "primary")
			server.repeat = rapid.IntRange(-1, 30).Draw(t, "copy of the answer")
			server.after = rapid.IntRange(0, 5).Draw(t, "answers before the copy")
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			batch := lease.Run([]Operation{{Kind: Begin}}, time.Now().Add(time.Second))
			if batch.Err != nil {
				lease.Discard()
				continue
			}
			must.SliceLen(t, 1, batch.Results)
			if batch.Last().Outcome == Succeeded {
				must.Eq(t, InTransaction, lease.Connection.(*idleServerConnection).state)
			}
			server.repeat = -1
			lease.RollBack()
		}
	})
}

// TestRepeatedErrorIsNotTakenForTheRetry: a copy of a statement's refusal must not be taken for the answer
// to a retry that runs, but a server that refuses it again must be believed.
func TestRepeatedErrorIsNotTakenForTheRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refused, repeated := false, false
		server := &idleServer{offset: 1, primary: true, repeat: -1, refuses: func(kind OperationKind) bool { return refused && kind.UsesSlot() }}
		lease, err := NewPool(server, Target{}, 1, NewStats()).Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		must.NoError(t, runOne(lease, Operation{Kind: Begin}).Err)
		for i := range rapid.IntRange(1, 6).Draw(t, "attempts") {
			refused = rapid.IntRange(0, 3).Draw(t, "runs") > 0
			server.repeat = rapid.IntRange(-1, 12).Draw(t, "copy of the answer")
			server.after = rapid.IntRange(0, 2).Draw(t, "answers before the copy")
			repeated = repeated || server.repeat >= 0
			ran := server.signed
			id := fmt.Sprintf("r%d", i)
			batch := runOne(lease, Operation{Kind: RunStatement, RequestID: id, Statement: &command.Statement{RequestID: id}})
			if batch.Err != nil {
				must.True(t, repeated, must.Sprintf("no answer was repeated: %v", batch.Err))
				return
			}
			must.Eq(t, batch.Last().Outcome == Succeeded, server.signed > ran)
			if batch.Last().Outcome == Succeeded {
				must.Eq(t, [][]byte{[]byte(id)}, batch.Last().Rows)
			}
		}
	})
}

func runOne(lease *Lease, operation Operation) Batch {
	return lease.Run([]Operation{operation}, time.Now().Add(time.Second))
}

// TestStatusOfARolledBackReplicaIsReceived: a replica that was ahead of a new primary is rolled back. Its
// status must reach the next survey of the replicas although its position is lower than before.
func TestStatusOfARolledBackReplicaIsReceived(t *testing.T) {
	for _, kind := range []OperationKind{ReportStatus, HoldReplication, StepDown, ResumeReplication} {
		server := &idleServer{offset: 9, repeat: -1}
		pool := NewPool(server, Target{}, 1, NewStats())
		lease, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		lease.Return()
		server.offset = 7
		lease, err = pool.Reserve(time.Now().Add(time.Second))
		must.NoError(t, err)
		must.NoError(t, runOne(lease, Operation{Kind: kind}).Err, must.Sprintf("operation %d", kind))
	}
}

// TestRepeatedReadyHidesNoCommit: a copy of the end of an earlier answer in the middle of that to a
// write or COMMIT must not give it a position before the commit, so that the session's next read may
// miss it.
func TestRepeatedReadyHidesNoCommit(t *testing.T) {
	write := Operation{Kind: RunStatement, RequestID: "w", Statement: &command.Statement{RequestID: "w", Writes: true}}
	for _, operations := range [][]Operation{{write}, {{Kind: Begin}, write, {Kind: Commit, RequestID: "c"}}} {
		for _, copied := range []bool{false, true} {
			server := &idleServer{primary: true, offset: 7, repeat: -1}
			lease, err := NewPool(server, Target{}, 1, NewStats()).Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			for _, operation := range operations {
				if operation.Kind != Begin && operation.RequestID == operations[len(operations)-1].RequestID && !copied {
					server.offset++
				}
				err = lease.Run([]Operation{operation}, time.Now().Add(time.Second)).Err
			}
			must.Eq(t, copied, err != nil)
		}
	}
}
