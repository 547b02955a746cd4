package backends

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/cold"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/leadership"
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/upstream"
	"dewknot/internal/proxy/urgency"
)

// Server is the runtime state of a database server.
type Server struct {
	ID      string
	service string
	// born tells the server's life, lacks what its log may lack if an earlier one is known.
	born  int64
	lacks lostLog
	// cold counts what this node sends to the server while it is slow from its start.
	cold  cold.Limiter
	Stats *upstream.Stats
	Pool  *upstream.Pool
	Gate  *admission.Gate
	// detour is how the server is reached while it cannot be reached directly.
	detour atomic.Pointer[detour]
	// owners are the nodes whose connections callers' work uses, shunned one of
	// them that does not reach the server.
	owners  atomic.Pointer[ranking]
	shunned atomic.Pointer[shunned]
	// Remote counts this node's work on the server that goes through an owner, told is what
	// that one tells of the work which waits for the server.
	Remote atomic.Int64
	Told   told.View
}

// Service is the runtime state of a service.
type Service struct {
	backends *Backends
	Name     string
	Belief   *leadership.Belief
	Proofs   freshness.Proofs

	// refresh lets one goroutine at a time ask the primary for a proof.
	refresh refresher

	// lastUsed is when a statement last asked for the service, in nanoseconds
	// since the node's start.
	lastUsed atomic.Int64
	// witness is the address of a node that lately reached the primary.
	witness atomic.Pointer[string]
	health  leaderHealth
	// outage follows whether a primary answers, leaseless whether this node has leases to use it,
	// where nodes agree on primaries.
	outage    leadership.Outage
	leaseless leadership.Outage
	// TurnedAway follows whether the service turns work away for want of room.
	TurnedAway TurnedAway
	// warmed is set once connections for a survey were opened ahead.
	warmed atomic.Bool
	// replication holds one token: it keeps surveys, which may hold replicas,
	// apart from letting go. Both wait for servers while they have it.
	replication chan struct{}
	seeking     sync.Mutex
	mutex       sync.Mutex
	machine     *failover.Machine
	// trace records the machine; nil if it is not wanted.
	trace    FailoverTrace
	lastSeen failover.Phase
}

// Service returns a service's runtime state, which is made when it is first asked for.
func (b *Backends) Service(name string) *Service {
	if found, ok := b.services.Load(name); ok {
		return found.(*Service)
	}
	rank := b.takeoverRank(name)
	created := &Service{
		backends: b, Name: name, Belief: leadership.NewBelief(), replication: make(chan struct{}, 1),
		machine: failover.New(failover.Config{Node: b.options.Name, Life: b.options.Life, Rank: rank, Agreed: b.Tenures != nil}),
	}
	if b.ports.Trace != nil {
		created.trace = b.ports.Trace(name, rank)
	}
	found, _ := b.services.LoadOrStore(name, created)
	return found.(*Service)
}

// attentionSpan is how long after its last use a service is looked at by a node
// that does not hold its lease.
const attentionSpan = 10 * time.Second

// Used notes that a statement asks for the service.
func (s *Service) Used(now time.Time) { s.lastUsed.Store(int64(now.Sub(s.backends.started))) }

// attended reports whether this node looks at the service: it holds the lease,
// acts, or serves callers of the service. Of many services, a node looks at few.
func (s *Service) attended(now time.Time) bool {
	s.mutex.Lock()
	acting := s.machine.Holding() || s.machine.Phase() != failover.Watching
	s.mutex.Unlock()
	lastUsed := s.lastUsed.Load()
	return acting || (lastUsed > 0 && now.Sub(s.backends.started)-time.Duration(lastUsed) < attentionSpan)
}

// Takeovers of different nodes are spread over this span, in steps.
const (
	takeoverSteps = 8
	takeoverStep  = 250 * time.Millisecond
)

func (b *Backends) takeoverRank(service string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(b.options.Name + "/" + service))
	return time.Duration(hash.Sum32()%takeoverSteps) * takeoverStep
}

// catalogChanged brings the runtime in line with a new snapshot.
func (b *Backends) catalogChanged(previous, current *catalog.Snapshot) {
	if previous.Configuration != current.Configuration {
		b.setCeilings()
	}
	if Complete(current) && !Complete(previous) {
		b.informedOnce.Do(func() { close(b.Informed) })
	}
	for id, entry := range current.Servers {
		if previous.Servers[id] == entry {
			continue
		}
		b.serverChanged(entry)
	}
	for id := range previous.Servers {
		if _, kept := current.Servers[id]; !kept {
			b.forgetServer(id)
		}
	}
}

// Complete reports whether a snapshot suffices to serve callers.
func Complete(snapshot *catalog.Snapshot) bool {
	return snapshot.Configuration != nil && len(snapshot.Servers) > 0
}

func (b *Backends) serverChanged(entry *catalog.Server) {
	lacks := b.endEarlierLife(entry)
	if found, ok := b.Servers.Load(entry.ID); !ok {
		stats := upstream.NewStats()
		created := &Server{
			ID: entry.ID, service: entry.Service, born: entry.Born, lacks: lacks, Stats: stats,
			Pool: upstream.NewPool(b.ports.Dialer, upstream.Target{Address: entry.Address, Service: entry.Service, Server: entry.ID}, b.connectionCeiling(entry.Service), stats),
			Gate: newGate(entry.Slots),
		}
		created.Gate.Share(pooled{created.Pool})
		created.Pool.OnFree(created.Gate.Wake)
		b.Servers.Store(entry.ID, created)
	} else if entry.Leaving() {
		found.(*Server).Pool.Trim(time.Now())
	}
	if entry.ColdFor > 0 {
		b.Server(entry.ID).cold.Observe(time.Now(), entry.ColdFor)
	}
	if entry.Role == catalog.Primary && !entry.Gone && b.Tenures == nil {
		service := b.Service(entry.Service)
		replaced := service.Belief.Leader() != ""
		if service.Belief.Announce(entry.ID, entry.Revision) {
			if replaced {
				b.RefreshLeases()
			}
			b.log.Write(eventlog.PrimaryAnnounced, zap.String("service", entry.Service),
				zap.String("server", entry.ID), zap.Stringer("revision", entry.Revision))
		}
	}
}

// Limits of one node's use of one server, before the server's own refusals
// lower them.
const (
	// firstStatements and statementCeiling bound the statements running at a
	// time, at first and ever. One node may have to carry all work.
	firstStatements  = 8
	statementCeiling = 32
	// statementsPerSlot bounds the same by a server's slots: what has no slot waits at the
	// node, in its order, in place of the server's queue, where it would keep a connection
	// from others. On a day with replicas far behind, 2.5% of the operations are refused in
	// place of 4.2% (one play, 72 tenants before servers of 3 slots and 32 connections).
	statementsPerSlot = 2
	// connectionShare is the part of a server's connections that a node may
	// take; the rest is for questions about the server.
	connectionShare = 0.85
	// defaultConnections is the ceiling while the service is not configured.
	defaultConnections = 4
)

// pooled tells a gate of a pool's connections. It implements admission.Connections.
type pooled struct{ *upstream.Pool }

// HasIdle implements admission.Connections.
func (p pooled) HasIdle(principal string) bool { return p.Pool.HasIdle(upstream.Principal(principal)) }

// newGate returns the gate of a server with a number of slots; 0 if that is not known.
func newGate(slots int) *admission.Gate {
	ceiling := statementCeiling
	if slots > 0 {
		ceiling = min(ceiling, statementsPerSlot*slots)
	}
	return admission.NewGate(min(firstStatements, ceiling), ceiling)
}

// connectionCeiling returns the most connections this node opens to one server.
func (b *Backends) connectionCeiling(service string) int {
	configuration := b.catalog.Current().Configuration
	if configuration == nil {
		return defaultConnections
	}
	known, found := configuration.Services[service]
	if !found || known.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, int(connectionShare*float64(known.MaxConnections)))
}

func (b *Backends) setCeilings() {
	b.Servers.Range(func(_, value any) bool {
		known := value.(*Server)
		known.Pool.SetCeiling(b.connectionCeiling(known.service))
		return true
	})
}

func (b *Backends) forgetServer(id string) {
	if found, ok := b.Servers.LoadAndDelete(id); ok {
		found.(*Server).Pool.Shut()
	}
}

// Server returns a server's runtime state, nil if the directory does not name it.
func (b *Backends) Server(id string) *Server {
	if found, ok := b.Servers.Load(id); ok {
		return found.(*Server)
	}
	return nil
}

// Leader returns the server believed to be the primary, nil if none is usable.
func (s *Service) Leader(now time.Time) *Server {
	id := s.Belief.Leader()
	if id == "" || !s.Usable(id, now) || !s.leased(now) {
		return nil
	}
	if s.backends.Tenures != nil && s.Belief.Refuted(id, now) {
		return nil
	}
	return s.backends.Server(id)
}

// OutageLeft returns how long the service is expected to stay without a primary that this node
// can use.
func (s *Service) OutageLeft(now time.Time) time.Duration {
	left := s.outage.Left(now)
	if _, overdue := s.leaseless.Overdue(now); overdue {
		left = max(left, s.leaseless.Left(now))
	}
	return left
}

// OutageOutlasts reports whether an outage has lasted longer than usual and is expected to go on
// past a deadline.
func (s *Service) OutageOutlasts(now, deadline time.Time) bool {
	for _, outage := range []*leadership.Outage{&s.outage, &s.leaseless} {
		if left, overdue := outage.Overdue(now); overdue && now.Add(left).After(deadline) {
			return true
		}
	}
	return false
}

// leavingShare is the part of the drain bound during which a leaving server may
// still receive work that no other server can take.
const leavingShare = 0.7

// Usable reports whether a server may receive new work.
func (s *Service) Usable(id string, now time.Time) bool {
	entry := s.backends.catalog.Current().Servers[id]
	if entry == nil {
		return false
	}
	if !entry.Leaving() {
		return true
	}
	if s.withdrawn(entry, now) {
		return false
	}
	if !entry.Draining && !entry.Gone {
		return true
	}
	limit := time.Duration(leavingShare * float64(s.backends.options.DrainBound))
	return now.Sub(entry.LeavingSince) < limit
}

// evacuatedShare is the part of the evacuation bound during which a server of an evacuated zone
// may still receive work that no other can take, and transactions may end: a planned change of
// the primary takes less, and what the change of the zones takes to reach a node is left.
const evacuatedShare = 0.2

// withdrawn reports whether a server may receive nothing any more, since its zone is evacuated.
func (s *Service) withdrawn(entry *catalog.Server, now time.Time) bool {
	limit := time.Duration(evacuatedShare * float64(s.backends.options.EvacuationBound))
	return entry.Evacuated() && now.Sub(entry.EvacuatedSince) >= limit
}

// Withdrawn reports whether open transactions on a server have to end, since its zone is
// evacuated.
func (s *Service) Withdrawn(id string, now time.Time) bool {
	entry := s.backends.catalog.Current().Servers[id]
	return entry != nil && s.withdrawn(entry, now)
}

// Servable reports whether the service has a server whose zone is not evacuated, and to whose
// region work with some homes may go. One that is gone or down may come back.
func (s *Service) Servable(now time.Time, homes ...catalog.Homes) bool {
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		if !s.withdrawn(entry, now) && s.backends.Allows(entry.Zone, homes...) {
			return true
		}
	}
	return len(s.backends.catalog.Current().ByService[s.Name]) == 0
}

// Allows reports whether work with some homes may go to a zone.
func (b *Backends) Allows(zone string, homes ...catalog.Homes) bool {
	region := b.options.Regions[zone]
	for _, each := range homes {
		if !each.Allow(region) {
			return false
		}
	}
	return true
}

// submit gives the failover machine an event and carries out its effects.
func (s *Service) submit(event failover.Event) {
	s.mutex.Lock()
	now := time.Now()
	effects := s.machine.Step(now, event)
	if s.trace != nil {
		s.trace.Step(now.Sub(s.backends.started), event, effects)
	}
	phase := s.machine.Phase()
	if phase != s.lastSeen {
		s.backends.log.Write(eventlog.FailoverPhase, zap.String("service", s.Name), zap.Stringer("phase", phase),
			zap.String("leader", s.Belief.Leader()), zap.Bool("holding", s.machine.Holding()))
		s.backends.metrics.failovers.WithLabelValues(s.Name, phase.String()).Inc()
		s.lastSeen = phase
	}
	s.mutex.Unlock()
	for _, effect := range effects {
		go s.perform(effect, now)
	}
}

// perform carries out an effect that was decided at a time.
func (s *Service) perform(effect failover.Effect, decided time.Time) {
	if s.backends.Tenures != nil && s.performTenure(effect) {
		return
	}
	switch effect := effect.(type) {
	case failover.Corroborate:
		s.submit(s.corroborate(effect))
	case failover.Detour:
		s.takeDetour(effect.Server)
	case failover.ReadLease:
		s.readLease()
	case failover.ReclaimLease:
		s.reclaimLease()
	case failover.WriteLease:
		s.writeLease(effect)
	case failover.Survey:
		s.submit(failover.Surveyed{Reports: s.survey(effect)})
	case failover.Resume:
		s.resumeReplication()
	case failover.Order:
		s.order(effect, decided)
	case failover.LeaderFound:
		if s.Belief.Confirm(effect.ID, s.Belief.Term()) {
			s.backends.log.Write(eventlog.PrimaryProved, zap.String("by", "survey"), zap.String("service", s.Name), zap.String("server", effect.ID))
		}
	}
}

// orderLimit bounds an order to promote; one that is not answered is given again.
const orderLimit = 600 * time.Millisecond

func (s *Service) order(effect failover.Order, decided time.Time) {
	if effect.Within > 0 && time.Since(decided) > effect.Within {
		// This process stood still; another node may be at work.
		s.submit(failover.Ordered{Outcome: failover.NotSent})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
	defer cancel()
	outcome := s.backends.ports.Promoter.Promote(ctx, s.Name, effect.Target, s.backends.options.Name, effect.Token)
	s.backends.log.Write(eventlog.FailoverOrder, zap.String("service", s.Name), zap.String("leader", s.Belief.Leader()),
		zap.String("target", effect.Target), zap.Uint64("token", effect.Token), zap.Stringer("outcome", outcome))
	s.submit(failover.Ordered{Outcome: outcome})
}

// Load returns the work of this node that a server has or that waits for it.
func (t *Server) Load() int {
	running, waiting := t.Gate.Load()
	return running + waiting + int(t.Remote.Load())
}

// ExpectedWait returns how long work waits for a slot of the server. Where an owner
// orders the work, what it tells stands for that, or what answers have lately taken.
func (t *Server) ExpectedWait(request admission.Request, now time.Time) time.Duration {
	if wait, known := t.Wait(request.Class, urgency.Of(request.Priority), now); known {
		return wait
	}
	return max(t.Gate.Wait(request), t.Stats.Latency(now))
}
