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

// write runs a single write on the primary. It is sent again only after an
// answer which promises that it did not run.
func (r *run) write() Reply {
	for r.goesOn() {
		target, lease, reason := r.onLeader()
		if lease == nil {
			return r.refuse(reason)
		}
		if !r.enter(target, lease, admission.OnlyHere) {
			lease.Return()
			return r.refuse(failure.Overloaded)
		}
		operations := append(lease.Adapt(r.session.values, r.statement), r.operation())
		batch := lease.Run(operations, r.deadline)
		arrived := time.Now()
		r.leave(target, lease, admission.OnlyHere, &batch, batch.Last())
		if batch.Err != nil {
			lease.Discard()
			r.log().Write(eventlog.AttemptFailed, zap.String("request", r.statement.RequestID), zap.String("command", "write"),
				zap.String("server", target.ID), zap.Error(batch.Err))
			return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
		}
		result := batch.Last()
		lease.Settle(result)
		if !result.Outcome.NotRun() {
			if result.Outcome == upstream.Succeeded {
				if !r.service.Confirmed(r.held, arrived, r.deadline) {
					return r.session.fail(failure.New(failure.OutcomeUnknown, ""))
				}
				r.service.Proved(target, batch.SentAt, result)
				r.session.own = freshness.OwnCommit{At: time.Now(), Position: result.Position}
			}
			return r.answer(result)
		}
		if result.Outcome == upstream.Busy && r.noRoom(target, admission.OnlyHere) || r.starved(target, result) {
			break
		}
		r.notRun(target, result)
	}
	return r.refuse(failure.Overloaded)
}

// notRun takes an answer which promises that the statement did not run, and
// waits where the next attempt would meet the same.
func (r *run) notRun(target *backends.Server, result *upstream.Result) {
	now := time.Now()
	switch result.Outcome {
	case upstream.Busy:
		target.Stats.Busied(now.Add(busyLife))
		r.pause(backends.BusyPause)
	case upstream.NotPrimary:
		if r.service.Deny(target.ID, now) {
			r.log().Write(eventlog.PrimaryDenied, zap.String("service", r.service.Name),
				zap.String("server", target.ID), zap.String("request", r.statement.RequestID))
		}
		r.awaitLeader()
	case upstream.Unreached:
		r.awaitLeader()
	default:
	}
}
