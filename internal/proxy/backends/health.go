package backends

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/upstream"
)

// Intervals and timeouts of the health checks.
const (
	// pollInterval is the pause between two polls of the services.
	pollInterval = 100 * time.Millisecond
	// maxPollGap is the longest gap between polls; after a longer one the process was suspended.
	maxPollGap = 250 * time.Millisecond
	// SilenceTimeout is how long requests to a server may stay unanswered before it is pinged.
	SilenceTimeout = 250 * time.Millisecond
	// idleTimeout is how long a primary without work may send nothing before the lease holder pings
	// it.
	idleTimeout = time.Second
	// pingTimeout bounds a ping, which needs no slot of the server.
	pingTimeout = 250 * time.Millisecond
	// missedPingsToDown is how many pings in a row a server has to miss to count as down. Other
	// nodes are asked too before the primary is replaced.
	missedPingsToDown = 1
	// trimInterval is the pause between closing idle connections.
	trimInterval = time.Second
	// findPrimaryTimeout bounds the wait for one server's answer in a search for the primary.
	findPrimaryTimeout = 300 * time.Millisecond
)

// primaryHealth is the evidence against the primary. It is used only by the goroutine that polls
// the services, except for the channel of results.
type primaryHealth struct {
	primary     string
	missedPings int
	pinging     bool
	// loggedDown is set once the log says that the primary does not answer.
	loggedDown bool
	results    chan probeResult
}

// watchServices polls the services at regular intervals.
func (b *Backends) watchServices(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastPoll, lastTrim, lastTrafficLog := time.Now(), time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.pollNow:
		}
		now := time.Now()
		b.beforePoll(now)
		suspended := now.Sub(lastPoll) > maxPollGap
		lastPoll = now
		b.services.Range(func(_, value any) bool {
			if service := value.(*Service); service.needsPolling(now) {
				service.poll(now, suspended)
				service.logHeadroomRegained(now)
			}
			return true
		})
		if b.TrafficLogDue(now.Sub(lastTrafficLog)) {
			lastTrafficLog = now
			b.LogTraffic()
		}
		if now.Sub(lastTrim) > trimInterval {
			lastTrim = now
			b.log.Flush()
			b.trim(now)
		}
	}
}

func (b *Backends) trim(now time.Time) {
	b.Servers.Range(func(_, value any) bool {
		target := value.(*Server)
		target.Pool.TrimIdle(now)
		b.checkDirectPath(target, now)
		return true
	})
}

// poll gathers evidence and passes an observation to the failover machine.
func (s *Service) poll(now time.Time, suspended bool) {
	primary := s.lastPrimary()
	if primary != s.health.primary || suspended || s.health.results == nil {
		s.health = primaryHealth{primary: primary, results: make(chan probeResult, 1)}
	}
	s.collectPing()
	target := s.backends.Server(primary)
	down := target != nil && s.health.missedPings >= missedPingsToDown
	s.reportHealth(down)
	if target != nil && !s.health.pinging && s.needsPing(target, now) {
		s.ping(target)
	}
	if s.backends.Tenures == nil && (target == nil || down) {
		s.findPrimary()
	}
	s.outage.Record(now, target != nil && !down)
	if s.backends.Tenures != nil {
		view := s.backends.Tenures.View(s.Name)
		s.leaseOutage.Record(now, view != nil && view.Covers(now))
	}
	observation := s.observe(primary, down)
	if observation.Voiceless && s.holdsLease() {
		s.Prewarm(upstream.Own)
	}
	s.submit(failover.Observed{Observation: observation})
}

// reportHealth logs when the primary stops or starts to answer this node.
func (s *Service) reportHealth(down bool) {
	if down == s.health.loggedDown {
		return
	}
	s.health.loggedDown = down
	event := eventlog.ServerReachable
	if down {
		event = eventlog.ServerUnreachable
	}
	s.backends.log.Write(event, zap.String("service", s.Name), zap.String("server", s.health.primary),
		zap.Int("missed", s.health.missedPings))
}

func (s *Service) collectPing() {
	select {
	case result := <-s.health.results:
		s.health.pinging = false
		switch result {
		case probeInconclusive:
		case probeSilent:
			s.health.missedPings++
		default:
			s.health.missedPings = 0
		}
	default:
	}
}

// needsPing reports whether the primary has to be pinged, since it may be down or, at the lease
// holder, has been idle for long.
func (s *Service) needsPing(target *Server, now time.Time) bool {
	if s.health.missedPings > 0 {
		return true
	}
	idle := target.Stats.SinceAnyAnswer(now)
	if failures, _ := target.Stats.Failures(); failures > 0 {
		return true
	}
	if target.Stats.Unanswered(now) > SilenceTimeout {
		return true
	}
	return idle > idleTimeout && s.holdsLease()
}

func (s *Service) holdsLease() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.HoldsLease()
}

func (s *Service) ping(target *Server) {
	s.health.pinging = true
	results := s.health.results
	go func() {
		results <- s.probe(target, acquireReserved, time.Now().Add(pingTimeout))
	}()
}

func (s *Service) observe(primary string, down bool) failover.Observation {
	observation := failover.Observation{
		Leader: primary, LeaderDown: down, SynchronousReplicas: s.synchronousReplicas(), Degraded: s.backends.Degraded.Load(),
	}
	// A primary whose entry is no longer in the directory counts as gone.
	observation.LeaderGone = primary != ""
	homes := s.routeHomes()
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		if entry.ID == primary {
			observation.LeaderDraining = entry.Draining || entry.Evacuated()
			observation.LeaderGone = entry.Gone
			observation.LeaderAway = !s.backends.Allows(entry.Zone, homes...)
		}
		if entry.Gone {
			if entry.ID != primary && observation.SynchronousReplicas > 0 {
				observation.Departed = append(observation.Departed, entry.ID)
			}
			continue
		}
		observation.Servers = append(observation.Servers, failover.Server{
			ID: entry.ID, Leaving: entry.Leaving(), Away: !s.backends.Allows(entry.Zone, homes...),
		})
	}
	if s.backends.Tenures != nil {
		s.observeTenure(&observation, time.Now())
	}
	if observation.SynchronousReplicas > 0 {
		observation.ReplicationStalled = s.replicationStalled(time.Now())
	}
	return observation
}

// routeHomes returns the homes of the service's routes. A primary must be in a region that all of
// them allow.
func (s *Service) routeHomes() []catalog.Homes {
	configuration := s.backends.catalog.Current().Configuration
	if configuration == nil || !configuration.HasHomes {
		return nil
	}
	var homes []catalog.Homes
	for _, route := range configuration.Routes {
		if route.Service == s.Name && len(route.Homes) > 0 {
			homes = append(homes, route.Homes)
		}
	}
	return homes
}

func (s *Service) synchronousReplicas() int {
	if configuration := s.backends.catalog.Current().Configuration; configuration != nil {
		return configuration.Services[s.Name].SynchronousReplicas
	}
	return 0
}

// findPrimary asks the servers other than the current primary whether they are the primary, until
// one of them proves to be.
func (s *Service) findPrimary() {
	if !s.findingPrimary.TryLock() {
		return
	}
	go func() {
		defer s.findingPrimary.Unlock()
		now := time.Now()
		current := s.PrimaryView.Primary()
		for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
			target := s.backends.Server(entry.ID)
			if entry.ID == current || entry.Gone || target == nil || s.PrimaryView.RecentlyDenied(entry.ID, now) ||
				target.Stats.Avoided(now) {
				continue
			}
			if s.probe(target, s.backends.acquireShared, time.Now().Add(findPrimaryTimeout)) == probePrimary {
				return
			}
		}
	}()
}
