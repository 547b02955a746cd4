package proxy

import (
	"errors"
	"time"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/quota"
	"dewknot/internal/proxy/remote"
	"dewknot/internal/proxy/upstream"
	"dewknot/internal/proxy/urgency"
)

// Times of a statement's way.
const (
	// answerMargin is kept of a statement's time-out for the answer's way back.
	answerMargin = 30 * time.Millisecond
	// busyLife is how long other requests avoid a server that refused for want of a slot.
	busyLife = 25 * time.Millisecond
	// behindPause is the first pause before servers that could not run a read
	// are asked again; it doubles up to longestPause.
	behindPause  = 10 * time.Millisecond
	longestPause = 100 * time.Millisecond
	// silentRead is the shortest time after which a read whose answer has not
	// come is asked of another server; slowFactor times the expected latency is
	// waited if that is longer.
	silentRead = 400 * time.Millisecond
	slowFactor = 6
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
	service   *backends.Service
	statement *command.Statement
	arrived   time.Time
	deadline  time.Time
	// work says how urgent the statement is.
	work urgency.Work
	// overload is when new work that waits for a slot is refused; it is zero
	// until the work first waits for one.
	overload time.Time
	tried    map[string]bool
	// held is the tenure under which the primary is asked.
	held quorum.Tenure
	// unanswered is set once an attempt was sent whose answer did not come, or was not
	// believed: it may have run.
	unanswered bool
	// charged is set once the operation has taken a token of its tenant's quota; spent is
	// set once an attempt may have used it up.
	charged bool
	spent   bool
	token   quota.Token
	// unservable is the reason why no server can run the statement, None while one may.
	unservable failure.Kind
	// fruitless counts attempts on servers that had already failed to run it.
	fruitless int
}

func (s *session) newRun(statement *command.Statement, arrived time.Time) *run {
	service := s.node.Service(s.bound.Service)
	service.Used(arrived)
	deadline := arrived.Add(s.bound.StatementTimeout - answerMargin)
	return &run{
		session: s, service: service, statement: statement, arrived: arrived, deadline: deadline,
		work: urgency.Work{
			Level: urgency.Of(s.bound.Priority), Arrived: arrived, Objective: arrived.Add(s.bound.TargetLatency), Deadline: deadline,
		},
	}
}

func (r *run) log() *eventlog.Log { return r.session.node.log }

// goesOn reports whether another attempt may be made. After one that may have run, it
// takes a token of its own.
func (r *run) goesOn() bool {
	if !time.Now().Before(r.deadline) {
		return false
	}
	if r.spent {
		r.spent = false
		return r.recharge()
	}
	return true
}

// noAnswer notes that an attempt may have run, of which no answer was delivered.
func (r *run) noAnswer() { r.unanswered, r.spent = true, true }

// enter waits for leave to run on a server. Work of an open transaction may
// wait until the statement's deadline, new work until it counts as refused for
// overload.
func (r *run) enter(target *backends.Server, lease *upstream.Lease, class admission.Class) bool {
	if r.overload.IsZero() {
		r.overload = time.Now().Add(time.Duration(overloadShare * float64(r.session.bound.TargetLatency)))
	}
	deadline := r.overload
	if class == admission.Continuation || r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	now := time.Now()
	place := admission.Request{
		Class: class, Priority: r.session.bound.Priority, Arrived: r.arrived, Late: r.late(now), Principal: string(r.session.principal), Holds: true,
	}
	if !lease.Remote() {
		if wait := target.Gate.Wait(place); class != admission.Continuation && (r.hopeless(wait) || admission.Overfull(wait, deadline.Sub(now))) {
			return false
		}
		return r.session.node.Admit(target, place, deadline)
	}
	if session, queues := lease.Connection.(queuer); queues {
		age := now.Sub(r.arrived)
		if place.Late {
			age -= admission.LateDelay
		}
		session.Queue(remote.Ticket{Class: class, Priority: place.Priority, Age: age, Wait: deadline.Sub(now)})
	}
	target.Remote.Add(1)
	return true
}

// queuer is a connection whose operations wait at another node.
type queuer interface {
	Queue(ticket remote.Ticket)
}

// late reports whether the objective of the work has passed.
func (r *run) late(now time.Time) bool {
	work := r.urgentWork()
	return work.Late(now)
}

// leave ends work of a class that was let in.
func (r *run) leave(target *backends.Server, lease *upstream.Lease, class admission.Class, batch *upstream.Batch, result *upstream.Result) {
	r.session.account.tried(target, target.ID == r.service.Belief.Leader())
	r.session.node.metrics.refused(result)
	if lease.Remote() {
		target.Remote.Add(-1)
		return
	}
	target.Gate.Leave(class, backends.EndOf(batch, result), time.Now())
}

// starved reports whether new work has waited for a connection of the server's
// owner as long as it may.
func (r *run) starved(target *backends.Server, result *upstream.Result) bool {
	return result.Outcome == upstream.NoConnection && r.lacksConnections(target)
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

// refuse ends the statement without a result. That it was not run is said only if no
// attempt was left without an answer.
func (r *run) refuse(kind failure.Kind) Reply {
	if r.unanswered {
		return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
	}
	r.putBack()
	if r.unservable != failure.None {
		kind = r.unservable
	}
	if kind == failure.Overloaded {
		r.turnAway()
	}
	return r.session.fail(failure.Refuse(kind, r.comeBack(kind)))
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
	changed := r.service.Belief.Changed()
	if r.service.Leader(time.Now()) != nil {
		r.pause(backends.BusyPause)
		return
	}
	wait := min(backends.LeaderPause, time.Until(r.deadline))
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
func (r *run) onLeader() (*backends.Server, *upstream.Lease, failure.Kind) {
	for time.Now().Before(r.deadline) && !r.session.node.secluded() {
		now := time.Now()
		target := r.service.Leader(now)
		if !r.servable() || (target != nil && !r.atHome(target)) {
			return nil, nil, r.unservable
		}
		if target == nil && r.service.OutageOutlasts(now, r.deadline) {
			return nil, nil, failure.NoPrimary
		}
		if target == nil || target.Stats.Avoided(now) {
			r.awaitLeader()
			continue
		}
		held, holds := r.service.Hold(target.ID)
		if !holds {
			r.awaitLeader()
			continue
		}
		r.held = held
		if !r.admits(target, admission.OnlyHere) {
			return nil, nil, failure.Overloaded
		}
		lease, err := r.session.node.Lend(target, r.session.principal, r.connectionDeadline())
		if err == nil {
			return target, lease, failure.None
		}
		if errors.Is(err, upstream.ErrNoConnection) && r.lacksConnections(target) {
			r.session.account.room.rule = noConnection
			return nil, nil, failure.Overloaded
		}
		r.awaitLeader()
	}
	return nil, nil, failure.NoPrimary
}

// servable reports whether any server stays that may run the statement. If not, it notes why:
// a caller who waits would wait in vain.
func (r *run) servable() bool {
	now := time.Now()
	if r.service.Servable(now, r.session.homes...) {
		return true
	}
	r.unservable = failure.NoServer
	if r.service.Servable(now) {
		r.unservable = failure.OutsideHomes
	}
	return false
}

// atHome reports whether the statement may go to a server's region, and notes it if not.
func (r *run) atHome(target *backends.Server) bool {
	entry := r.session.node.catalog.Current().Servers[target.ID]
	if entry == nil || r.session.node.Allows(entry.Zone, r.session.homes...) {
		return true
	}
	r.unservable = failure.OutsideHomes
	return false
}

// lacksConnections reports whether new work has waited for a connection as long
// as it may.
func (r *run) lacksConnections(target *backends.Server) bool {
	now := time.Now()
	if target.Stats.Unanswered(now) >= backends.ConnectionWait {
		// The server says nothing at all: it is not overloaded, it is out of reach.
		return false
	}
	share := overloadShare
	if target.Pool.Warming(now) {
		share = warmingShare
	}
	return now.Sub(r.arrived) >= time.Duration(share*float64(r.session.bound.TargetLatency))
}

// overloaded reports whether new work has waited for a slot as long as it may.
func (r *run) overloaded() bool { return !time.Now().Before(r.overload) }

func (r *run) operation() upstream.Operation {
	return upstream.Operation{Kind: upstream.RunStatement, RequestID: r.statement.RequestID, Statement: r.statement}
}

func (r *run) connectionDeadline() time.Time {
	if limit := time.Now().Add(backends.ConnectionWait); limit.Before(r.deadline) {
		return limit
	}
	return r.deadline
}
