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

// Times and limits of running a statement.
const (
	// answerMargin is reserved from a statement's timeout for sending the answer to the caller.
	answerMargin = 30 * time.Millisecond
	// busyAvoidance is how long other requests avoid a server that answered that it has no free
	// slot.
	busyAvoidance = 25 * time.Millisecond
	// replicaRetryPause is the first pause before a read is retried on servers that could not run
	// it. It doubles up to maxReplicaRetryPause.
	replicaRetryPause    = 10 * time.Millisecond
	maxReplicaRetryPause = 100 * time.Millisecond
	// A read without an answer is retried on another server after readTimeoutFactor times the
	// expected latency, but not before minReadTimeout.
	minReadTimeout    = 400 * time.Millisecond
	readTimeoutFactor = 6
	// slotWaitShare is the part of the latency objective for which new work may wait for a slot
	// before it is rejected. The caller must still be able to retry within the objective.
	slotWaitShare = 0.2
	// warmingWaitShare is the part of the latency objective, counted from the arrival, for which
	// new work may wait for a connection while the first connections to the server are being
	// opened.
	warmingWaitShare = 0.5
)

// run is the execution of one statement. It may take several attempts.
type run struct {
	session   *session
	service   *backends.Service
	statement *command.Statement
	arrived   time.Time
	deadline  time.Time
	// work describes the urgency of the statement.
	work urgency.Work
	// queueDeadline is when new work that is waiting for a slot is rejected. It is zero until the
	// work first waits for a slot.
	queueDeadline time.Time
	tried         map[string]bool
	// tenure is the tenure under which the primary is used.
	tenure quorum.Tenure
	// outcomeUnknown is set once an attempt got no answer, or one that was not confirmed. The
	// statement may have run.
	outcomeUnknown bool
	// charged is set while the operation holds a token of its tenant's quota. tokenSpent is set
	// once an attempt may have used the token up.
	charged    bool
	tokenSpent bool
	token      quota.Token
	// unservableReason is why no server can run the statement; None if one can.
	unservableReason failure.Kind
	// repeatAttempts counts attempts on servers that had already failed to run the statement.
	repeatAttempts int
}

func (s *session) newRun(statement *command.Statement, arrived time.Time) *run {
	service := s.node.Service(s.route.Service)
	service.MarkUsed(arrived)
	deadline := arrived.Add(s.route.StatementTimeout - answerMargin)
	return &run{
		session: s, service: service, statement: statement, arrived: arrived, deadline: deadline,
		work: urgency.Work{
			Level: urgency.Of(s.route.Priority), Arrived: arrived,
			Objective: arrived.Add(s.route.TargetLatency), Deadline: deadline,
		},
	}
}

func (r *run) log() *eventlog.Log { return r.session.node.log }

// mayAttempt reports whether there is time for another attempt. After an attempt that may have run,
// the next one needs a token of its own.
func (r *run) mayAttempt() bool {
	if !time.Now().Before(r.deadline) {
		return false
	}
	if r.tokenSpent {
		r.tokenSpent = false
		return r.chargeRetry()
	}
	return true
}

// markUnanswered notes that an attempt whose answer can't be used may have run.
func (r *run) markUnanswered() { r.outcomeUnknown, r.tokenSpent = true, true }

// acquireSlot waits for a slot of the server and reports whether there is one. The work of an open
// transaction may wait until the statement's deadline, new work until queueDeadline. If the
// connection leads through another node, the wait happens there.
func (r *run) acquireSlot(target *backends.Server, lease *upstream.Lease, class admission.Class) bool {
	if r.queueDeadline.IsZero() {
		r.queueDeadline = time.Now().Add(time.Duration(slotWaitShare * float64(r.session.route.TargetLatency)))
	}
	deadline := r.queueDeadline
	if class == admission.Continuation || r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	now := time.Now()
	request := admission.Request{
		Class: class, Priority: r.session.route.Priority, Arrived: r.arrived, Late: r.late(now),
		Principal: string(r.session.principal), HasConnection: true,
	}
	if !lease.Remote() {
		if wait := target.Gate.Wait(request); class != admission.Continuation &&
			(r.cannotFinishInTime(wait) || admission.WaitTooLong(wait, deadline.Sub(now))) {
			return false
		}
		return r.session.node.Admit(target, request, deadline)
	}
	if connection, ok := lease.Connection.(ticketSetter); ok {
		age := now.Sub(r.arrived)
		if request.Late {
			age -= admission.LateDelay
		}
		connection.SetTicket(remote.Ticket{
			Class: class, Priority: request.Priority, Age: age, Wait: deadline.Sub(now),
		})
	}
	target.RemoteWork.Add(1)
	return true
}

// ticketSetter is a connection through another node. The ticket determines how long its operations
// wait for a slot there, and in which order.
type ticketSetter interface {
	SetTicket(ticket remote.Ticket)
}

// late reports whether the latency objective has passed.
func (r *run) late(now time.Time) bool {
	work := r.currentWork()
	return work.Late(now)
}

// releaseSlot frees the slot that acquireSlot got, and records the outcome of the attempt.
func (r *run) releaseSlot(
	target *backends.Server, lease *upstream.Lease, class admission.Class,
	batch *upstream.Batch, result *upstream.Result,
) {
	r.session.record.addAttempt(target, target.ID == r.service.PrimaryView.Primary())
	r.session.node.metrics.countNotRun(result)
	if lease.Remote() {
		target.RemoteWork.Add(-1)
		return
	}
	target.Gate.Leave(class, backends.AdmissionResult(batch, result), time.Now())
}

// connectionRefused reports whether the server's owner had no connection for new work, and the work
// has waited for one as long as it may.
func (r *run) connectionRefused(target *backends.Server, result *upstream.Result) bool {
	return result.Outcome == upstream.NoConnection && r.connectionWaitOver(target)
}

// pause sleeps, but not past the deadline.
func (r *run) pause(duration time.Duration) {
	if left := time.Until(r.deadline); duration > left {
		duration = left
	}
	if duration > 0 {
		time.Sleep(duration)
	}
}

// refuse fails the statement. The answer promises that the statement did not run only if every
// attempt was answered.
func (r *run) refuse(kind failure.Kind) Reply {
	if r.outcomeUnknown {
		return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
	}
	r.refund()
	if r.unservableReason != failure.None {
		kind = r.unservableReason
	}
	if kind == failure.Overloaded {
		r.recordRejection()
	}
	return r.session.fail(failure.Refuse(kind, r.retryAfter(kind)))
}

// answer converts the result of a statement that ran, or failed permanently, to a reply.
func (r *run) answer(result *upstream.Result) Reply {
	switch result.Outcome {
	case upstream.Succeeded:
		return Reply{Rows: result.Rows, Signature: result.Signature, State: r.session.state()}
	case upstream.Failed:
		return r.session.fail(failure.New(failure.ServerFailed, result.Detail))
	case upstream.TimedOut:
		return r.session.fail(failure.New(failure.ServerTimedOut, result.Detail))
	default:
		return r.session.fail(failure.New(failure.InvalidCommand, result.Detail))
	}
}

// awaitPrimary waits a moment for a primary to become known.
func (r *run) awaitPrimary() {
	changed := r.service.PrimaryView.Changed()
	if r.service.UsablePrimary(time.Now()) != nil {
		r.pause(backends.BusyPause)
		return
	}
	wait := min(backends.PrimaryChangeWait, time.Until(r.deadline))
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

// acquirePrimary acquires a connection to the primary. If none is available in time, it returns the
// reason: no primary can be reached, or its connections are in use.
func (r *run) acquirePrimary() (*backends.Server, *upstream.Lease, failure.Kind) {
	for time.Now().Before(r.deadline) && !r.session.node.impaired() {
		now := time.Now()
		target := r.service.UsablePrimary(now)
		if !r.servable() || (target != nil && !r.inHomes(target)) {
			return nil, nil, r.unservableReason
		}
		if target == nil && r.service.OutageOutlasts(now, r.deadline) {
			return nil, nil, failure.NoPrimary
		}
		if target == nil || target.Stats.Avoided(now) {
			r.awaitPrimary()
			continue
		}
		tenure, usable := r.service.RequestTenure(target.ID)
		if !usable {
			r.awaitPrimary()
			continue
		}
		r.tenure = tenure
		if !r.passesPrecheck(target, admission.OnlyHere) {
			return nil, nil, failure.Overloaded
		}
		lease, err := r.session.node.Acquire(target, r.session.principal, r.connectionDeadline())
		if err == nil {
			return target, lease, failure.None
		}
		if errors.Is(err, upstream.ErrNoConnection) && r.connectionWaitOver(target) {
			r.session.record.headroom.rule = ruleNoConnection
			return nil, nil, failure.Overloaded
		}
		r.awaitPrimary()
	}
	return nil, nil, failure.NoPrimary
}

// servable reports whether any server may run the statement. If none may, it sets unservableReason,
// because waiting would not help.
func (r *run) servable() bool {
	now := time.Now()
	if r.service.Servable(now, r.session.homes...) {
		return true
	}
	r.unservableReason = failure.NoServer
	if r.service.Servable(now) {
		r.unservableReason = failure.OutsideHomes
	}
	return false
}

// inHomes reports whether the session's homes allow the server's zone. If they don't, it sets
// unservableReason.
func (r *run) inHomes(target *backends.Server) bool {
	entry := r.session.node.catalog.Current().Servers[target.ID]
	if entry == nil || r.session.node.Allows(entry.Zone, r.session.homes...) {
		return true
	}
	r.unservableReason = failure.OutsideHomes
	return false
}

// connectionWaitOver reports whether new work has waited for a connection as long as it may.
func (r *run) connectionWaitOver(target *backends.Server) bool {
	now := time.Now()
	if target.Stats.Unanswered(now) >= backends.ConnectionWait {
		// A server that answers nothing is unreachable, not overloaded.
		return false
	}
	share := slotWaitShare
	if target.Pool.Warming(now) {
		share = warmingWaitShare
	}
	return now.Sub(r.arrived) >= time.Duration(share*float64(r.session.route.TargetLatency))
}

// queueTimedOut reports whether new work has waited for a slot as long as it may.
func (r *run) queueTimedOut() bool { return !time.Now().Before(r.queueDeadline) }

func (r *run) operation() upstream.Operation {
	return upstream.Operation{
		Kind: upstream.RunStatement, RequestID: r.statement.RequestID, Statement: r.statement,
	}
}

func (r *run) connectionDeadline() time.Time {
	if limit := time.Now().Add(backends.ConnectionWait); limit.Before(r.deadline) {
		return limit
	}
	return r.deadline
}
