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

// refusalRule names what refused work for want of room, in logs and metrics.
type refusalRule string

// The rules.
const (
	// toldWait: the server's owner tells a wait that leaves the work no time.
	toldWait refusalRule = "told_wait"
	// toldDeadline: the same, of work that could not be answered by its deadline.
	toldDeadline refusalRule = "told_deadline"
	// noSlot: the work waited for a slot, or the owner saw that it would wait in vain.
	noSlot refusalRule = "no_slot"
	// noConnection: there was no connection in time.
	noConnection refusalRule = "no_connection"
	// timePassed: no server had run it when its time-out passed.
	timePassed refusalRule = "time_passed"
)

// roomAccount tells how room for a command was found, for its line in the log.
type roomAccount struct {
	rule refusalRule
	// wait is what an owner told, age how old that was.
	wait, age time.Duration
	// awaited is how long the command waited for a replica to catch up.
	awaited time.Duration
}

// urgentWork describes the statement for decisions on what is scarce.
func (r *run) urgentWork() urgency.Work {
	work := r.work
	work.Open = r.session.transaction != nil && r.session.transaction.lease != nil
	work.Attempt = r.fruitless
	return work
}

// allowed returns how long new work may still wait for a slot.
func (r *run) allowed(now time.Time) time.Duration {
	if r.overload.IsZero() {
		return time.Duration(overloadShare * float64(r.session.bound.TargetLatency))
	}
	return r.overload.Sub(now)
}

// admits reports whether new work is sent to a server, by what its owner tells of the work
// that waits for it.
func (r *run) admits(target *backends.Server, class admission.Class) bool {
	now := time.Now()
	work := r.urgentWork()
	known, age := target.Known(class, work.Level, now)
	verdict := admission.Early(&work, now, r.allowed(now), known, rand.Float64())
	if verdict == admission.Ask {
		return true
	}
	room := &r.session.account.room
	room.rule, room.wait, room.age = toldWait, known.Wait, age
	if verdict == admission.Refuse {
		room.rule = toldDeadline
	}
	return false
}

// noRoom reports whether new work that a server did not run for want of a slot has waited as
// long as it may, or would: then it is not asked again.
func (r *run) noRoom(target *backends.Server, class admission.Class) bool {
	if r.overloaded() {
		return true
	}
	now := time.Now()
	wait, known := target.Wait(class, r.work.Level, now)
	return known && admission.Overfull(wait, r.allowed(now))
}

// givesUp reports whether a read that a server did not run has no room on any other either.
func (r *run) givesUp(target *backends.Server, result *upstream.Result, floor freshness.Floor) bool {
	return result.Outcome == upstream.Busy && r.noRoom(target, admission.Anywhere) && (r.overloaded() || !r.elsewhere(target, floor))
}

// awaitReplica waits for a replica that is expected to have what the read must see, if that
// is better than the server that was chosen, and reports whether it has waited.
func (r *run) awaitReplica(chosen *backends.Server, floor freshness.Floor) bool {
	now := time.Now()
	if chosen.ID != r.service.Belief.Leader() || chosen.Stats.Avoided(now) {
		return false
	}
	work := r.urgentWork()
	prospect := freshness.Prospect{Allowed: r.allowed(now), Left: min(work.Objective.Sub(now), work.Deadline.Sub(now)) - chosen.Stats.Latency(now)}
	prospect.PrimaryWait, prospect.PrimaryKnown = chosen.Wait(admission.Anywhere, work.Level, now)
	if !prospect.PrimaryKnown {
		prospect.PrimaryWait = chosen.Gate.Wait(admission.Request{Class: admission.Anywhere, Priority: r.session.bound.Priority, Arrived: r.arrived})
		prospect.PrimaryKnown = prospect.PrimaryWait > 0
	}
	prospect.CatchUp, prospect.ReplicaKnown = r.catchUp(chosen, floor, now, prospect.Allowed)
	if prospect.Choose() != freshness.AwaitReplica {
		return false
	}
	r.session.account.room.awaited += prospect.CatchUp
	r.service.Count(work.Level, "awaited_replica")
	r.pause(max(prospect.CatchUp, behindPause))
	return true
}

// catchUp returns when the first replica is expected to have what a read must see; false if
// that is not known of any. One for which work waits for longer than allowed is of no use.
func (r *run) catchUp(primary *backends.Server, floor freshness.Floor, now time.Time, allowed time.Duration) (time.Duration, bool) {
	first, found := time.Duration(0), false
	level := r.work.Level
	for _, entry := range r.session.node.catalog.Current().ByService[r.service.Name] {
		target := r.session.node.Server(entry.ID)
		if target == nil || target == primary || !r.service.Usable(entry.ID, now) || target.Stats.Avoided(now) {
			continue
		}
		if wait, _ := target.Wait(admission.Anywhere, level, now); wait > max(allowed, 0) {
			continue
		}
		if after, known := target.Stats.CatchesUp(floor.Position, floor.Since, now); known && (!found || after < first) {
			first, found = after, true
		}
	}
	return first, found
}

// foundBehind notes how far behind the primary a server at a position is. Of one that is
// reached through its owner, that one tells it, and knows better.
func (r *run) foundBehind(target *backends.Server, at position.Position, now time.Time) {
	if len(r.session.node.OwnersBefore(target)) > 0 {
		return
	}
	if since, lacks := r.service.Proofs.Lacking(at); lacks && now.Sub(since) >= backends.LeastBehind {
		target.Stats.FoundBehind(now, now.Sub(since))
	}
}

// elsewhere reports whether another server than one that has no room has what a read must
// see, and room.
func (r *run) elsewhere(declined *backends.Server, floor freshness.Floor) bool {
	now := time.Now()
	level := r.work.Level
	for _, entry := range r.session.node.catalog.Current().ByService[r.service.Name] {
		target := r.session.node.Server(entry.ID)
		if target == nil || target == declined || r.tried[entry.ID] || !r.service.Usable(entry.ID, now) || target.Stats.Avoided(now) {
			continue
		}
		wait, _ := target.Wait(admission.Anywhere, level, now)
		if wait <= r.allowed(now) && target.Stats.Covers(floor.Position, floor.Since, now) {
			return true
		}
	}
	return false
}

// turnAway counts and logs a refusal for want of room.
func (r *run) turnAway() {
	room, now := &r.session.account.room, time.Now()
	switch {
	case room.rule != "":
	case now.Before(r.deadline):
		room.rule = noSlot
	default:
		room.rule = timePassed
	}
	level := r.work.Level
	r.service.Count(level, string(room.rule))
	if r.service.TurnedAway.Refused(now, level) {
		r.log().Write(eventlog.RoomShort, zap.String("service", r.service.Name), zap.Uint8("level", uint8(level)), zap.String("rule", string(room.rule)),
			zap.String("server", r.session.account.server), zap.Duration("wait", room.wait), zap.Duration("age", room.age))
	}
}
