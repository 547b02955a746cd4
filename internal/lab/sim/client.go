package sim

import (
	"fmt"
	"math"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/lab/history"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/policy"
)

// Mix holds the relative weight of each kind of operation.
type Mix struct {
	Booking, OwnRead, Payment, StatusWrite, StatusRead, Feed, Manifest int
}

// Workload describes the simulated callers.
type Workload struct {
	Clients int
	// Think is the mean think time of a caller between operations.
	Think time.Duration
	Mix   Mix
	// Between SurgeFrom and SurgeTo, think times are divided by SurgeFactor.
	SurgeFrom, SurgeTo time.Duration
	SurgeFactor        int
	// CarryShare is the share of callers that send the position of their last answer with each
	// request.
	CarryShare float64
	// Resellers is the number of clients that belong to the caller "reseller". Their think
	// time is divided by ResellerFactor.
	Resellers      int
	ResellerFactor int
}

// Kinds of requests, by their names in policies.
const (
	kindBooking  = "booking"
	kindPayment  = "payment"
	kindOwn      = "own_booking"
	kindCancel   = "departure_status_change"
	kindStatus   = "departure_status"
	kindFeed     = "timetable"
	kindManifest = "manifest"
)

// DefaultTable returns the policy of simulated services.
func DefaultTable() policy.Table {
	rule := func(freshness policy.Freshness, lag, wait time.Duration) policy.Rule {
		return policy.Rule{
			Freshness: freshness, MaxLag: lag, Wait: wait, ReplicaWait: 150 * time.Millisecond,
		}
	}
	return policy.Table{
		Default: rule(policy.Current, 0, 2*time.Second),
		Kinds: map[string]policy.Rule{
			kindBooking:  rule(policy.Session, 0, 3*time.Second),
			kindPayment:  rule(policy.Session, 0, 3*time.Second),
			kindOwn:      rule(policy.Session, 0, 2*time.Second),
			kindStatus:   rule(policy.Current, 0, 2*time.Second),
			kindCancel:   rule(policy.Current, 0, 3*time.Second),
			kindFeed:     rule(policy.Bounded, time.Second, 2*time.Second),
			kindManifest: rule(policy.Any, 0, 2*time.Second),
		},
		Shares: map[string]int{"passenger": 4, "reseller": 1},
	}
}

// caller is one simulated session. Each operation connects to a randomly chosen node.
type caller struct {
	world           *World
	name            string
	user            string
	group           string
	carriesPosition bool
	position        position.Position
	operationCount  int
	conn            *callerConn
	meanThinkTime   time.Duration
}

// clientTimeout is the time after which a caller gives up on an operation.
const clientTimeout = 6 * time.Second

func (w *World) startClients() {
	workload := w.settings.Workload
	for index := range workload.Clients {
		created := &caller{
			world: w, name: fmt.Sprintf("session%d", index), user: "passenger", meanThinkTime: workload.Think,
			group:           groupName(index % w.settings.Groups),
			carriesPosition: w.random.Float64() < workload.CarryShare,
		}
		if index < workload.Resellers {
			created.user = "reseller"
			created.meanThinkTime = workload.Think / time.Duration(max(workload.ResellerFactor, 1))
		}
		const fleetStart = 2 * time.Second
		w.After(fleetStart+time.Duration(w.random.Int64N(int64(workload.Think)+1)), created.beginOperation)
	}
}

func (c *caller) thinkTime() time.Duration {
	workload := &c.world.settings.Workload
	mean := c.meanThinkTime
	if workload.SurgeFactor > 0 && c.world.Now() >= workload.SurgeFrom && c.world.Now() < workload.SurgeTo {
		mean /= time.Duration(workload.SurgeFactor)
	}
	const maxFactor = 5.0
	return time.Duration(float64(mean) * min(-math.Log(1-c.world.random.Float64()), maxFactor))
}

func (c *caller) scheduleNext() { c.world.After(c.thinkTime(), c.beginOperation) }

// beginOperation draws an operation from the mix and starts it.
func (c *caller) beginOperation() {
	if c.world.callersStopAt > 0 && c.world.Now() >= c.world.callersStopAt-clientTimeout {
		return
	}
	c.operationCount++
	operation := history.Operation{
		ID: fmt.Sprintf("%s-%d", c.name, c.operationCount), Session: c.name, Caller: c.user,
		Group: c.group, Start: c.world.Now(), Type: history.Read,
	}
	own, shared := c.name, c.group+"-departures"
	mix := c.world.settings.Workload.Mix
	draw := c.world.random.IntN(
		mix.Booking + mix.OwnRead + mix.Payment + mix.StatusWrite + mix.StatusRead + mix.Feed + mix.Manifest,
	)
	drawn := func(parts int) bool {
		draw -= parts
		return draw < 0
	}
	table := c.world.settings.Table
	switch {
	case drawn(mix.Booking):
		operation.Type, operation.Kind, operation.Keys = history.Write, kindBooking, []string{own}
	case drawn(mix.Payment):
		operation.Type, operation.Kind, operation.Keys = history.Transaction, kindPayment, []string{own, own + "-paid"}
	case drawn(mix.StatusWrite):
		operation.Type, operation.Kind, operation.Keys = history.Write, kindCancel, []string{shared}
	case drawn(mix.OwnRead):
		operation.Kind, operation.Keys = kindOwn, []string{own}
	case drawn(mix.StatusRead):
		operation.Kind, operation.Keys = kindStatus, []string{shared}
	case drawn(mix.Feed):
		operation.Kind, operation.Keys = kindFeed, []string{shared}
	default:
		operation.Kind, operation.Keys = kindManifest, []string{shared}
	}
	rule := table.Rule(operation.Kind)
	operation.Freshness, operation.MaxLag = rule.Freshness.String(), rule.MaxLag
	active := &activeOperation{caller: c, operation: operation}
	active.connect()
}

// activeOperation is one operation in progress.
type activeOperation struct {
	caller    *caller
	operation history.Operation
	step      int
	ended     bool
	// sent is set once a statement that may commit has been sent.
	sent bool
}

// connect closes the caller's connection, connects to a random node and sends the first
// statement.
func (a *activeOperation) connect() {
	c := a.caller
	if old := c.conn; old != nil {
		c.conn = nil
		old.node.do(old.run, func() { old.node.closeCaller(old) })
	}
	target := c.world.nodes[c.world.random.IntN(len(c.world.nodes))]
	a.operation.Node = target.location.id
	c.world.After(c.world.settings.ToClients, func() {
		conn := target.accept()
		if conn == nil || target.paused {
			a.end(history.NotRun, failure.NotReady, callerReply{})
			return
		}
		c.conn = conn
		conn.onLost = func(byStop bool) {
			a.operation.CutByStop = byStop
			a.end(history.Unknown, failure.None, callerReply{})
		}
		a.sendStatement()
	})
	c.world.After(clientTimeout, func() { a.end(history.Unknown, failure.None, callerReply{}) })
}

// statements returns the statements of the operation.
func (a *activeOperation) statements() []statement {
	id := a.operation.ID
	switch a.operation.Type {
	case history.Read:
		return []statement{{codeRead, a.operation.Keys[0], id}}
	case history.Write:
		return []statement{{codeWrite, a.operation.Keys[0], id}}
	default:
		return []statement{
			{codeBegin, "", id},
			{codeTransactionWrite, a.operation.Keys[0], id},
			{codeTransactionWrite, a.operation.Keys[1], id},
			{codeCommit, "", id},
		}
	}
}

func (a *activeOperation) sendStatement() {
	c := a.caller
	conn := c.conn
	request := callerRequest{
		group: c.group, kind: a.operation.Kind, statement: a.statements()[a.step], caller: c.user,
	}
	if c.carriesPosition {
		request.minPosition = c.position
	}
	run := conn.run
	a.sent = a.sent || request.statement.code == codeWrite || request.statement.code == codeCommit
	c.world.After(c.world.settings.ToClients, func() {
		conn.node.do(run, func() {
			if conn.closed {
				a.rejectedAtArrival()
				return
			}
			conn.node.handle(conn, request, func(reply callerReply) {
				c.world.After(c.world.settings.ToClients, func() { a.handleReply(reply) })
			})
		})
	})
}

// rejectedAtArrival ends the operation if the node had closed the idle connection before the
// request arrived. The node reports that with SQLSTATE 57P01, so the request did not run.
func (a *activeOperation) rejectedAtArrival() {
	a.end(history.NotRun, failure.Stopping, callerReply{})
}

func (a *activeOperation) handleReply(reply callerReply) {
	if a.ended {
		return
	}
	if reply.kind != failure.None {
		outcome := history.NotRun
		if !reply.kind.NotRun() {
			outcome = history.Unknown
		}
		a.end(outcome, reply.kind, reply)
		return
	}
	a.step++
	if a.step < len(a.statements()) {
		a.sendStatement()
		return
	}
	a.caller.position = position.Max(a.caller.position, reply.position)
	a.end(history.OK, failure.None, reply)
}

func (a *activeOperation) end(outcome history.Outcome, kind failure.Kind, reply callerReply) {
	if a.ended {
		return
	}
	a.ended = true
	c := a.caller
	operation := a.operation
	operation.End, operation.Outcome = c.world.Now(), outcome
	if kind != failure.None {
		operation.Failure = kind.String()
	}
	operation.Value, operation.Answered, operation.FromReplica = reply.answer.value, reply.answer.operation, reply.fromReplica
	c.world.history.Operations = append(c.world.history.Operations, operation)
	if conn := c.conn; conn != nil {
		conn.onLost = nil
		if outcome != history.OK || conn.status != backend.Idle {
			c.conn = nil
			conn.node.do(conn.run, func() { conn.node.closeCaller(conn) })
		}
	}
	if kind == failure.Overloaded || kind == failure.WaitLimit {
		c.world.After(reply.retryAfter+c.thinkTime(), c.beginOperation)
		return
	}
	c.scheduleNext()
}
