package upstream

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/position"
	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/proxy/command"
)

// pickyServer is a server that refuses some texts of session values and shapes.
type pickyServer struct {
	// refuses returns the outcome of an operation that sets up a connection.
	refuses func(operation *Operation) Outcome
	// ran is called for each statement that runs, with the connection's state.
	ran func(operation *Operation, values map[string]string, prepared map[string]command.PreparedStatement)
	// committed is called for each COMMIT that runs.
	committed func()
	// largest is the largest number of statements prepared on a connection.
	largest     int
	signatures  int
	connections int
}

func (s *pickyServer) Dial(context.Context, Target) (Connection, position.Position, error) {
	s.connections++
	return &pickyConnection{server: s, values: map[string]string{}, prepared: map[string]command.PreparedStatement{}}, position.Position{}, nil
}

type pickyConnection struct {
	server   *pickyServer
	values   map[string]string
	prepared map[string]command.PreparedStatement
	state    TransactionState
	queue    []Result
}

func (c *pickyConnection) Send(operations []Operation, _ time.Time) error {
	for i := range operations {
		c.queue = append(c.queue, c.run(&operations[i]))
	}
	return nil
}

func (c *pickyConnection) run(operation *Operation) Result {
	result := Result{Outcome: Succeeded}
	switch operation.Kind {
	case ResetSession, SetValue, PrepareStatement:
		if operation.Kind == ResetSession && c.state != Idle {
			panic("a connection is reset inside a transaction")
		}
		if result.Outcome = c.server.refuses(operation); result.Outcome != Succeeded {
			break
		}
		c.setUp(operation)
	case Begin, BeginReadOnly:
		c.state = InTransaction
	case Rollback:
		c.state = Idle
	case Commit:
		c.server.committed()
		c.state = Idle
		c.server.signatures++
		result.Signature = fmt.Sprint(c.server.signatures)
	case RunStatement:
		c.server.ran(operation, c.values, c.prepared)
		c.server.signatures++
		result.Signature = fmt.Sprint(c.server.signatures)
	default:
	}
	result.State = c.state
	return result
}

func (c *pickyConnection) setUp(operation *Operation) {
	switch operation.Kind {
	case ResetSession:
		clear(c.values)
		clear(c.prepared)
	case SetValue:
		c.values[operation.Name] = operation.Value
	default:
		c.prepared[operation.Name] = operation.Definition
		c.server.largest = max(c.server.largest, len(c.prepared))
	}
}

func (c *pickyConnection) Receive(OperationKind, time.Time) (Result, error) {
	result := c.queue[0]
	c.queue = c.queue[1:]
	return result, nil
}

func (c *pickyConnection) Alive() bool { return true }

func (c *pickyConnection) Close() {}

// TestRefusedSetupRunsNoStatement: if a server refuses a session value, a prepared statement or a
// reset, the statement that needs it must not run with other values or under an unknown name.
func TestRefusedSetupRunsNoStatement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refused := rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.SampledFrom([]Outcome{Rejected, Failed, Busy})).Draw(t, "refused")
		var values map[string]string
		var statement *command.Statement
		ran := 0
		server := &pickyServer{}
		server.refuses = func(operation *Operation) Outcome { return refused[operation.Value+operation.Definition.Shape] }
		server.ran = func(_ *Operation, present map[string]string, prepared map[string]command.PreparedStatement) {
			ran++
			must.MapEq(t, values, present)
			if statement.Prepared {
				must.Eq(t, statement.Definition, prepared[ServerName(statement.Definition)])
			}
		}
		pool := NewPool(server, Target{}, 1, NewStats())
		text := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		for i := range rapid.IntRange(1, 10).Draw(t, "requests") {
			lease, err := pool.Get(Own, time.Now().Add(time.Second))
			must.NoError(t, err)
			values = rapid.MapOfN(rapid.SampledFrom([]string{"x", "y"}), text, 0, 2).Draw(t, "values")
			statement = &command.Statement{RequestID: fmt.Sprint(i), Prepared: rapid.Bool().Draw(t, "prepared")}
			if statement.Prepared {
				statement.Definition.Shape = text.Draw(t, "shape")
			}
			run := Operation{Kind: RunStatement, RequestID: statement.RequestID, Statement: statement}
			before, expected := ran, 0
			var batch Batch
			if rapid.Bool().Draw(t, "in a transaction") {
				batch = lease.Run(append(lease.Adapt(values, nil), Operation{Kind: Begin}), time.Now().Add(time.Second))
				if batch.Err == nil && batch.Last().Outcome == Succeeded {
					batch = lease.Run(append(lease.Adapt(values, statement), run), time.Now().Add(time.Second))
				}
			} else {
				batch = lease.Run(append(lease.Adapt(values, statement), run), time.Now().Add(time.Second))
			}
			must.NoError(t, batch.Err)
			if batch.Last().Outcome == Succeeded {
				expected = 1
			}
			must.Eq(t, expected, ran-before)
			if batch.Last().State == InTransaction {
				lease.RollBack()
			} else {
				lease.Settle(batch.Last())
			}
		}
	})
}

// TestRefusalOfAnAcceptedTextIsNotHidden: if a server refuses what it accepted before, the outcome of
// a statement sent with it must be unknown, and the next one must not be sent before the answer.
func TestRefusalOfAnAcceptedTextIsNotHidden(t *testing.T) {
	refuses := false
	server := &pickyServer{refuses: func(*Operation) Outcome {
		if refuses {
			return Busy
		}
		return Succeeded
	}}
	ran := 0
	server.ran = func(*Operation, map[string]string, map[string]command.PreparedStatement) { ran++ }
	pool := NewPool(server, Target{}, 1, NewStats())
	run := func(value string) Batch {
		lease, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		operations := append(lease.Adapt(map[string]string{"v": value}, nil), Operation{Kind: RunStatement, Statement: &command.Statement{}})
		batch := lease.Run(operations, time.Now().Add(time.Second))
		if batch.Err != nil {
			lease.Discard()
		} else {
			lease.Settle(batch.Last())
		}
		return batch
	}
	for _, value := range []string{"a", "b", "a"} {
		must.NoError(t, run(value).Err)
	}
	refuses = true
	var setup *SetupError
	must.True(t, errors.As(run("b").Err, &setup))
	must.Eq(t, 4, ran)
	batch := run("b")
	must.NoError(t, batch.Err)
	must.Eq(t, Busy, batch.Last().Outcome)
	must.Eq(t, 4, ran)
}

// TestRefusedValueRunsNoCommit: if a server refuses a session value that was set in a transaction, its
// COMMIT must not run with another one.
func TestRefusedValueRunsNoCommit(t *testing.T) {
	server := &pickyServer{refuses: func(operation *Operation) Outcome {
		if operation.Value == "refused" {
			return Rejected
		}
		return Succeeded
	}}
	committed := 0
	server.committed = func() { committed++ }
	lease, err := NewPool(server, Target{}, 1, NewStats()).Get(Own, time.Now().Add(time.Second))
	must.NoError(t, err)
	must.NoError(t, lease.Run([]Operation{{Kind: Begin}}, time.Now().Add(time.Second)).Err)
	operations := append(lease.Adapt(map[string]string{"v": "refused"}, nil), Operation{Kind: Commit, RequestID: "c"})
	batch := lease.Run(operations, time.Now().Add(time.Second))
	must.NoError(t, batch.Err)
	must.Eq(t, Rejected, batch.Last().Outcome)
	must.Eq(t, 0, committed)
}

// TestPreparedStatementsAreBounded: callers that prepare without end must not fill a server's
// connection, and a transaction must keep its statements.
func TestPreparedStatementsAreBounded(t *testing.T) {
	server := &pickyServer{refuses: func(*Operation) Outcome { return Succeeded }}
	values := map[string]string{"v": "1"}
	server.ran = func(operation *Operation, present map[string]string, prepared map[string]command.PreparedStatement) {
		must.True(t, maps.Equal(values, present))
		must.Eq(t, operation.Statement.Definition, prepared[ServerName(operation.Statement.Definition)])
	}
	pool := NewPool(server, Target{}, 1, NewStats())
	shapes := 0
	next := func() (*command.Statement, Operation) {
		shapes++
		statement := &command.Statement{Prepared: true, Definition: command.PreparedStatement{Shape: fmt.Sprint(shapes)}}
		return statement, Operation{Kind: RunStatement, Statement: statement}
	}
	for range 3 * maxPrepared {
		lease, err := pool.Get(Own, time.Now().Add(time.Second))
		must.NoError(t, err)
		statement, run := next()
		must.NoError(t, lease.Run(append(lease.Adapt(values, statement), Operation{Kind: Begin}), time.Now().Add(time.Second)).Err)
		for range 2 {
			must.NoError(t, lease.Run(append(lease.Adapt(values, statement), run), time.Now().Add(time.Second)).Err)
			statement, run = next()
		}
		lease.RollBack()
	}
	must.LessEq(t, maxPrepared+2, server.largest)
	// A connection is closed after maxSignatures statements.
	must.Eq(t, (server.signatures+maxSignatures-1)/maxSignatures, server.connections)
}
