package proxy

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/admission"
	"dewknot/internal/catalog"
	"dewknot/internal/command"
	"dewknot/internal/eventlog"
	"dewknot/internal/failure"
	"dewknot/internal/freshness"
	"dewknot/internal/routing"
	"dewknot/internal/upstream"
)

// Times of a statement's way.
const (
	// answerMargin is kept of a statement's time-out for the answer's way back.
	answerMargin = 30 * time.Millisecond
	// busyPause is the pause before a server that refused for want of a slot is
	// asked again, busyLife how long other requests avoid it.
	busyPause = 15 * time.Millisecond
	busyLife  = 25 * time.Millisecond
	// behindPause is the first pause before servers that could not run a read
	// are asked again; it doubles up to longestPause.
	behindPause  = 10 * time.Millisecond
	longestPause = 100 * time.Millisecond
	// leaderPause is the longest wait for a change of the primary before
	// another look.
	leaderPause = 50 * time.Millisecond
	// connectionWait bounds the wait for a connection to one of several servers.
	connectionWait = 150 * time.Millisecond
	// silentRead is the shortest time after which a read whose answer has not
	// come is asked of another server; slowFactor times the expected latency is
	// waited if that is longer.
	silentRead = 400 * time.Millisecond
	slowFactor = 6
	// comeBack is the time to come back given with a refusal.
	comeBack = 200 * time.Millisecond
	// overloadShare is the part of the latency objective for which new work may
	// wait for a slot before it is refused: short enough for the caller to come
	// back within the objective.
	overloadShare = 0.2
	// warmingShare is the same, from its arrival, for new work that waits for a
	// connection to a server to which connections are only being opened.
	warmingShare = 0.5
)

// run is one statement on its way.
type run struct {
	session   *session
	service   *service
	statement *command.Statement
	arrived   time.Time
	deadline  time.Time
	// overload is when new work that waits for a slot is refused; it is zero
	// until the work first waits for one.
	overload time.Time
	tried    map[string]bool
	// fruitless counts attempts on servers that had already failed to run it.
	fruitless int
}

func (s *session) newRun(statement *command.Statement, arrived time.Time) *run {
	service := s.node.service(s.bound.Service)
	service.used(arrived)
	return &run{
		session: s, service: service, statement: statement,
		arrived: arrived, deadline: arrived.Add(s.bound.StatementTimeout - answerMargin),
	}
}

func (r *run) log() *eventlog.Log { return r.session.node.log }

// goesOn reports whether another attempt may be made.
func (r *run) goesOn() bool { return time.Now().Before(r.deadline) }

// enter waits for leave to run on a server. Work of an open transaction may
// wait until the statement's deadline, new work until it counts as refused for
// overload.
func (r *run) enter(target *server, class admission.Class) bool {
	if r.overload.IsZero() {
		r.overload = time.Now().Add(time.Duration(overloadShare * float64(r.session.bound.TargetLatency)))
	}
	deadline := r.overload
	if class == admission.Continuation || r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	return target.gate.Enter(admission.Request{Class: class, Priority: r.session.bound.Priority, Arrived: r.arrived}, deadline)
}

// leave ends work that was let in.
func (r *run) leave(target *server, batch *upstream.Batch, result *upstream.Result) {
	r.session.account.tried(target, target.id == r.service.belief.Leader())
	r.session.node.metrics.refused(result)
	ended := admission.Other
	switch {
	case batch.Err != nil:
	case result.Outcome == upstream.Busy:
		ended = admission.Refused
	case result.Outcome == upstream.Succeeded:
		ended = admission.Ran
	default:
	}
	target.gate.Leave(ended, time.Now())
}

// pause waits, but not past the deadline.
func (r *run) pause(span time.Duration) {
	if left := time.Until(r.deadline); span > left {
		span = left
	}
	if span > 0 {
		time.Sleep(span)
	}
}

func (r *run) refuse(kind failure.Kind) Reply {
	return r.session.fail(failure.Refuse(kind, comeBack))
}

// answer turns the result of a statement that ran, or failed for good, into a reply.
func (r *run) answer(result *upstream.Result) Reply {
	switch result.Outcome {
	case upstream.Succeeded:
		return Reply{Rows: result.Rows, Signature: result.Signature, State: r.session.state()}
	case upstream.Failed:
		return r.session.fail(failure.New(failure.ServerFailed, result.Detail))
	case upstream.TimedOut:
		return r.session.fail(failure.New(failure.ServerTimedOut, result.Detail))
	default:
		return r.session.fail(failure.New(failure.Protocol, result.Detail))
	}
}

// awaitLeader waits a moment for a primary to be known.
func (r *run) awaitLeader() {
	changed := r.service.belief.Changed()
	if r.service.leader(time.Now()) != nil {
		r.pause(busyPause)
		return
	}
	wait := min(leaderPause, time.Until(r.deadline))
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// onLeader lends a connection to the primary. If there is none in time, it
// returns the reason: no primary can be reached, or its connections are in use.
func (r *run) onLeader() (*server, *upstream.Lease, failure.Kind) {
	for time.Now().Before(r.deadline) {
		now := time.Now()
		target := r.service.leader(now)
		if target == nil || target.stats.Avoided(now) {
			r.awaitLeader()
			continue
		}
		lease, err := target.pool.Get(r.connectionDeadline())
		if err == nil {
			return target, lease, failure.None
		}
		if errors.Is(err, upstream.ErrNoConnection) && r.lacksConnections(target) {
			return nil, nil, failure.Overloaded
		}
		r.awaitLeader()
	}
	return nil, nil, failure.NoPrimary
}

// lacksConnections reports whether new work has waited for a connection as long
// as it may.
func (r *run) lacksConnections(target *server) bool {
	now := time.Now()
	share := overloadShare
	if target.pool.Warming(now) {
		share = warmingShare
	}
	return now.Sub(r.arrived) >= time.Duration(share*float64(r.session.bound.TargetLatency))
}

// overloaded reports whether new work has waited for a slot as long as it may.
func (r *run) overloaded() bool { return !time.Now().Before(r.overload) }

// write runs a single write on the primary. It is sent again only after an
// answer which promises that it did not run.
func (r *run) write() Reply {
	for r.goesOn() {
		target, lease, reason := r.onLeader()
		if lease == nil {
			return r.refuse(reason)
		}
		if !r.enter(target, admission.OnlyHere) {
			lease.Return()
			return r.refuse(failure.Overloaded)
		}
		operations := append(lease.Adapt(r.session.values, r.statement), r.operation())
		batch := lease.Run(operations, r.deadline)
		r.leave(target, &batch, batch.Last())
		if batch.Err != nil {
			lease.Discard()
			r.log().Write(eventlog.AttemptFailed, zap.String("request", r.statement.RequestID), zap.String("command", "write"),
				zap.String("server", target.id), zap.Error(batch.Err))
			return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
		}
		lease.Return()
		result := batch.Last()
		if !result.Outcome.NotRun() {
			if result.Outcome == upstream.Succeeded {
				r.service.proved(target, batch.SentAt, result)
				r.session.own = freshness.OwnCommit{At: time.Now(), Position: result.Position}
			}
			return r.answer(result)
		}
		if result.Outcome == upstream.Busy && r.overloaded() {
			break
		}
		r.notRun(target, result)
	}
	return r.refuse(failure.Overloaded)
}

func (r *run) operation() upstream.Operation {
	return upstream.Operation{Kind: upstream.RunStatement, RequestID: r.statement.RequestID, Statement: r.statement}
}

// notRun takes an answer which promises that the statement did not run, and
// waits where the next attempt would meet the same.
func (r *run) notRun(target *server, result *upstream.Result) {
	now := time.Now()
	switch result.Outcome {
	case upstream.Busy:
		target.stats.Busied(now.Add(busyLife))
		r.pause(busyPause)
	case upstream.NotPrimary:
		if r.service.belief.Refute(target.id, now) {
			r.log().Write(eventlog.PrimaryDenied, zap.String("service", r.service.name),
				zap.String("server", target.id), zap.String("request", r.statement.RequestID))
		}
		r.awaitLeader()
	default:
	}
}

// readCurrent runs a read that must see every acknowledged commit: in a
// transaction that only the primary accepts, which proves that it was the
// primary when the read ran.
func (r *run) readCurrent() Reply {
	for r.goesOn() {
		target, lease, reason := r.onLeader()
		if lease == nil {
			return r.refuse(reason)
		}
		reply, final := r.provenRead(target, lease)
		if final {
			return reply
		}
	}
	return r.refuse(failure.Overloaded)
}

// provenRead makes one attempt on a connection to the primary.
func (r *run) provenRead(target *server, lease *upstream.Lease) (Reply, bool) {
	deadline := r.readDeadline(target)
	operations := append(lease.Adapt(r.session.values, r.statement), upstream.Operation{Kind: upstream.Begin})
	batch := lease.Run(operations, deadline)
	if batch.Err != nil {
		lease.Discard()
		return Reply{}, false
	}
	begin := batch.Last()
	if !r.service.judgeBegin(target, &batch, begin) {
		r.settle(lease, begin)
		r.notRun(target, begin)
		return Reply{}, false
	}
	if !r.enter(target, admission.OnlyHere) {
		r.rollback(lease)
		return r.refuse(failure.Overloaded), true
	}
	batch = lease.Run([]upstream.Operation{r.operation(), {Kind: upstream.Rollback}}, r.readDeadline(target))
	r.leave(target, &batch, batch.First())
	if batch.Err != nil {
		lease.Discard()
		return Reply{}, false
	}
	r.settle(lease, batch.Last())
	result := batch.First()
	if result.Outcome.NotRun() {
		if result.Outcome == upstream.Busy && r.overloaded() {
			return r.refuse(failure.Overloaded), true
		}
		r.notRun(target, result)
		return Reply{}, false
	}
	if result.Outcome == upstream.Succeeded {
		r.service.proved(target, batch.SentAt, result)
	}
	return r.answer(result), true
}

// rollback ends a transaction that has run nothing and returns its connection.
func (r *run) rollback(lease *upstream.Lease) {
	batch := lease.Run([]upstream.Operation{{Kind: upstream.Rollback}}, time.Now().Add(rollbackLimit))
	if batch.Err != nil {
		lease.Discard()
		return
	}
	r.settle(lease, batch.Last())
}

// settle returns a connection that is idle, and discards one that is not.
func (r *run) settle(lease *upstream.Lease, last *upstream.Result) {
	if last.State == upstream.Idle {
		lease.Return()
		return
	}
	lease.Discard()
}

// readDeadline is when a read that has not been answered is asked elsewhere.
func (r *run) readDeadline(target *server) time.Time {
	now := time.Now()
	patience := max(silentRead, slowFactor*target.stats.Latency(now))
	if limit := now.Add(patience); limit.Before(r.deadline) {
		return limit
	}
	return r.deadline
}

// read runs a read that may miss commits of the route's span, on whichever
// server is expected to answer first and has what the read must see.
func (r *run) read() Reply {
	for r.goesOn() {
		floor, found := r.floor()
		if !found {
			r.service.refreshProof(r.deadline)
			continue
		}
		r.session.account.floor = floor
		target := r.choose(floor)
		if target == nil {
			r.pause(behindPause)
			continue
		}
		lease, err := target.pool.Get(r.connectionDeadline())
		if err != nil {
			if errors.Is(err, upstream.ErrNoConnection) && r.lacksConnections(target) {
				break
			}
			r.markTried(target)
			continue
		}
		if !r.enter(target, admission.Anywhere) {
			lease.Return()
			break
		}
		operation := r.operation()
		operation.Floor = floor.Position
		batch := lease.Run(append(lease.Adapt(r.session.values, r.statement), operation), r.readDeadline(target))
		r.leave(target, &batch, batch.Last())
		if batch.Err != nil {
			lease.Discard()
			r.markTried(target)
			continue
		}
		result := batch.Last()
		r.settle(lease, result)
		if !result.Outcome.NotRun() {
			target.stats.CaughtUp(time.Now(), floor.Since)
			return r.answer(result)
		}
		if result.Outcome == upstream.Busy && r.overloaded() {
			break
		}
		r.readNotRun(target, result, floor)
	}
	return r.refuse(failure.Overloaded)
}

func (r *run) connectionDeadline() time.Time {
	if limit := time.Now().Add(connectionWait); limit.Before(r.deadline) {
		return limit
	}
	return r.deadline
}

func (r *run) readNotRun(target *server, result *upstream.Result, floor freshness.Floor) {
	now := time.Now()
	switch result.Outcome {
	case upstream.Busy:
		target.stats.Busied(now.Add(busyLife))
	case upstream.Behind:
		target.stats.Lagged(now, floor.Since)
	default:
	}
	if r.tried[target.id] {
		r.fruitless++
		r.pause(min(behindPause<<r.fruitless, longestPause))
	}
	r.markTried(target)
}

func (r *run) markTried(target *server) {
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[target.id] = true
}

// proofRefreshShare is the part of the staleness bound after which a new proof
// is asked for in the background, so that no read has to wait for one.
const proofRefreshShare = 0.5

// stalenessMargin is kept of the staleness bound for clocks that tick unevenly.
const stalenessMargin = 50 * time.Millisecond

// floor returns what the read must see.
func (r *run) floor() (freshness.Floor, bool) {
	span := r.session.bound.MaxStaleness - stalenessMargin
	now := time.Now()
	if age := now.Sub(r.service.proofs.Newest().At); age > time.Duration(proofRefreshShare*float64(span)) {
		go r.service.refreshProof(now.Add(proofLimit))
	}
	var own freshness.OwnCommit
	if r.session.bound.Freshness == catalog.ReadYourWrites {
		own = r.session.own
	}
	return r.service.proofs.Floor(now, span, own)
}

// choose returns the server to run the read; nil if there is none.
func (r *run) choose(floor freshness.Floor) *server {
	now := time.Now()
	node := r.session.node
	leader := r.service.belief.Leader()
	var servers []*server
	var candidates []routing.Candidate
	for _, entry := range node.catalog.Current().ByService[r.service.name] {
		target := node.server(entry.ID)
		if target == nil || !r.service.usable(entry.ID, now) {
			continue
		}
		servers = append(servers, target)
		candidates = append(candidates, routing.Candidate{
			SameZone:   entry.Zone == node.options.Zone,
			SameRegion: node.options.Regions[entry.Zone] == node.options.Regions[node.options.Zone],
			Primary:    entry.ID == leader,
			Latency:    target.stats.Latency(now), InFlight: target.load(),
			Covers:  target.stats.Covers(floor.Position, floor.Since, now),
			Avoided: target.stats.Avoided(now), Congested: target.stats.Congested(now),
			Leaving: entry.Leaving(), Tried: r.tried[entry.ID],
		})
	}
	chosen := routing.Choose(candidates)
	if chosen < 0 {
		return nil
	}
	return servers[chosen]
}

// load returns the work of this node that a server has or that waits for it.
func (t *server) load() int {
	running, waiting := t.gate.Load()
	return running + waiting
}
