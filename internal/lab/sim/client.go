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

// Mix is the share of each kind of operation, in parts of their sum.
type Mix struct {
	Booking, OwnRead, Payment, StatusWrite, StatusRead, Feed, Manifest int
}

// Workload describes the callers.
type Workload struct {
	Clients int
	// Think is the mean time between a caller's requests.
	Think time.Duration
	Mix   Mix
	// SurgeFrom and SurgeTo bound a surge in which callers think Surge times less.
	SurgeFrom, SurgeTo time.Duration
	Surge              int
	// Carry is the share of callers that carry their position themselves.
	Carry float64
	// Resellers is how many of the clients belong to the caller "reseller", each
	// of which thinks Greed times less.
	Resellers int
	Greed     int
}

// Kinds of requests, as policies name them.
const (
	kindBooking  = "booking"
	kindPayment  = "payment"
	kindOwn      = "own_booking"
	kindCancel   = "departure_status_change"
	kindStatus   = "departure_status"
	kindFeed     = "timetable"
	kindManifest = "manifest"
)

// DefaultTable is the policy of simulated services.
func DefaultTable() policy.Table {
	rule := func(freshness policy.Freshness, lag, wait time.Duration) policy.Rule {
		return policy.Rule{Freshness: freshness, MaxLag: lag, Wait: wait, ReplicaWait: 150 * time.Millisecond}
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

// caller is one simulated session; it moves between nodes from one request to
// the next.
type caller struct {
	world    *World
	name     string
	user     string
	group    string
	carries  bool
	position position.Position
	number   int
	conn     *callerConn
	think    time.Duration
}

// clientTimeout is when a caller gives up on a request.
const clientTimeout = 6 * time.Second

func (w *World) startClients() {
	load := w.settings.Workload
	for index := range load.Clients {
		created := &caller{
			world: w, name: fmt.Sprintf("session%d", index), user: "passenger", think: load.Think,
			group: groupName(index % w.settings.Groups), carries: w.random.Float64() < load.Carry,
		}
		if index < load.Resellers {
			created.user = "reseller"
			created.think = load.Think / time.Duration(max(load.Greed, 1))
		}
		const fleetStart = 2 * time.Second
		w.After(fleetStart+time.Duration(w.random.Int64N(int64(load.Think)+1)), created.next)
	}
}

func (c *caller) pause() time.Duration {
	load := &c.world.settings.Workload
	mean := c.think
	if load.Surge > 0 && c.world.Now() >= load.SurgeFrom && c.world.Now() < load.SurgeTo {
		mean /= time.Duration(load.Surge)
	}
	const longest = 5.0
	return time.Duration(float64(mean) * min(-math.Log(1-c.world.random.Float64()), longest))
}

func (c *caller) rest() { c.world.After(c.pause(), c.next) }

// next begins one operation.
func (c *caller) next() {
	if c.world.stopped > 0 && c.world.Now() >= c.world.stopped-clientTimeout {
		return
	}
	c.number++
	operation := history.Operation{
		ID: fmt.Sprintf("%s-%d", c.name, c.number), Session: c.name, Caller: c.user, Group: c.group, Start: c.world.Now(), Type: history.Read,
	}
	own, shared := c.name, c.group+"-departures"
	mix := c.world.settings.Workload.Mix
	draw := c.world.random.IntN(mix.Booking + mix.OwnRead + mix.Payment + mix.StatusWrite + mix.StatusRead + mix.Feed + mix.Manifest)
	pick := func(parts int) bool {
		draw -= parts
		return draw < 0
	}
	table := c.world.settings.Table
	switch {
	case pick(mix.Booking):
		operation.Type, operation.Kind, operation.Keys = history.Write, kindBooking, []string{own}
	case pick(mix.Payment):
		operation.Type, operation.Kind, operation.Keys = history.Transaction, kindPayment, []string{own, own + "-paid"}
	case pick(mix.StatusWrite):
		operation.Type, operation.Kind, operation.Keys = history.Write, kindCancel, []string{shared}
	case pick(mix.OwnRead):
		operation.Kind, operation.Keys = kindOwn, []string{own}
	case pick(mix.StatusRead):
		operation.Kind, operation.Keys = kindStatus, []string{shared}
	case pick(mix.Feed):
		operation.Kind, operation.Keys = kindFeed, []string{shared}
	default:
		operation.Kind, operation.Keys = kindManifest, []string{shared}
	}
	rule := table.Rule(operation.Kind)
	operation.Freshness, operation.MaxLag = rule.Freshness.String(), rule.MaxLag
	attempt := &attempt{caller: c, operation: operation}
	attempt.connect()
}

// attempt is one operation under way.
type attempt struct {
	caller    *caller
	operation history.Operation
	step      int
	ended     bool
	// sent is set when a request that may commit has been sent.
	sent bool
}

// connect moves the caller to some node that accepts it.
func (a *attempt) connect() {
	c := a.caller
	if old := c.conn; old != nil {
		c.conn = nil
		old.node.do(old.run, func() { old.node.closeCaller(old) })
	}
	target := c.world.nodes[c.world.random.IntN(len(c.world.nodes))]
	a.operation.Node = target.place.id
	c.world.After(c.world.settings.ToClients, func() {
		conn := target.accept()
		if conn == nil || target.paused {
			a.end(history.NotRun, failure.NotReady, callerReply{})
			return
		}
		c.conn = conn
		conn.lost = func(byStop bool) {
			a.operation.CutByStop = byStop
			a.end(history.Unknown, failure.None, callerReply{})
		}
		a.request()
	})
	c.world.After(clientTimeout, func() { a.end(history.Unknown, failure.None, callerReply{}) })
}

// commands returns the statements of the operation.
func (a *attempt) commands() []command {
	id := a.operation.ID
	switch a.operation.Type {
	case history.Read:
		return []command{{codeRead, a.operation.Keys[0], id}}
	case history.Write:
		return []command{{codeWrite, a.operation.Keys[0], id}}
	default:
		return []command{
			{codeBegin, "", id},
			{codeTransactionWrite, a.operation.Keys[0], id},
			{codeTransactionWrite, a.operation.Keys[1], id},
			{codeCommit, "", id},
		}
	}
}

func (a *attempt) request() {
	c := a.caller
	conn := c.conn
	asked := callerRequest{group: c.group, kind: a.operation.Kind, command: a.commands()[a.step], caller: c.user}
	if c.carries {
		asked.floor = c.position
	}
	run := conn.run
	a.sent = a.sent || asked.command.code == codeWrite || asked.command.code == codeCommit
	c.world.After(c.world.settings.ToClients, func() {
		conn.node.do(run, func() {
			if conn.closed {
				a.refusedAtArrival()
				return
			}
			conn.node.handle(conn, asked, func(reply callerReply) {
				c.world.After(c.world.settings.ToClients, func() { a.answered(reply) })
			})
		})
	})
}

// refusedAtArrival: the node had ended the idle connection before the request
// arrived, and said so with SQLSTATE 57P01; the request was not run.
func (a *attempt) refusedAtArrival() {
	a.end(history.NotRun, failure.Stopping, callerReply{})
}

func (a *attempt) answered(reply callerReply) {
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
	if a.step < len(a.commands()) {
		a.request()
		return
	}
	a.caller.position = position.Max(a.caller.position, reply.position)
	a.end(history.OK, failure.None, reply)
}

func (a *attempt) end(outcome history.Outcome, kind failure.Kind, reply callerReply) {
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
		conn.lost = nil
		if outcome != history.OK || conn.status != backend.Idle {
			c.conn = nil
			conn.node.do(conn.run, func() { conn.node.closeCaller(conn) })
		}
	}
	if kind == failure.Overloaded || kind == failure.WaitLimit {
		c.world.After(reply.retryAfter+c.pause(), c.next)
		return
	}
	c.rest()
}
