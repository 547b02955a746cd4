package proxy

import (
	"errors"
	"math/rand/v2"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/routing"
	"dewknot/internal/proxy/upstream"
)

// readCurrent runs a read that must see every acknowledged commit. The read runs in a transaction
// that only the primary accepts, which proves that the server was the primary at the time.
func (r *run) readCurrent() Reply {
	for r.mayAttempt() {
		target, lease, reason := r.acquirePrimary()
		if lease == nil {
			return r.refuse(reason)
		}
		reply, final := r.readOnPrimary(target, lease)
		if final {
			return reply
		}
	}
	return r.refuse(failure.Overloaded)
}

// readOnPrimary makes one attempt on a connection to the primary. It reports whether the reply is
// final.
func (r *run) readOnPrimary(target *backends.Server, lease *upstream.Lease) (Reply, bool) {
	deadline := r.readDeadline(target)
	operations := append(lease.Adapt(r.session.values, r.statement), upstream.Operation{Kind: upstream.Begin})
	batch := lease.Run(operations, deadline)
	if batch.Err != nil {
		lease.Discard()
		return Reply{}, false
	}
	begin := batch.Last()
	if !r.service.CheckBegin(target, begin) {
		lease.Settle(begin)
		if begin.Outcome == upstream.Rejected {
			return r.answer(begin), true
		}
		if r.connectionRefused(target, begin) {
			return r.refuse(failure.Overloaded), true
		}
		r.handleNotRun(target, begin)
		return Reply{}, false
	}
	if !r.acquireSlot(target, lease, admission.OnlyHere) {
		lease.RollBack()
		return r.refuse(failure.Overloaded), true
	}
	batch = lease.Run([]upstream.Operation{r.operation(), {Kind: upstream.Rollback}},
		r.slotReadDeadline(target, lease))
	arrived := time.Now()
	r.releaseSlot(target, lease, admission.OnlyHere, &batch, batch.First())
	if batch.Err != nil {
		lease.Discard()
		r.markUnanswered()
		return Reply{}, false
	}
	lease.Settle(batch.Last())
	result := batch.First()
	if result.Outcome.NotRun() {
		if result.Outcome == upstream.Busy && r.slotWaitOver(target, admission.OnlyHere) {
			return r.refuse(failure.Overloaded), true
		}
		r.handleNotRun(target, result)
		return Reply{}, false
	}
	if result.Outcome == upstream.Succeeded {
		if !r.service.Confirm(r.tenure, arrived, r.deadline) {
			r.markUnanswered()
			return Reply{}, false
		}
		r.service.RecordProof(target, batch.SentAt, result)
	}
	return r.answer(result), true
}

// slotReadDeadline is when a read that needs a slot is retried on another server if it got no
// answer. Through an owner, it includes the wait for the slot.
func (r *run) slotReadDeadline(target *backends.Server, lease *upstream.Lease) time.Time {
	deadline := r.readDeadline(target)
	if !lease.Remote() {
		return deadline
	}
	if later := deadline.Add(time.Until(r.queueDeadline)); later.After(deadline) && later.Before(r.deadline) {
		return later
	}
	return deadline
}

// readDeadline is when a read that got no answer is retried on another server.
func (r *run) readDeadline(target *backends.Server) time.Time {
	now := time.Now()
	timeout := max(minReadTimeout, readTimeoutFactor*target.Stats.Latency(now))
	if limit := now.Add(timeout); limit.Before(r.deadline) {
		return limit
	}
	return r.deadline
}

// read runs a read that may miss recent commits, as far as the route's staleness allows. It runs on
// the server that is expected to answer first among those that have the minimum position.
func (r *run) read() Reply {
	for r.mayAttempt() {
		target, lease, minimum := r.acquireReplica()
		if lease == nil || !r.acquireSlot(target, lease, admission.Anywhere) {
			if lease != nil {
				lease.Return()
			}
			break
		}
		operation := r.operation()
		operation.MinimumPosition = minimum.Position
		batch := lease.Run(append(lease.Adapt(r.session.values, r.statement), operation),
			r.slotReadDeadline(target, lease))
		r.releaseSlot(target, lease, admission.Anywhere, &batch, batch.Last())
		if batch.Err != nil {
			lease.Discard()
			r.markUnanswered()
			r.markTried(target)
			continue
		}
		result := batch.Last()
		lease.Settle(result)
		if !result.Outcome.NotRun() {
			target.Stats.RecordCaughtUp(time.Now(), minimum.Since)
			return r.answer(result)
		}
		if r.connectionRefused(target, result) || r.rejectsRead(target, result, minimum) {
			break
		}
		r.handleReadNotRun(target, result, minimum)
	}
	return r.refuse(failure.Overloaded)
}

// acquireReplica acquires a connection to the best server, which may be the primary, for the read's
// minimum position. The lease is nil if there is none in time.
func (r *run) acquireReplica() (*backends.Server, *upstream.Lease, freshness.MinimumPosition) {
	for r.mayAttempt() {
		minimum, found := r.minimum()
		if r.session.node.Degraded.Load() || (!found && r.session.node.impaired()) {
			break
		}
		if !found && r.service.OutageOutlasts(time.Now(), r.deadline) {
			r.unservableReason = failure.NoPrimary
			break
		}
		if !found {
			r.service.RefreshProof(r.deadline)
			continue
		}
		r.session.record.minimum = minimum
		target := r.choose(minimum)
		if target == nil {
			if !r.servable() {
				break
			}
			r.pause(replicaRetryPause)
			continue
		}
		if r.awaitReplica(target, minimum) {
			continue
		}
		if !r.passesPrecheck(target, admission.Anywhere) {
			if r.tried[target.ID] || !r.otherServerFits(target, minimum) {
				break
			}
			r.service.CountDecision(r.work.Level, "sent_elsewhere")
			r.markTried(target)
			continue
		}
		lease, err := r.session.node.Acquire(target, r.session.principal, r.connectionDeadline())
		if err == nil {
			return target, lease, minimum
		}
		if errors.Is(err, upstream.ErrNoConnection) && r.connectionWaitOver(target) {
			break
		}
		r.markTried(target)
	}
	return nil, nil, freshness.MinimumPosition{}
}

// handleReadNotRun records why a server did not run a read. It pauses if the server was tried
// before.
func (r *run) handleReadNotRun(target *backends.Server, result *upstream.Result, minimum freshness.MinimumPosition) {
	now := time.Now()
	switch result.Outcome {
	case upstream.Busy:
		target.Stats.RecordBusy(now.Add(busyAvoidance))
	case upstream.Behind:
		target.Stats.RecordBehind(now, minimum.Since, result.Position)
		r.recordLag(target, result.Position, now)
	default:
	}
	if r.tried[target.ID] {
		r.repeatAttempts++
		r.pause(min(replicaRetryPause<<r.repeatAttempts, maxReplicaRetryPause))
	}
	r.markTried(target)
}

func (r *run) markTried(target *backends.Server) {
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[target.ID] = true
}

// proofRefreshShare is the part of the staleness bound after which a new proof is requested in the
// background, so that no read has to wait for one.
const proofRefreshShare = 0.5

// stalenessMargin is subtracted from the staleness bound to allow for clock drift.
const stalenessMargin = 50 * time.Millisecond

// minimum returns the minimum position of the read. The staleness counts from the arrival, so the
// position doesn't grow while the read waits for a replica.
func (r *run) minimum() (freshness.MinimumPosition, bool) {
	maxAge := r.session.route.MaxStaleness - stalenessMargin
	now := time.Now()
	if age := now.Sub(r.service.Proofs.Newest().At); age > time.Duration(proofRefreshShare*float64(maxAge)) {
		go r.service.RefreshProof(now.Add(backends.ProofTimeout))
	}
	var lastCommit freshness.OwnCommit
	if r.session.route.Freshness == catalog.ReadYourWrites {
		lastCommit = r.session.lastCommit
	}
	return r.service.Proofs.MinimumPosition(r.arrived, maxAge, lastCommit)
}

// choose returns the server to run the read; nil if there is none.
func (r *run) choose(minimum freshness.MinimumPosition) *backends.Server {
	now := time.Now()
	node := r.session.node
	primary := r.service.PrimaryView.Primary()
	var servers []*backends.Server
	var candidates []routing.Candidate
	for _, entry := range node.catalog.Current().ByService[r.service.Name] {
		target := node.Server(entry.ID)
		if target == nil || !r.service.Usable(entry.ID, now) || !node.Allows(entry.Zone, r.session.homes...) {
			continue
		}
		servers = append(servers, target)
		candidates = append(candidates, routing.Candidate{
			SameZone:   entry.Zone == node.options.Zone,
			SameRegion: node.options.Regions[entry.Zone] == node.options.Regions[node.options.Zone],
			Primary:    entry.ID == primary,
			Latency:    target.Stats.Latency(now), RTT: target.Stats.RTT(),
			InFlight: target.Load(), Slots: entry.Slots, Wait: r.reportedWait(target, now),
			Covers:  target.Stats.Covers(minimum.Position, minimum.Since, now),
			Avoided: target.Stats.Avoided(now), Congested: target.Stats.Congested(now),
			Leaving: entry.Leaving(), Tried: r.tried[entry.ID],
		})
	}
	objective := r.arrived.Add(r.session.route.TargetLatency)
	chosen := routing.Choose(candidates, objective.Sub(now), rand.IntN)
	if chosen < 0 {
		return nil
	}
	node.metrics.countChosen(&candidates[chosen])
	return servers[chosen]
}

// reportedWait returns how long new work of this level is expected to wait at the server's owner; 0
// without a recent report.
func (r *run) reportedWait(target *backends.Server, now time.Time) time.Duration {
	wait, _ := target.ReportedWait(admission.Anywhere, r.work.Level, now)
	return wait
}
