package proxy

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/upstream"
	"dewknot/internal/proxy/urgency"
)

// rejectionRule names the reason of a rejection for lack of headroom, in logs and metrics.
type rejectionRule string

// The rejection rules.
const (
	// ruleReportedWait: the server's owner reports a wait that leaves the work too little time.
	ruleReportedWait rejectionRule = "told_wait"
	// ruleReportedDeadline: the reported wait ends after the work's deadline.
	ruleReportedDeadline rejectionRule = "told_deadline"
	// ruleNoSlot: the work waited for a slot too long, or its owner rejected it at once.
	ruleNoSlot rejectionRule = "no_slot"
	// ruleNoConnection: no connection was available in time.
	ruleNoConnection rejectionRule = "no_connection"
	// ruleTimedOut: the statement timed out before any server ran it.
	ruleTimedOut rejectionRule = "time_passed"
)

// headroomRecord describes how headroom for a command was found, for its log line.
type headroomRecord struct {
	rule rejectionRule
	// wait is the reported wait, age the age of the report.
	wait, age time.Duration
	// replicaWait is how long the command waited for a replica to catch up.
	replicaWait time.Duration
}

// currentWork returns the urgency of the statement in its present state.
func (r *run) currentWork() urgency.Work {
	work := r.work
	work.Open = r.session.transaction != nil && r.session.transaction.lease != nil
	work.Attempt = r.repeatAttempts
	return work
}

// remainingSlotWait returns how long new work may still wait for a slot.
func (r *run) remainingSlotWait(now time.Time) time.Duration {
	if r.queueDeadline.IsZero() {
		return time.Duration(slotWaitShare * float64(r.session.route.TargetLatency))
	}
	return r.queueDeadline.Sub(now)
}

// passesPrecheck reports whether new work is sent to a server, given the load report of the
// server's owner.
func (r *run) passesPrecheck(target *backends.Server, class admission.Class) bool {
	now := time.Now()
	work := r.currentWork()
	load, age := target.ReportedLoad(class, work.Level, now)
	verdict := admission.Precheck(&work, now, r.remainingSlotWait(now), load, rand.Float64())
	if verdict == admission.Send {
		return true
	}
	headroom := &r.session.record.headroom
	headroom.rule, headroom.wait, headroom.age = ruleReportedWait, load.Wait, age
	if verdict == admission.Reject {
		headroom.rule = ruleReportedDeadline
	}
	return false
}

// slotWaitOver reports whether new work that a server did not run for lack of a slot has waited as
// long as it may, or would have to. It is then not retried.
func (r *run) slotWaitOver(target *backends.Server, class admission.Class) bool {
	if r.queueTimedOut() {
		return true
	}
	now := time.Now()
	wait, reported := target.ReportedWait(class, r.work.Level, now)
	return reported && admission.WaitTooLong(wait, r.remainingSlotWait(now))
}

// rejectsRead reports whether a read that a server did not run should be rejected, since no other
// server has headroom either.
func (r *run) rejectsRead(target *backends.Server, result *upstream.Result, minimum freshness.MinimumPosition) bool {
	return result.Outcome == upstream.Busy && r.slotWaitOver(target, admission.Anywhere) &&
		(r.queueTimedOut() || !r.otherServerFits(target, minimum))
}

// awaitReplica waits for a replica that is expected to reach the minimum position soon, if that is
// better than to use the primary that was chosen. It reports whether it has waited.
func (r *run) awaitReplica(chosen *backends.Server, minimum freshness.MinimumPosition) bool {
	now := time.Now()
	if chosen.ID != r.service.PrimaryView.Primary() || chosen.Stats.Avoided(now) {
		return false
	}
	work := r.currentWork()
	options := freshness.ReadOptions{
		Allowed: r.remainingSlotWait(now),
		Left:    min(work.Objective.Sub(now), work.Deadline.Sub(now)) - chosen.Stats.Latency(now),
	}
	options.PrimaryWait, options.PrimaryKnown = chosen.ReportedWait(admission.Anywhere, work.Level, now)
	if !options.PrimaryKnown {
		options.PrimaryWait = chosen.Gate.Wait(admission.Request{
			Class: admission.Anywhere, Priority: r.session.route.Priority, Arrived: r.arrived,
		})
		options.PrimaryKnown = options.PrimaryWait > 0
	}
	options.CatchUp, options.ReplicaKnown = r.catchUp(chosen, minimum, now, options.Allowed)
	if options.Choose() != freshness.AwaitReplica {
		return false
	}
	r.session.record.headroom.replicaWait += options.CatchUp
	r.service.CountDecision(work.Level, "awaited_replica")
	r.pause(max(options.CatchUp, replicaRetryPause))
	return true
}

// catchUp returns how long the first replica is expected to take to reach the minimum position, and
// false without an estimate. It skips replicas at which work waits longer than allowed.
func (r *run) catchUp(
	primary *backends.Server, minimum freshness.MinimumPosition, now time.Time, allowed time.Duration,
) (time.Duration, bool) {
	first, found := time.Duration(0), false
	level := r.work.Level
	for _, entry := range r.session.node.catalog.Current().ByService[r.service.Name] {
		target := r.session.node.Server(entry.ID)
		if target == nil || target == primary || !r.service.Usable(entry.ID, now) || target.Stats.Avoided(now) {
			continue
		}
		if wait, _ := target.ReportedWait(admission.Anywhere, level, now); wait > max(allowed, 0) {
			continue
		}
		if after, estimated := target.Stats.TimeToReach(minimum.Position, minimum.Since, now); estimated &&
			(!found || after < first) {
			first, found = after, true
		}
	}
	return first, found
}

// recordLag records how far a server at a position is behind the primary. If the server is reached
// through an owner, the owner reports its lag, and knows it better.
func (r *run) recordLag(target *backends.Server, at position.Position, now time.Time) {
	if len(r.session.node.PrecedingOwners(target)) > 0 {
		return
	}
	if since, lacks := r.service.Proofs.FirstMissing(at); lacks && now.Sub(since) >= backends.MinReportedLag {
		target.Stats.RecordLag(now, now.Sub(since))
	}
}

// otherServerFits reports whether a server other than the given one has the minimum position and
// headroom for the work.
func (r *run) otherServerFits(rejected *backends.Server, minimum freshness.MinimumPosition) bool {
	now := time.Now()
	level := r.work.Level
	for _, entry := range r.session.node.catalog.Current().ByService[r.service.Name] {
		target := r.session.node.Server(entry.ID)
		if target == nil || target == rejected || r.tried[entry.ID] ||
			!r.service.Usable(entry.ID, now) || target.Stats.Avoided(now) {
			continue
		}
		wait, _ := target.ReportedWait(admission.Anywhere, level, now)
		if wait <= r.remainingSlotWait(now) && target.Stats.Covers(minimum.Position, minimum.Since, now) {
			return true
		}
	}
	return false
}

// recordRejection counts and logs a rejection for lack of headroom.
func (r *run) recordRejection() {
	headroom, now := &r.session.record.headroom, time.Now()
	switch {
	case headroom.rule != "":
	case now.Before(r.deadline):
		headroom.rule = ruleNoSlot
	default:
		headroom.rule = ruleTimedOut
	}
	level := r.work.Level
	r.service.CountDecision(level, string(headroom.rule))
	if r.service.Rejections.Record(now, level) {
		r.log().Write(eventlog.RoomShort, zap.String("service", r.service.Name),
			zap.Uint8("level", uint8(level)), zap.String("rule", string(headroom.rule)),
			zap.String("server", r.session.record.server), zap.Duration("wait", headroom.wait),
			zap.Duration("age", headroom.age))
	}
}
