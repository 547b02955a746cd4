package upstream

import (
	"context"
	"errors"
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

// repeatingServer is a server that sends answers a second time, later, on the same connection.
type repeatingServer struct {
	// repeats draws the index of the earlier answer that is sent again before the next one, or -1.
	repeats func(earlier int) int
	// interrupts reports whether a copy is sent in the middle of the next answer.
	interrupts func() bool
	// refuses reports whether a statement is answered with Busy, and does not run.
	refuses func() bool
	// signsAlike makes all runs of a request have the same signature.
	signsAlike bool
	offset     uint64
	signed     int
	// ran counts how often each request ran.
	ran         map[string]int
	connections int
}

func (s *repeatingServer) Dial(context.Context, Target) (Connection, position.Position, error) {
	s.connections++
	return &repeatingConnection{server: s}, position.Position{}, nil
}

type repeatingConnection struct {
	server *repeatingServer
	given  []Result
	queue  []Result
	state  TransactionState
}

func (c *repeatingConnection) Send(operations []Operation, _ time.Time) error {
	for i := range operations {
		c.queue = append(c.queue, c.run(&operations[i]))
	}
	return nil
}

func (c *repeatingConnection) run(operation *Operation) Result {
	s := c.server
	s.offset++
	result := Result{Position: position.Position{Term: 1, Offset: s.offset}}
	switch operation.Kind {
	case Begin, BeginReadOnly:
		if operation.Kind == Begin && s.refuses() {
			result.Outcome = NotPrimary
			break
		}
		c.state = InTransaction
	case Rollback:
		c.state = Idle
	case RunStatement, Commit:
		if s.refuses() {
			result.Outcome = Busy
			break
		}
		if operation.Kind == Commit {
			c.state = Idle
		}
		s.ran[operation.RequestID]++
		s.signed++
		result.Signature = fmt.Sprintf("%s#%d", operation.RequestID, s.signed)
		if s.signsAlike {
			result.Signature = operation.RequestID
		}
		result.Rows = [][]byte{[]byte(operation.RequestID)}
	case ReportStatus:
		result.Status = &Status{Received: result.Position}
		result.Rows = [][]byte{[]byte("status")}
	default:
	}
	result.State = c.state
	return result
}

func (c *repeatingConnection) Receive(OperationKind, time.Time) (Result, error) {
	if again := c.server.repeats(len(c.given)); again >= 0 {
		repeated := c.given[again]
		if len(c.queue) > 0 && len(c.queue[0].Rows) > 0 && c.server.interrupts() {
			// The copy is sent between the rows and the end of the next answer.
			repeated.Rows = append(slices.Clone(c.queue[0].Rows), repeated.Rows...)
			c.queue[0].Rows = nil
		}
		return repeated, nil
	}
	if len(c.queue) == 0 {
		return Result{}, os.ErrDeadlineExceeded
	}
	result := c.queue[0]
	c.queue = c.queue[1:]
	c.given = append(c.given, result)
	return result, nil
}

func (c *repeatingConnection) Alive() bool { return true }

func (c *repeatingConnection) Close() {}

func newRepeatingServer(t *rapid.T) *repeatingServer {
	return &repeatingServer{
		repeats: func(earlier int) int {
			if earlier == 0 || rapid.IntRange(0, 3).Draw(t, "repeats") > 0 {
				return -1
			}
			return rapid.IntRange(max(0, earlier-8), earlier-1).Draw(t, "earlier answer")
		},
		interrupts: func() bool { return rapid.IntRange(0, 3).Draw(t, "interrupts") == 0 },
		refuses:    func() bool { return rapid.IntRange(0, 4).Draw(t, "refuses") == 0 },
		ran:        map[string]int{},
	}
}

// checkAnswer checks the answer to a request that is sent once.
func checkAnswer(t *rapid.T, server *repeatingServer, id string, result *Result) {
	switch {
	case result.Outcome == Succeeded:
		must.Eq(t, 1, server.ran[id], must.Sprintf("request %s", id))
		must.StrHasPrefix(t, id+"#", result.Signature)
		must.Eq(t, [][]byte{[]byte(id)}, result.Rows)
	case result.Outcome.NotRun():
		must.Eq(t, 0, server.ran[id], must.Sprintf("request %s was answered with %s", id, result.Outcome))
	}
}

// TestRepeatedAnswerIsNotTakenForTheNext: a server that sends an answer again later must not cause
// a request to be answered with the rows, the signature or the refusal of an earlier one.
func TestRepeatedAnswerIsNotTakenForTheNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := newRepeatingServer(t)
		pool := NewPool(server, Target{}, 1, NewStats())
		for i := range rapid.IntRange(2, 12).Draw(t, "requests") {
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			id := fmt.Sprintf("r%d", i)
			statement := &command.Statement{RequestID: id}
			values := map[string]string{}
			if rapid.Bool().Draw(t, "has a value") {
				values["v"] = id
			}
			run := Operation{Kind: RunStatement, RequestID: id, Statement: statement}
			inTransaction := rapid.Bool().Draw(t, "in a transaction")
			operations := lease.Adapt(values, statement)
			if inTransaction {
				operations = append(operations, Operation{Kind: Begin}, run, Operation{Kind: Rollback})
			} else {
				operations = append(operations, run)
			}
			batch := lease.Run(operations, time.Now().Add(time.Second))
			if batch.Err != nil {
				lease.Discard()
				continue
			}
			last := batch.Last()
			if inTransaction {
				checkAnswer(t, server, id, &batch.Results[len(batch.Results)-2])
			} else {
				checkAnswer(t, server, id, last)
			}
			lease.Settle(last)
		}
	})
}

// TestRepeatedAnswerProvesNothing: an answer to an earlier status request or BEGIN must not be taken
// for a later one, which would show an old position as the current one.
func TestRepeatedAnswerProvesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := newRepeatingServer(t)
		// At most one answer is repeated for each request.
		repeats, left := server.repeats, 0
		server.repeats = func(earlier int) int {
			if left == 0 {
				return -1
			}
			again := repeats(earlier)
			if again >= 0 {
				left--
			}
			return again
		}
		pool := NewPool(server, Target{}, 1, NewStats())
		for range rapid.IntRange(2, 10).Draw(t, "requests") {
			left = 1
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			operations := []Operation{{Kind: ReportStatus}}
			if rapid.Bool().Draw(t, "begins") {
				operations = []Operation{{Kind: Begin}, {Kind: Rollback}}
			}
			before := server.offset
			batch := lease.Run(operations, time.Now().Add(time.Second))
			if batch.Err != nil {
				lease.Discard()
				continue
			}
			must.Greater(t, before, batch.First().Position.Offset)
			lease.Settle(batch.Last())
		}
	})
}

// TestRefusedTransactionIsNotOpen: an answer to an earlier BEGIN must not hide that a server has
// refused a transaction, whose statements would run outside of one.
func TestRefusedTransactionIsNotOpen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := newRepeatingServer(t)
		pool := NewPool(server, Target{}, 1, NewStats())
		for range rapid.IntRange(2, 10).Draw(t, "requests") {
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			batch := lease.Run([]Operation{{Kind: Begin}}, time.Now().Add(time.Second))
			if batch.Err != nil {
				lease.Discard()
				continue
			}
			if batch.Last().Outcome == Succeeded {
				must.Eq(t, InTransaction, lease.Connection.(*repeatingConnection).state)
				lease.RollBack()
				continue
			}
			lease.Settle(batch.Last())
		}
	})
}

// TestStatementIsAnsweredBehindCopies: copies of unsigned answers must not leave the outcome of a
// write unknown whose answer follows them.
func TestStatementIsAnsweredBehindCopies(t *testing.T) {
	repeats := []int{}
	server := &repeatingServer{
		repeats: func(int) int {
			if len(repeats) == 0 {
				return -1
			}
			again := repeats[0]
			repeats = repeats[1:]
			return again
		},
		refuses:    func() bool { return false },
		interrupts: func() bool { return false },
		ran:        map[string]int{},
	}
	pool := NewPool(server, Target{}, 1, NewStats())
	lease, err := pool.Get(Own, time.Now().Add(time.Second))
	must.NoError(t, err)
	batch := lease.Run([]Operation{{Kind: Begin}, {Kind: Rollback}, {Kind: ResetSession}}, time.Now().Add(time.Second))
	must.NoError(t, batch.Err)
	repeats = []int{2, 0, 1}
	batch = lease.Run([]Operation{{Kind: SetValue}, {Kind: RunStatement, RequestID: "w"}}, time.Now().Add(time.Second))
	must.NoError(t, batch.Err)
	must.Eq(t, "w#1", batch.Last().Signature)
}

// TestRetriedRequestIsNotAwaited: if a server gives two answers to a retried request the same
// signature, the second one must not be dropped as a copy, so that the request waits for its deadline.
func TestRetriedRequestIsNotAwaited(t *testing.T) {
	server := &repeatingServer{
		repeats: func(int) int { return -1 }, refuses: func() bool { return false }, interrupts: func() bool { return false },
		ran: map[string]int{}, signsAlike: true,
	}
	lease, err := NewPool(server, Target{}, 1, NewStats()).Get(Own, time.Now().Add(time.Second))
	must.NoError(t, err)
	read := []Operation{{Kind: RunStatement, RequestID: "r"}}
	must.NoError(t, lease.Run(read, time.Now().Add(time.Second)).Err)
	var mismatch *MismatchError
	must.True(t, errors.As(lease.Run(read, time.Now().Add(time.Second)).Err, &mismatch))
}
