// Package load runs the example workloads against real nodes and records a history for package
// check.
//
// Every session moves between nodes from one request to the next. Each write stores the ID of its
// operation and each answer carries the ID of its request, so that lost, repeated and confused
// requests can be detected.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"dewknot/internal/lab/history"
)

// Request is one kind of request of a workload.
type Request struct {
	Kind   string
	Type   history.Type
	Weight int // relative frequency
	// Shared is set if the request uses the record that all sessions share.
	Shared bool
	// Rows is how many rows a read must return.
	Rows int
	// Freshness and MaxLag are what the policy promises.
	Freshness string
	MaxLag    time.Duration
}

// Workload is the mix of requests to a service.
type Workload struct {
	Name     string
	Group    string
	User     string
	Requests []Request
}

// Shirebound returns the coach booking workload.
func Shirebound() Workload {
	return Workload{Name: "shirebound", Group: "bookings", User: "passenger", Requests: []Request{
		{Kind: "seat_booking", Type: history.Write, Weight: 3},
		{Kind: "payment", Type: history.Transaction, Weight: 2},
		{Kind: "departure_cancel", Type: history.Write, Weight: 1, Shared: true},
		{Kind: "own_booking", Type: history.Read, Weight: 6, Rows: 1, Freshness: "session"},
		{Kind: "manifest", Type: history.Read, Weight: 4, Shared: true, Rows: 40, Freshness: "current"},
		{Kind: "timetable", Type: history.Read, Weight: 4, Shared: true, Rows: 80, Freshness: "current"},
	}}
}

// Gentvaart returns the exam workload.
func Gentvaart() Workload {
	return Workload{Name: "gentvaart", Group: "exams", User: "candidate", Requests: []Request{
		{Kind: "slot_booking", Type: history.Write, Weight: 1},
		{Kind: "check_in", Type: history.Write, Weight: 1},
		{Kind: "exam_answer", Type: history.Transaction, Weight: 1},
		{Kind: "result_publication", Type: history.Write, Weight: 1, Shared: true},
		{Kind: "own_slot", Type: history.Read, Weight: 6, Rows: 1, Freshness: "session"},
		{Kind: "results", Type: history.Read, Weight: 10, Shared: true, Rows: 30, Freshness: "lag", MaxLag: 2 * time.Second},
		{Kind: "exam_rules", Type: history.Read, Weight: 2, Shared: true, Rows: 10, Freshness: "any"},
	}}
}

// Settings describe a run.
type Settings struct {
	// Nodes are the addresses at which the nodes accept callers.
	Nodes    []string
	Workload Workload
	Sessions int
	// Think is the mean pause between a session's requests.
	Think    time.Duration
	Duration time.Duration
	Seed     uint64
	Password string
	// Timeout is the time after which a caller gives up on a request.
	Timeout time.Duration
	// Started is the time to which recorded times are relative. Concurrent workloads share it.
	Started time.Time
	// NodeAddress, if set, returns a node's current address, which changes on restart.
	NodeAddress func(index int) string
	// StoppingNode, if set, reports whether a planned stop of a node is in progress.
	StoppingNode func(index int) bool
}

// Result collects the operations of a run. Its methods are safe for concurrent use.
type Result struct {
	mu         sync.Mutex
	Operations []history.Operation
}

func (r *Result) add(operation history.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Operations = append(r.Operations, operation)
}

// Count returns the number of operations that have ended.
func (r *Result) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Operations)
}

// schema creates the workload's table.
const schema = "CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, value TEXT)"

// Prepare creates the workload's table.
func Prepare(ctx context.Context, settings Settings) error {
	conn, err := settings.connect(ctx, 0)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, schema)
	return errors.Wrap(err, "create the workload's table")
}

func (s *Settings) address(index int) string {
	if s.NodeAddress != nil {
		return s.NodeAddress(index)
	}
	return s.Nodes[index]
}

func (s *Settings) connect(ctx context.Context, index int) (*pgx.Conn, error) {
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", s.Workload.User, s.Password, s.address(index), s.Workload.Group)
	conn, err := pgx.Connect(ctx, url)
	return conn, errors.Wrapf(err, "connect to node %s", s.address(index))
}

// Run runs all sessions of the workload until its duration has passed.
func Run(ctx context.Context, settings Settings, result *Result) {
	var sessions sync.WaitGroup
	for index := range settings.Sessions {
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			runSession(ctx, settings, index, result)
		}()
	}
	sessions.Wait()
}

func runSession(ctx context.Context, settings Settings, index int, result *Result) {
	current := &session{
		settings: settings, name: fmt.Sprintf("%s-%d", settings.Workload.Name, index), result: result,
		random: rand.New(rand.NewPCG(settings.Seed, uint64(index))), conns: map[int]*pgx.Conn{}, carriesPosition: index%2 == 0,
	}
	defer current.closeAll()
	end := settings.Started.Add(settings.Duration)
	for ctx.Err() == nil {
		pause := time.Duration(current.random.ExpFloat64() * float64(settings.Think))
		if time.Now().Add(pause).After(end) {
			return
		}
		time.Sleep(pause)
		current.runNext(ctx)
	}
}
