package proxy

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/upstream"
)

// write runs a single write on the primary. It retries only after an answer that promises that the
// write did not run.
func (r *run) write() Reply {
	for r.mayAttempt() {
		target, lease, reason := r.acquirePrimary()
		if lease == nil {
			return r.refuse(reason)
		}
		if !r.acquireSlot(target, lease, admission.OnlyHere) {
			lease.Return()
			return r.refuse(failure.Overloaded)
		}
		operations := append(lease.Adapt(r.session.values, r.statement), r.operation())
		endWatch := r.service.WatchCommit()
		batch := lease.Run(operations, r.deadline)
		endWatch()
		arrived := time.Now()
		r.releaseSlot(target, lease, admission.OnlyHere, &batch, batch.Last())
		if batch.Err != nil {
			lease.Discard()
			r.log().Write(eventlog.AttemptFailed, zap.String("request", r.statement.RequestID),
				zap.String("command", "write"),
				zap.String("server", target.ID), zap.Error(batch.Err))
			return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
		}
		result := batch.Last()
		lease.Settle(result)
		if !result.Outcome.NotRun() {
			if result.Outcome == upstream.Succeeded {
				if !r.service.Confirm(r.tenure, arrived, r.deadline) {
					return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
				}
				r.service.RecordProof(target, batch.SentAt, result)
				r.session.lastCommit = freshness.OwnCommit{At: time.Now(), Position: result.Position}
			}
			return r.answer(result)
		}
		if result.Outcome == upstream.Busy && r.slotWaitOver(target, admission.OnlyHere) ||
			r.connectionRefused(target, result) {
			break
		}
		r.handleNotRun(target, result)
	}
	return r.refuse(failure.Overloaded)
}

// handleNotRun handles an answer that promises that the statement did not run. It waits if an
// immediate retry would get the same answer.
func (r *run) handleNotRun(target *backends.Server, result *upstream.Result) {
	now := time.Now()
	switch result.Outcome {
	case upstream.Busy:
		target.Stats.RecordBusy(now.Add(busyAvoidance))
		r.pause(backends.BusyPause)
	case upstream.NotPrimary:
		if r.service.RecordDenial(target.ID, now) {
			r.log().Write(eventlog.PrimaryDenied, zap.String("service", r.service.Name),
				zap.String("server", target.ID), zap.String("request", r.statement.RequestID))
		}
		r.awaitPrimary()
	case upstream.Unreached:
		r.awaitPrimary()
	case upstream.StatementMissing, upstream.Failed, upstream.TimedOut:
		r.pause(backends.BusyPause)
	default:
	}
}
