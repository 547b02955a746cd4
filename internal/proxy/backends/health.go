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

// Times of the look at the services.
const (
	// lookInterval is the pause between two looks.
	lookInterval = 100 * time.Millisecond
	// pauseLimit: a longer gap between looks means that the process stood still.
	pauseLimit = 250 * time.Millisecond
	// SilenceLimit is how long a server with work may be silent before it is asked.
	SilenceLimit = 250 * time.Millisecond
	// idleLimit is how long a primary without work may be silent before the
	// holder of the lease asks it.
	idleLimit = time.Second
	// pingLimit bounds the answer to a question that needs no slot.
	pingLimit = 250 * time.Millisecond
	// pingsToDown is how many questions in a row have to go unanswered. Other
	// nodes are asked as well before the primary is replaced.
	pingsToDown = 1
	// trimInterval is the pause between closing idle connections.
	trimInterval = time.Second
	// seekLimit bounds one round of asking all servers who is the primary.
	seekLimit = 300 * time.Millisecond
)

// leaderHealth is the evidence against the primary. It is used by the looking
// goroutine only, except for results that come through the channel.
type leaderHealth struct {
	leader string
	missed int
	asking bool
	// reported is set once the log tells that the primary does not answer.
	reported bool
	results  chan standing
}

// watchServices looks at all services at regular times.
func (b *Backends) watchServices(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	last, trimmed, told := time.Now(), time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.nudged:
		}
		now := time.Now()
		b.look(now)
		stoodStill := now.Sub(last) > pauseLimit
		last = now
		b.services.Range(func(_, value any) bool {
			if service := value.(*Service); service.attended(now) {
				service.look(now, stoodStill)
				service.lookAtRoom(now)
			}
			return true
		})
		if b.TrafficDue(now.Sub(told)) {
			told = now
			b.LogTraffic()
		}
		if now.Sub(trimmed) > trimInterval {
			trimmed = now
			b.log.Flush()
			b.trim(now)
		}
	}
}

func (b *Backends) trim(now time.Time) {
	b.Servers.Range(func(_, value any) bool {
		value.(*Server).Pool.TrimIdle(now)
		return true
	})
}

// look gathers evidence and gives the failover machine an observation.
func (s *Service) look(now time.Time, stoodStill bool) {
	leader := s.lastPrimary()
	if leader != s.health.leader || stoodStill || s.health.results == nil {
		s.health = leaderHealth{leader: leader, results: make(chan standing, 1)}
	}
	s.takePing()
	target := s.backends.Server(leader)
	down := target != nil && s.health.missed >= pingsToDown
	s.reportHealth(down)
	if target != nil && !s.health.asking && s.wantsPing(target, now) {
		s.ping(target)
	}
	if s.backends.Tenures == nil && (target == nil || down) {
		s.seek()
	}
	s.outage.Note(now, target != nil && !down)
	if s.backends.Tenures != nil {
		view := s.backends.Tenures.View(s.Name)
		s.leaseless.Note(now, view != nil && view.Covers(now))
	}
	observation := s.observe(leader, down)
	if observation.Voiceless && s.holding() {
		s.Warm(upstream.Own)
	}
	s.submit(failover.Observed{Observation: observation})
}

// reportHealth logs when the primary stops or starts to answer this node.
func (s *Service) reportHealth(down bool) {
	if down == s.health.reported {
		return
	}
	s.health.reported = down
	event := eventlog.ServerReachable
	if down {
		event = eventlog.ServerUnreachable
	}
	s.backends.log.Write(event, zap.String("service", s.Name), zap.String("server", s.health.leader), zap.Int("missed", s.health.missed))
}

func (s *Service) takePing() {
	select {
	case shown := <-s.health.results:
		s.health.asking = false
		switch shown {
		case inconclusive:
		case silent:
			s.health.missed++
		default:
			s.health.missed = 0
		}
	default:
	}
}

// wantsPing reports whether the primary's silence calls for a question.
func (s *Service) wantsPing(target *Server, now time.Time) bool {
	if s.health.missed > 0 {
		return true
	}
	idle := target.Stats.SinceSign(now)
	if failures, _ := target.Stats.Failures(); failures > 0 {
		return true
	}
	if target.Stats.Unanswered(now) > SilenceLimit {
		return true
	}
	return idle > idleLimit && s.holding()
}

func (s *Service) holding() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.Holding()
}

func (s *Service) ping(target *Server) {
	s.health.asking = true
	results := s.health.results
	go func() {
		results <- s.prove(target, reserve, time.Now().Add(pingLimit))
	}()
}

func (s *Service) observe(leader string, down bool) failover.Observation {
	observation := failover.Observation{
		Leader: leader, LeaderDown: down, SynchronousReplicas: s.synchronousReplicas(), Degraded: s.backends.Degraded.Load(),
	}
	// A primary whose entry vanished so long ago that it was forgotten is gone all the same.
	observation.LeaderGone = leader != ""
	homes := s.routesHomes()
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		if entry.ID == leader {
			observation.LeaderDraining = entry.Draining || entry.Evacuated()
			observation.LeaderGone = entry.Gone
			observation.LeaderAway = !s.backends.Allows(entry.Zone, homes...)
		}
		if entry.Gone {
			continue
		}
		observation.Servers = append(observation.Servers, failover.Server{
			ID: entry.ID, Leaving: entry.Leaving(), Away: !s.backends.Allows(entry.Zone, homes...),
		})
	}
	if s.backends.Tenures != nil {
		s.observeTenure(&observation, time.Now())
	}
	return observation
}

// routesHomes returns the homes of the service's routes: a primary where all of them may send
// their work serves all.
func (s *Service) routesHomes() []catalog.Homes {
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

// seek asks the servers, other than the one believed in, who is the primary.
func (s *Service) seek() {
	if !s.seeking.TryLock() {
		return
	}
	go func() {
		defer s.seeking.Unlock()
		now := time.Now()
		believed := s.Belief.Leader()
		for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
			target := s.backends.Server(entry.ID)
			if entry.ID == believed || entry.Gone || target == nil || s.Belief.Refuted(entry.ID, now) || target.Stats.Avoided(now) {
				continue
			}
			if s.prove(target, s.backends.lendOwn, time.Now().Add(seekLimit)) == leading {
				return
			}
		}
	}()
}
