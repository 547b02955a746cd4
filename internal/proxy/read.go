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
func (r *run) provenRead(target *backends.Server, lease *upstream.Lease) (Reply, bool) {
	deadline := r.readDeadline(target)
	operations := append(lease.Adapt(r.session.values, r.statement), upstream.Operation{Kind: upstream.Begin})
	batch := lease.Run(operations, deadline)
	if batch.Err != nil {
		lease.Discard()
		return Reply{}, false
	}
	begin := batch.Last()
	if !r.service.JudgeBegin(target, begin) {
		lease.Settle(begin)
		if r.starved(target, begin) {
			return r.refuse(failure.Overloaded), true
		}
		r.notRun(target, begin)
		return Reply{}, false
	}
	if r.service.Covered(r.held, time.Now()) {
		r.service.Proved(target, batch.SentAt, begin)
	}
	if !r.enter(target, lease, admission.OnlyHere) {
		lease.RollBack()
		return r.refuse(failure.Overloaded), true
	}
	batch = lease.Run([]upstream.Operation{r.operation(), {Kind: upstream.Rollback}}, r.slotDeadline(target, lease))
	arrived := time.Now()
	r.leave(target, lease, admission.OnlyHere, &batch, batch.First())
	if batch.Err != nil {
		lease.Discard()
		r.noAnswer()
		return Reply{}, false
	}
	lease.Settle(batch.Last())
	result := batch.First()
	if result.Outcome.NotRun() {
		if result.Outcome == upstream.Busy && r.noRoom(target, admission.OnlyHere) {
			return r.refuse(failure.Overloaded), true
		}
		r.notRun(target, result)
		return Reply{}, false
	}
	if result.Outcome == upstream.Succeeded {
		if !r.service.Confirmed(r.held, arrived, r.deadline) {
			r.noAnswer()
			return Reply{}, false
		}
		r.service.Proved(target, batch.SentAt, result)
	}
	return r.answer(result), true
}

// slotDeadline is when a read that takes a slot, and has not been answered, is asked
// elsewhere. At an owner the wait for the slot comes on top.
func (r *run) slotDeadline(target *backends.Server, lease *upstream.Lease) time.Time {
	deadline := r.readDeadline(target)
	if !lease.Remote() {
		return deadline
	}
	if later := deadline.Add(time.Until(r.overload)); later.After(deadline) && later.Before(r.deadline) {
		return later
	}
	return deadline
}

// readDeadline is when a read that has not been answered is asked elsewhere.
func (r *run) readDeadline(target *backends.Server) time.Time {
	now := time.Now()
	patience := max(silentRead, slowFactor*target.Stats.Latency(now))
	if limit := now.Add(patience); limit.Before(r.deadline) {
		return limit
	}
	return r.deadline
}

// read runs a read that may miss commits of the route's span, on whichever
// server is expected to answer first and has what the read must see.
func (r *run) read() Reply {
	for r.goesOn() {
		target, lease, floor := r.onAnyServer()
		if lease == nil || !r.enter(target, lease, admission.Anywhere) {
			if lease != nil {
				lease.Return()
			}
			break
		}
		operation := r.operation()
		operation.Floor = floor.Position
		batch := lease.Run(append(lease.Adapt(r.session.values, r.statement), operation), r.slotDeadline(target, lease))
		r.leave(target, lease, admission.Anywhere, &batch, batch.Last())
		if batch.Err != nil {
			lease.Discard()
			r.noAnswer()
			r.markTried(target)
			continue
		}
		result := batch.Last()
		lease.Settle(result)
		if !result.Outcome.NotRun() {
			target.Stats.CaughtUp(time.Now(), floor.Since)
			return r.answer(result)
		}
		if r.starved(target, result) || r.givesUp(target, result, floor) {
			break
		}
		r.readNotRun(target, result, floor)
	}
	return r.refuse(failure.Overloaded)
}

// onAnyServer lends a connection to the best server for what must be seen; nil
// if there is none in time.
func (r *run) onAnyServer() (*backends.Server, *upstream.Lease, freshness.Floor) {
	for r.goesOn() {
		floor, found := r.floor()
		if r.session.node.Degraded.Load() || (!found && r.session.node.secluded()) {
			break
		}
		if !found && r.service.OutageOutlasts(time.Now(), r.deadline) {
			r.unservable = failure.NoPrimary
			break
		}
		if !found {
			r.service.RefreshProof(r.deadline)
			continue
		}
		r.session.account.floor = floor
		target := r.choose(floor)
		if target == nil {
			if !r.servable() {
				break
			}
			r.pause(behindPause)
			continue
		}
		if r.awaitReplica(target, floor) {
			continue
		}
		if !r.admits(target, admission.Anywhere) {
			if r.tried[target.ID] || !r.elsewhere(target, floor) {
				break
			}
			r.service.Count(r.work.Level, "sent_elsewhere")
			r.markTried(target)
			continue
		}
		lease, err := r.session.node.Lend(target, r.session.principal, r.connectionDeadline())
		if err == nil {
			return target, lease, floor
		}
		if errors.Is(err, upstream.ErrNoConnection) && r.lacksConnections(target) {
			break
		}
		r.markTried(target)
	}
	return nil, nil, freshness.Floor{}
}

func (r *run) readNotRun(target *backends.Server, result *upstream.Result, floor freshness.Floor) {
	now := time.Now()
	switch result.Outcome {
	case upstream.Busy:
		target.Stats.Busied(now.Add(busyLife))
	case upstream.Behind:
		target.Stats.Lagged(now, floor.Since, result.Position)
		r.foundBehind(target, result.Position, now)
	default:
	}
	if r.tried[target.ID] {
		r.fruitless++
		r.pause(min(behindPause<<r.fruitless, longestPause))
	}
	r.markTried(target)
}

func (r *run) markTried(target *backends.Server) {
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[target.ID] = true
}

// proofRefreshShare is the part of the staleness bound after which a new proof
// is asked for in the background, so that no read has to wait for one.
const proofRefreshShare = 0.5

// stalenessMargin is kept of the staleness bound for clocks that tick unevenly.
const stalenessMargin = 50 * time.Millisecond

// floor returns what the read must see. Its span counts from the arrival, so a read that waits
// for a replica does not ask for more meanwhile.
func (r *run) floor() (freshness.Floor, bool) {
	span := r.session.bound.MaxStaleness - stalenessMargin
	now := time.Now()
	if age := now.Sub(r.service.Proofs.Newest().At); age > time.Duration(proofRefreshShare*float64(span)) {
		go r.service.RefreshProof(now.Add(backends.ProofLimit))
	}
	var own freshness.OwnCommit
	if r.session.bound.Freshness == catalog.ReadYourWrites {
		own = r.session.own
	}
	return r.service.Proofs.Floor(r.arrived, span, own)
}

// choose returns the server to run the read; nil if there is none.
func (r *run) choose(floor freshness.Floor) *backends.Server {
	now := time.Now()
	node := r.session.node
	leader := r.service.Belief.Leader()
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
			Primary:    entry.ID == leader,
			Latency:    target.Stats.Latency(now), Way: target.Stats.Way(),
			InFlight: target.Load(), Slots: entry.Slots, Wait: r.toldWait(target, now),
			Covers:  target.Stats.Covers(floor.Position, floor.Since, now),
			Avoided: target.Stats.Avoided(now), Congested: target.Stats.Congested(now),
			Leaving: entry.Leaving(), Tried: r.tried[entry.ID],
		})
	}
	objective := r.arrived.Add(r.session.bound.TargetLatency)
	chosen := routing.Choose(candidates, objective.Sub(now), rand.IntN)
	if chosen < 0 {
		return nil
	}
	node.metrics.chose(&candidates[chosen])
	return servers[chosen]
}

// toldWait returns how long new work like this is expected to wait at a server's owner; 0 if
// it has not lately told.
func (r *run) toldWait(target *backends.Server, now time.Time) time.Duration {
	wait, _ := target.Wait(admission.Anywhere, r.work.Level, now)
	return wait
}
