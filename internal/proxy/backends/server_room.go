package backends

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/cold"
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/urgency"
)

// Known returns what is known of the work that waits for the server, and how old it is.
func (t *Server) Known(class admission.Class, level urgency.Level, now time.Time) (admission.Known, time.Duration) {
	report, age, recent := t.Told.Newest(now)
	if !recent {
		return admission.Known{}, 0
	}
	wait, _ := t.Wait(class, level, now)
	return admission.Known{Recent: true, Wait: wait, Waiting: int(report.Waiting), Sent: int(t.Remote.Load())}, age
}

// Wait returns the wait that the server's owner tells for work; false if nothing recent is
// known.
func (t *Server) Wait(class admission.Class, level urgency.Level, now time.Time) (time.Duration, bool) {
	if class == admission.Anywhere {
		return t.Told.Wait(now, level)
	}
	return t.Told.WaitOnlyHere(now, level)
}

// Admit lets work run on this node's own connections to a server, or refuses it. What a cold
// server may be sent is counted first.
func (b *Backends) Admit(target *Server, place admission.Request, deadline time.Time) bool {
	if !target.cold.Take(time.Now(), b.coldBound(target.service), place.Class == admission.Continuation) {
		return false
	}
	return target.Gate.Enter(place, deadline)
}

// coldBound returns how much may be sent to a cold server of a service.
func (b *Backends) coldBound(service string) cold.Bound {
	configuration := b.catalog.Current().Configuration
	if configuration == nil {
		return cold.Bound{}
	}
	return cold.Bound{PerSecond: configuration.Services[service].ColdPerSecond, Overage: b.options.ColdOverage, Slack: b.options.ColdSlack}
}

// bounded reports whether a server is cold and what it may be sent is bounded.
func (b *Backends) bounded(target *Server, now time.Time) bool {
	return target.cold.Cold(now) && b.coldBound(target.service).PerSecond > 0
}

// OwnerReported takes what an owner tells of a server.
func (b *Backends) OwnerReported(id string, sent time.Time, report *told.Report) {
	target := b.Server(id)
	if target == nil {
		return
	}
	target.Told.Observe(sent, report)
	if report.Behind > 0 {
		target.Stats.FoundBehind(time.Now(), time.Duration(report.Behind)*time.Millisecond)
	}
}

// LeastBehind is the least that a server is told to be behind: with less, replicas have what
// reads of usual bounds (1 s and more) must see, and what is known is only as exact as a
// round trip between regions.
const LeastBehind = 200 * time.Millisecond

// Report implements remote.Server.
func (o *ownedServer) Report() told.Report {
	now := time.Now()
	seen := o.Gate.Outlook(now)
	report := told.Report{
		Sequence: o.service.backends.reports.Add(1), Running: uint16(seen.Running), Waiting: uint16(seen.Waiting), Limit: uint16(seen.Limit),
	}
	for level := range report.Waits {
		report.Waits[level], report.Kept[level] = told.Milliseconds(seen.Anywhere[level]), told.Milliseconds(seen.OnlyHere[level])
	}
	report.Behind = told.Milliseconds(o.behind(now))
	return report
}

// behind returns how far behind the primary the server surely was when it last told its
// position; 0 if nothing recent shows that it was.
func (o *ownedServer) behind(now time.Time) time.Duration {
	at, seen := o.Stats.Position()
	if at.IsZero() || now.Sub(seen) >= told.Life || o.ID == o.service.Belief.Leader() {
		return 0
	}
	since, lacks := o.service.Proofs.Lacking(at)
	if behind := seen.Sub(since); lacks && behind >= LeastBehind {
		return behind
	}
	return 0
}

// TurnedAwayRest is for how long a service has turned no work away when that counts as over:
// longer than callers who were refused stay away as a rule.
const TurnedAwayRest = 2 * time.Second

// TurnedAway follows whether a service turns work away for want of room. It is safe for
// concurrent use.
type TurnedAway struct {
	mu    sync.Mutex
	since time.Time
	last  time.Time
	count int
	// most is the most urgent level that was refused.
	most urgency.Level
}

// Refused notes a refusal and reports whether it is the first, or of a more urgent level than
// all before.
func (t *TurnedAway) Refused(now time.Time, level urgency.Level) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.since.IsZero() || level < t.most
	if t.since.IsZero() {
		t.since, t.most, t.count = now, level, 0
	}
	t.last, t.most = now, min(t.most, level)
	t.count++
	return news
}

// Over reports, once, that the service turns no work away any longer, with how many were
// refused, for how long and the most urgent level of them.
func (t *TurnedAway) Over(now time.Time) (count int, lasted time.Duration, most urgency.Level, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() || now.Sub(t.last) < TurnedAwayRest {
		return 0, 0, 0, false
	}
	count, lasted, most = t.count, t.last.Sub(t.since), t.most
	t.since = time.Time{}
	return count, lasted, most, true
}

// lookAtRoom logs that the service turns no work away any longer.
func (s *Service) lookAtRoom(now time.Time) {
	if count, lasted, most, ended := s.TurnedAway.Over(now); ended {
		s.backends.log.Write(eventlog.RoomRegained, zap.String("service", s.Name), zap.Int("refused", count), zap.Duration("lasted", lasted), zap.Uint8("level", uint8(most)))
	}
}

// Count counts what became of work of a level for want of room.
func (s *Service) Count(level urgency.Level, decision string) {
	s.backends.metrics.room.WithLabelValues(s.Name, level.String(), decision).Inc()
}
