package backends

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/cold"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/urgency"
)

// ReportedLoad returns what the owner has reported about the work waiting for the server, and the
// report's age.
func (t *Server) ReportedLoad(class admission.Class, level urgency.Level, now time.Time) (admission.QueueEstimate, time.Duration) {
	report, age, recent := t.LoadReports.Newest(now)
	if !recent {
		return admission.QueueEstimate{}, 0
	}
	wait, _ := t.ReportedWait(class, level, now)
	return admission.QueueEstimate{Recent: true, Wait: wait, Waiting: int(report.Waiting), Sent: int(t.RemoteWork.Load())}, age
}

// ReportedWait returns the wait for work as reported by the server's owner; false if there is no
// recent report.
func (t *Server) ReportedWait(class admission.Class, level urgency.Level, now time.Time) (time.Duration, bool) {
	if class == admission.Anywhere {
		return t.LoadReports.Wait(now, level)
	}
	return t.LoadReports.WaitOnlyHere(now, level)
}

// Admit waits for a slot for work on this node's own connections to a server, and reports whether
// the work may run. Requests to a cold server are rate limited first.
func (b *Backends) Admit(target *Server, request admission.Request, deadline time.Time) bool {
	if !target.cold.Allow(time.Now(), b.coldBound(target.service), request.Class == admission.Continuation) {
		return false
	}
	return target.Gate.Enter(request, deadline)
}

// coldBound returns the limit of requests to a cold server of a service.
func (b *Backends) coldBound(service string) cold.Bound {
	configuration := b.catalog.Current().Configuration
	if configuration == nil {
		return cold.Bound{}
	}
	return cold.Bound{
		PerSecond: configuration.Services[service].ColdPerSecond, Overage: b.options.ColdOverage,
		Slack: b.options.ColdSlack,
	}
}

// coldLimited reports whether a server is cold and requests to it are limited.
func (b *Backends) coldLimited(target *Server, now time.Time) bool {
	return target.cold.Cold(now) && b.coldBound(target.service).PerSecond > 0
}

// OwnerReported records an owner's load report of a server.
func (b *Backends) OwnerReported(id string, sent time.Time, report *loadreport.Report) {
	target := b.Server(id)
	if target == nil {
		return
	}
	target.LoadReports.Observe(sent, report)
	if report.Behind > 0 {
		target.Stats.RecordLag(time.Now(), time.Duration(report.Behind)*time.Millisecond)
	}
}

// MinReportedLag is the smallest lag that is reported of a server. Below it a replica can serve
// reads with common staleness bounds, and the estimate is no more precise than a round trip between
// regions.
const MinReportedLag = 200 * time.Millisecond

// Report implements remote.Server.
func (o *ownedServer) Report() loadreport.Report {
	now := time.Now()
	forecast := o.Gate.Forecast(now)
	report := loadreport.Report{
		Sequence: o.service.backends.reportSequence.Add(1), Running: uint16(forecast.Running),
		Waiting: uint16(forecast.Waiting), Limit: uint16(forecast.Limit),
	}
	for level := range report.Waits {
		report.Waits[level], report.WaitsOnlyHere[level] = loadreport.Milliseconds(forecast.Anywhere[level]),
			loadreport.Milliseconds(forecast.OnlyHere[level])
	}
	report.Behind = loadreport.Milliseconds(o.behind(now))
	return report
}

// behind returns a lower bound of the server's lag behind the primary at the time of its last known
// position; 0 if no recent answer shows a lag.
func (o *ownedServer) behind(now time.Time) time.Duration {
	at, seenAt := o.Stats.Position()
	if at.IsZero() || now.Sub(seenAt) >= loadreport.MaxAge || o.ID == o.service.PrimaryView.Primary() {
		return 0
	}
	since, lacks := o.service.Proofs.FirstMissing(at)
	if behind := seenAt.Sub(since); lacks && behind >= MinReportedLag {
		return behind
	}
	return 0
}

// RejectionQuietPeriod is how long after the last rejection a service counts as no longer rejecting
// work. It is longer than rejected callers usually wait before they retry.
const RejectionQuietPeriod = 2 * time.Second

// Rejections tracks whether a service rejects work for lack of headroom. It is safe for concurrent
// use.
type Rejections struct {
	mu    sync.Mutex
	since time.Time
	last  time.Time
	count int
	// mostUrgent is the most urgent level that was rejected.
	mostUrgent urgency.Level
}

// Record records a rejection. It reports whether it is the first one, or of a more urgent level
// than all before.
func (r *Rejections) Record(now time.Time, level urgency.Level) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	notable := r.since.IsZero() || level < r.mostUrgent
	if r.since.IsZero() {
		r.since, r.mostUrgent, r.count = now, level, 0
	}
	r.last, r.mostUrgent = now, min(r.mostUrgent, level)
	r.count++
	return notable
}

// Ended reports, once, that the service no longer rejects work. It returns how many requests were
// rejected, over which time, and their most urgent level.
func (r *Rejections) Ended(now time.Time) (count int, lasted time.Duration, mostUrgent urgency.Level, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() || now.Sub(r.last) < RejectionQuietPeriod {
		return 0, 0, 0, false
	}
	count, lasted, mostUrgent = r.count, r.last.Sub(r.since), r.mostUrgent
	r.since = time.Time{}
	return count, lasted, mostUrgent, true
}

// logHeadroomRegained logs that the service no longer rejects work.
func (s *Service) logHeadroomRegained(now time.Time) {
	if count, lasted, mostUrgent, ended := s.Rejections.Ended(now); ended {
		s.backends.log.Write(eventlog.RoomRegained, zap.String("service", s.Name), zap.Int("refused", count),
			zap.Duration("lasted", lasted), zap.Uint8("level", uint8(mostUrgent)))
	}
}

// CountDecision counts a decision that was made about work of a level for lack of headroom.
func (s *Service) CountDecision(level urgency.Level, decision string) {
	s.backends.metrics.headroom.WithLabelValues(s.Name, level.String(), decision).Inc()
}
