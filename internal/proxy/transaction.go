package proxy

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/upstream"
)

// transaction is a caller's open transaction. It acquires a connection with its first statement and
// keeps it until its end.
type transaction struct {
	readOnly bool
	// server and lease are set by the first statement.
	server *backends.Server
	lease  *upstream.Lease
	// onPrimary is set if the server accepted the transaction as the primary, and tenure is the
	// tenure under which it did.
	onPrimary bool
	tenure    quorum.Tenure
	wrote     bool
	// failed is set if nothing of the transaction is kept, and only its end is awaited.
	failed bool
}

func (s *session) begin(received *command.Command) Reply {
	if s.transaction != nil {
		return s.fail(failure.New(failure.InvalidCommand, "a transaction is open already"))
	}
	s.transaction = &transaction{readOnly: received.Kind == command.BeginReadOnly}
	return s.done()
}

// fail rolls the transaction back. The caller learns of it with its next command.
func (t *transaction) fail(s *session, reason string) {
	t.end()
	t.failed = true
	s.node.log.Write(eventlog.TransactionRolledBack, zap.String("route", s.route.Name),
		zap.String("reason", reason))
}

// end rolls back what is open on the connection and returns the connection.
func (t *transaction) end() {
	if t.lease == nil {
		return
	}
	lease := t.lease
	t.lease = nil
	lease.RollBack()
}

func (t *transaction) discard() {
	if t.lease != nil {
		t.lease.Discard()
		t.lease = nil
	}
}

// open begins the transaction on a server. If it reports false, the reply is final.
func (t *transaction) open(r *run) (Reply, bool) {
	if reply, charged := r.charge(); !charged {
		t.failed = true
		return reply, false
	}
	if !r.needsPrimary() {
		return t.openOnReplica(r)
	}
	return t.openOnPrimary(r)
}

func (t *transaction) openOnPrimary(r *run) (Reply, bool) {
	for r.mayAttempt() {
		target, lease, reason := r.acquirePrimary()
		if lease == nil {
			return r.refuseTransaction(reason), false
		}
		operations := append(lease.Adapt(r.session.values, nil), upstream.Operation{Kind: upstream.Begin})
		batch := lease.Run(operations, r.readDeadline(target))
		if batch.Err != nil {
			lease.Discard()
			continue
		}
		arrived := time.Now()
		begin := batch.Last()
		if r.service.CheckBegin(target, begin) {
			if !r.service.Confirm(r.tenure, arrived, r.deadline) {
				lease.RollBack()
				continue
			}
			t.server, t.lease, t.onPrimary, t.tenure = target, lease, true, r.tenure
			return Reply{}, true
		}
		lease.Settle(begin)
		if begin.Outcome == upstream.Rejected {
			t.failed = true
			return r.answer(begin), false
		}
		if r.connectionRefused(target, begin) {
			break
		}
		r.handleNotRun(target, begin)
	}
	return r.refuseTransaction(failure.Overloaded), false
}

func (t *transaction) openOnReplica(r *run) (Reply, bool) {
	for r.mayAttempt() {
		target, lease, minimum := r.acquireReplica()
		if lease == nil {
			break
		}
		operations := append(lease.Adapt(r.session.values, nil),
			upstream.Operation{Kind: upstream.BeginReadOnly, MinimumPosition: minimum.Position})
		batch := lease.Run(operations, r.readDeadline(target))
		if batch.Err != nil {
			lease.Discard()
			r.markTried(target)
			continue
		}
		begin := batch.Last()
		if begin.Outcome == upstream.Succeeded {
			target.Stats.RecordCaughtUp(time.Now(), minimum.Since)
			t.server, t.lease = target, lease
			return Reply{}, true
		}
		lease.Settle(begin)
		if begin.Outcome == upstream.Rejected {
			t.failed = true
			return r.answer(begin), false
		}
		if r.connectionRefused(target, begin) {
			break
		}
		r.handleReadNotRun(target, begin, minimum)
	}
	return r.refuseTransaction(failure.Overloaded), false
}

// refuseTransaction fails the transaction before any of it has run.
func (r *run) refuseTransaction(kind failure.Kind) Reply {
	r.session.transaction.failed = true
	return r.refuse(kind)
}

// run runs a statement of the transaction.
func (t *transaction) run(r *run) Reply {
	if t.readOnly && r.statement.Writes {
		t.fail(r.session, "a write in a transaction opened for reads only")
		return r.session.fail(failure.New(failure.ReadOnlyTransaction, ""))
	}
	if t.lease == nil {
		if reply, opened := t.open(r); !opened {
			return reply
		}
	} else if !t.lease.DropSurplus() || r.service.Withdrawn(t.server.ID, time.Now()) {
		return t.failLost(r)
	}
	for r.mayAttempt() {
		if !r.acquireSlot(t.server, t.lease, admission.Continuation) {
			return t.failNotRun(r)
		}
		operations := append(t.lease.Adapt(r.session.values, r.statement), r.operation())
		batch := t.lease.Run(operations, r.deadline)
		r.releaseSlot(t.server, t.lease, admission.Continuation, &batch, batch.Last())
		if batch.Err != nil {
			r.log().Write(eventlog.AttemptFailed, zap.String("request", r.statement.RequestID),
				zap.String("command", "statement"),
				zap.String("server", t.server.ID), zap.Error(batch.Err))
			return t.failLost(r)
		}
		result := batch.Last()
		switch {
		case result.Outcome == upstream.Succeeded:
			t.wrote = t.wrote || r.statement.Writes
			if t.onPrimary && r.service.Covered(t.tenure, time.Now()) {
				r.service.RecordProof(t.server, batch.SentAt, result)
			}
			return r.answer(result)
		case result.Outcome == upstream.Busy && result.State == upstream.InTransaction,
			result.Outcome == upstream.StatementMissing && result.State == upstream.InTransaction:
			r.pause(backends.BusyPause)
		case result.Outcome.NotRun():
			r.log().Write(eventlog.AttemptFailed, zap.String("request", r.statement.RequestID),
				zap.String("command", "statement"),
				zap.String("server", t.server.ID), zap.Stringer("outcome", result.Outcome),
				zap.Uint8("state", uint8(result.State)))
			if result.Outcome == upstream.NotPrimary {
				r.service.RecordDenial(t.server.ID, time.Now())
			}
			return t.failNotRun(r)
		default:
			t.end()
			t.failed = true
			return r.answer(result)
		}
	}
	return t.failNotRun(r)
}

// failLost fails the transaction after its connection was lost or is in doubt. Closing the
// connection leaves nothing of it, since it was not committed.
func (t *transaction) failLost(r *run) Reply {
	t.discard()
	t.failed = true
	return r.session.fail(failure.Refuse(failure.TransactionLost, r.retryAfter(failure.TransactionLost)))
}

// failNotRun fails the transaction after the server did not run a statement.
func (t *transaction) failNotRun(r *run) Reply {
	t.end()
	t.failed = true
	return r.session.fail(failure.Refuse(failure.TransactionLost, r.retryAfter(failure.TransactionLost)))
}

func (s *session) rollback() Reply {
	if s.transaction == nil {
		return s.fail(failure.New(failure.InvalidCommand, "no transaction is open"))
	}
	s.pendingRollback = s.transaction
	s.transaction = nil
	return s.done()
}

// afterReply does the work that the caller need not wait for.
func (s *session) afterReply() {
	if s.pendingRollback != nil {
		s.pendingRollback.end()
		s.pendingRollback = nil
	}
}

// commit ends the transaction. If it wrote and the answer is lost, the outcome is unknown.
func (s *session) commit(received *command.Command, arrived time.Time) Reply {
	t := s.transaction
	if t == nil {
		return s.fail(failure.New(failure.InvalidCommand, "no transaction is open"))
	}
	if t.failed {
		s.transaction = nil
		return s.fail(failure.Refuse(failure.TransactionLost, withJitter(minRetryAfter)))
	}
	r := s.newRun(&command.Statement{RequestID: received.RequestID}, arrived)
	if t.lease == nil {
		if reply, opened := t.open(r); !opened {
			s.transaction = nil
			reply.State = upstream.Idle
			return reply
		}
	}
	reply := t.commit(r, received)
	s.transaction = nil
	reply.State = upstream.Idle
	return reply
}

func (t *transaction) commit(r *run, received *command.Command) Reply {
	if !t.lease.DropSurplus() || r.service.Withdrawn(t.server.ID, time.Now()) {
		return t.failLost(r)
	}
	for r.mayAttempt() {
		if !r.acquireSlot(t.server, t.lease, admission.Continuation) {
			return t.failNotRun(r)
		}
		operations := append(t.lease.Adapt(r.session.values, nil), upstream.Operation{
			Kind: upstream.Commit, RequestID: received.RequestID, Text: received.Text,
		})
		endWatch := r.service.WatchCommit()
		batch := t.lease.Run(operations, r.deadline)
		endWatch()
		arrived := time.Now()
		r.releaseSlot(t.server, t.lease, admission.Continuation, &batch, batch.Last())
		if batch.Err != nil {
			r.log().Write(eventlog.AttemptFailed, zap.String("request", received.RequestID),
				zap.String("command", "commit"),
				zap.String("server", t.server.ID), zap.Error(batch.Err))
			wrote := t.wrote
			reply := t.failLost(r)
			if wrote {
				reply.Failure = failure.New(failure.OutcomeUnknown, "")
			}
			return reply
		}
		result := batch.Last()
		if result.Outcome == upstream.Succeeded {
			if t.wrote && !r.service.Confirm(t.tenure, arrived, r.deadline) {
				t.lease.Settle(result)
				t.lease = nil
				return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
			}
			t.committed(r, result)
			return r.answer(result)
		}
		if result.Outcome == upstream.Busy && result.State == upstream.InTransaction {
			r.pause(backends.BusyPause)
			continue
		}
		if result.Outcome.NotRun() {
			return t.failNotRun(r)
		}
		t.end()
		return r.answer(result)
	}
	return t.failNotRun(r)
}

func (t *transaction) committed(r *run, result *upstream.Result) {
	if t.wrote {
		r.session.lastCommit = freshness.OwnCommit{At: time.Now(), Position: result.Position}
	}
	t.lease.Settle(result)
	t.lease = nil
}
