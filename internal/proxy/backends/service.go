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
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/upstream"
	"dewknot/internal/proxy/urgency"
)

// Server is the runtime state of a database server.
type Server struct {
	ID      string
	service string
	// incarnation identifies the server's process. logLoss is what its log may lack if an earlier
	// incarnation is known.
	incarnation int64
	logLoss     logLossState
	// cold limits this node's requests to the server while it is slow after its start.
	cold  cold.Limiter
	Stats *upstream.Stats
	Pool  *upstream.Pool
	Gate  *admission.Gate
	// indirectPath is set while the server cannot be reached directly.
	indirectPath atomic.Pointer[indirectPath]
	// checkingPath is set while the direct path to the server is checked.
	checkingPath atomic.Bool
	// owners ranks the nodes whose connections are used for callers' work. skippedOwner is one of
	// them that does not reach the server.
	owners       atomic.Pointer[ranking]
	skippedOwner atomic.Pointer[skippedOwner]
	// RemoteWork counts this node's work on the server that goes through an owner. LoadReports
	// holds the owner's load reports.
	RemoteWork  atomic.Int64
	LoadReports loadreport.View
}

// Service is the runtime state of a service.
type Service struct {
	backends    *Backends
	Name        string
	PrimaryView *leadership.PrimaryView
	Proofs      freshness.Proofs

	// proofRefresh lets one goroutine at a time ask the primary for a proof.
	proofRefresh proofRefresher

	// lastUsed is when a statement last asked for the service, in nanoseconds since the node's
	// start.
	lastUsed atomic.Int64
	// witnessAddress is the address of a node that recently reached the primary.
	witnessAddress atomic.Pointer[string]
	health         primaryHealth
	// outage tracks the time without a primary that answers, leaseOutage the time without leases to
	// use the primary if nodes agree on tenures.
	outage      leadership.OutageEstimator
	leaseOutage leadership.OutageEstimator
	// Rejections tracks whether the service rejects work for lack of headroom.
	Rejections  Rejections
	replication replicationWatch
	// prewarmed is set once connections were opened in advance.
	prewarmed atomic.Bool
	// replicationLock is a semaphore with one slot. It keeps surveys, which may pause replication,
	// apart from resuming replication. Both wait for servers while they hold it.
	replicationLock chan struct{}
	findingPrimary  sync.Mutex
	mutex           sync.Mutex
	machine         *failover.Machine
	// trace records the machine's steps; nil without tracing.
	trace     FailoverTrace
	lastPhase failover.Phase
}

// Service returns a service's runtime state and creates it on first use.
func (b *Backends) Service(name string) *Service {
	if found, ok := b.services.Load(name); ok {
		return found.(*Service)
	}
	rankDelay := b.takeoverDelay(name)
	created := &Service{
		backends: b, Name: name, PrimaryView: leadership.NewPrimaryView(), replicationLock: make(chan struct{}, 1),
		machine: failover.New(failover.Config{
			Node: b.options.Name, Incarnation: b.options.Incarnation, RankDelay: rankDelay, UsesTenures: b.Tenures != nil,
		}),
	}
	if b.ports.Trace != nil {
		created.trace = b.ports.Trace(name, rankDelay)
	}
	found, _ := b.services.LoadOrStore(name, created)
	return found.(*Service)
}

// pollAfterUse is how long after its last use a service is polled by a node that does not hold its
// lease.
const pollAfterUse = 10 * time.Second

// MarkUsed records that a statement asks for the service.
func (s *Service) MarkUsed(now time.Time) { s.lastUsed.Store(int64(now.Sub(s.backends.started))) }

// needsPolling reports whether this node polls the service: it holds the lease, takes part in a
// failover, or has recently served callers of the service. With many services, a node polls only
// few of them.
func (s *Service) needsPolling(now time.Time) bool {
	s.mutex.Lock()
	acting := s.machine.HoldsLease() || s.machine.Phase() != failover.Watching
	s.mutex.Unlock()
	lastUsed := s.lastUsed.Load()
	return acting || (lastUsed > 0 && now.Sub(s.backends.started)-time.Duration(lastUsed) < pollAfterUse)
}

// The takeovers of different nodes are delayed by different multiples of takeoverStep.
const (
	takeoverSteps = 8
	takeoverStep  = 250 * time.Millisecond
)

func (b *Backends) takeoverDelay(service string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(b.options.Name + "/" + service))
	return time.Duration(hash.Sum32()%takeoverSteps) * takeoverStep
}

// catalogChanged updates the runtime state to a new snapshot.
func (b *Backends) catalogChanged(previous, current *catalog.Snapshot) {
	if previous.Configuration != current.Configuration {
		b.setCeilings()
	}
	if Complete(current) && !Complete(previous) {
		b.catalogLoadedOnce.Do(func() { close(b.CatalogLoaded) })
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

// Complete reports whether a snapshot is sufficient to serve callers.
func Complete(snapshot *catalog.Snapshot) bool {
	return snapshot.Configuration != nil && len(snapshot.Servers) > 0
}

func (b *Backends) serverChanged(entry *catalog.Server) {
	logLoss := b.endEarlierIncarnation(entry)
	if found, ok := b.Servers.Load(entry.ID); !ok {
		stats := upstream.NewStats()
		created := &Server{
			ID: entry.ID, service: entry.Service, incarnation: entry.Incarnation, logLoss: logLoss, Stats: stats,
			Pool: upstream.NewPool(b.ports.Dialer,
				upstream.Target{Address: entry.Address, Service: entry.Service, Server: entry.ID},
				b.connectionCeiling(entry.Service), stats),
			Gate: newGate(entry.Slots),
		}
		created.Gate.UseConnections(poolConnections{created.Pool})
		created.Pool.OnFree(created.Gate.Wake)
		created.Pool.OnMismatch(func(err *upstream.MismatchError) {
			b.log.Write(eventlog.AnswerMismatched, zap.String("service", created.service),
				zap.String("server", created.ID), zap.String("reason", err.Reason))
		})
		b.Servers.Store(entry.ID, created)
	} else if entry.Leaving() {
		found.(*Server).Pool.Trim(time.Now())
	}
	if entry.ColdFor > 0 {
		b.Server(entry.ID).cold.Observe(time.Now(), entry.ColdFor)
	}
	if entry.Role == catalog.Primary && !entry.Gone && b.Tenures == nil {
		service := b.Service(entry.Service)
		replaced := service.PrimaryView.Primary() != ""
		if service.PrimaryView.ApplyAnnouncement(entry.ID, entry.Revision) {
			if replaced {
				b.RefreshLeases()
			}
			b.log.Write(eventlog.PrimaryAnnounced, zap.String("service", entry.Service),
				zap.String("server", entry.ID), zap.Stringer("revision", entry.Revision))
		}
	}
}

// Limits of one node's use of one server. The server's rejections may lower them.
const (
	// initialStatements and maxStatements bound the number of statements running at a time. One
	// node may have to carry all work.
	initialStatements = 8
	maxStatements     = 32
	// statementsPerSlot also bounds them, by the number of the server's slots. Work without a slot
	// waits in the node's queue, which is ordered, instead of the server's queue, where it would
	// occupy a connection.
	statementsPerSlot = 2
	// connectionShare is the part of a server's connections that a node may open for callers' work.
	// The rest is for requests about the server itself.
	connectionShare = 0.85
	// defaultConnections is the limit while the service is not configured.
	defaultConnections = 4
)

// poolConnections implements admission.Connections for a pool.
type poolConnections struct{ *upstream.Pool }

// HasIdle implements admission.Connections.
func (p poolConnections) HasIdle(principal string) bool {
	return p.Pool.HasIdle(upstream.Principal(principal))
}

// newGate returns the gate of a server with a number of slots; 0 if it is unknown.
func newGate(slots int) *admission.Gate {
	ceiling := maxStatements
	if slots > 0 {
		ceiling = min(ceiling, statementsPerSlot*min(slots, maxStatements))
	}
	return admission.NewGate(min(initialStatements, ceiling), ceiling)
}

// connectionCeiling returns the maximum number of connections from this node to one server.
func (b *Backends) connectionCeiling(service string) int {
	configuration := b.catalog.Current().Configuration
	if configuration == nil {
		return defaultConnections
	}
	configured, found := configuration.Services[service]
	if !found || configured.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, int(connectionShare*float64(configured.MaxConnections)))
}

func (b *Backends) setCeilings() {
	b.Servers.Range(func(_, value any) bool {
		server := value.(*Server)
		server.Pool.SetCeiling(b.connectionCeiling(server.service))
		return true
	})
}

func (b *Backends) forgetServer(id string) {
	if found, ok := b.Servers.LoadAndDelete(id); ok {
		found.(*Server).Pool.Close()
	}
}

// Server returns a server's runtime state, nil if it is not in the directory.
func (b *Backends) Server(id string) *Server {
	if found, ok := b.Servers.Load(id); ok {
		return found.(*Server)
	}
	return nil
}

// UsablePrimary returns the primary if this node may use it now, else nil.
func (s *Service) UsablePrimary(now time.Time) *Server {
	id := s.PrimaryView.Primary()
	if id == "" || !s.Usable(id, now) || !s.hasLeases(now) {
		return nil
	}
	if s.backends.Tenures != nil && s.PrimaryView.RecentlyDenied(id, now) {
		return nil
	}
	return s.backends.Server(id)
}

// OutageLeft returns how long the service is expected to stay without a primary that this node can
// use.
func (s *Service) OutageLeft(now time.Time) time.Duration {
	left := s.outage.ExpectedRest(now)
	if _, overdue := s.leaseOutage.Overdue(now); overdue {
		left = max(left, s.leaseOutage.ExpectedRest(now))
	}
	return left
}

// OutageOutlasts reports whether an outage has lasted longer than usual and is expected to last
// beyond a deadline.
func (s *Service) OutageOutlasts(now, deadline time.Time) bool {
	for _, outage := range []*leadership.OutageEstimator{&s.outage, &s.leaseOutage} {
		if left, overdue := outage.Overdue(now); overdue && now.Add(left).After(deadline) {
			return true
		}
	}
	return false
}

// leavingShare is the part of DrainBound during which a draining server may still receive work that
// no other server can take.
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
	window := time.Duration(leavingShare * float64(s.backends.options.DrainBound))
	return now.Sub(entry.LeavingSince) < window
}

// evacuatedShare is the part of EvacuationBound during which a server of an evacuated zone may
// still receive work that no other server can take, and transactions may end. It is longer than a
// planned change of the primary and leaves time for the evacuation to reach all nodes.
const evacuatedShare = 0.2

// withdrawn reports whether a server may no longer receive any work because its zone is evacuated.
func (s *Service) withdrawn(entry *catalog.Server, now time.Time) bool {
	window := time.Duration(evacuatedShare * float64(s.backends.options.EvacuationBound))
	return entry.Evacuated() && now.Sub(entry.EvacuatedSince) >= window
}

// Withdrawn reports whether open transactions on a server have to end because its zone is
// evacuated.
func (s *Service) Withdrawn(id string, now time.Time) bool {
	entry := s.backends.catalog.Current().Servers[id]
	return entry != nil && s.withdrawn(entry, now)
}

// Servable reports whether the service has a server whose zone is not evacuated and whose region is
// allowed by homes. A server that is gone or down counts, since it may return.
func (s *Service) Servable(now time.Time, homes ...catalog.Homes) bool {
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		if !s.withdrawn(entry, now) && s.backends.Allows(entry.Zone, homes...) {
			return true
		}
	}
	return len(s.backends.catalog.Current().ByService[s.Name]) == 0
}

// Allows reports whether work with the given homes may go to a zone.
func (b *Backends) Allows(zone string, homes ...catalog.Homes) bool {
	region := b.options.Regions[zone]
	for _, each := range homes {
		if !each.Allow(region) {
			return false
		}
	}
	return true
}

// submit passes an event to the failover machine and starts its effects.
func (s *Service) submit(event failover.Event) {
	s.submitAt(func(time.Time) failover.Event { return event })
}

// submitAt is like submit for an event that depends on the time at which it is processed.
func (s *Service) submitAt(eventAt func(now time.Time) failover.Event) {
	s.mutex.Lock()
	now := time.Now()
	event := eventAt(now)
	effects := s.machine.Step(now, event)
	if s.trace != nil {
		s.trace.Step(now.Sub(s.backends.started), event, effects)
	}
	phase := s.machine.Phase()
	if phase != s.lastPhase {
		s.backends.log.Write(eventlog.FailoverPhase, zap.String("service", s.Name), zap.Stringer("phase", phase),
			zap.String("leader", s.PrimaryView.Primary()), zap.Bool("holding", s.machine.HoldsLease()))
		s.backends.metrics.failovers.WithLabelValues(s.Name, phase.String()).Inc()
		s.lastPhase = phase
	}
	s.mutex.Unlock()
	for _, effect := range effects {
		go s.perform(effect, now)
	}
}

// perform carries out an effect that was decided at the given time.
func (s *Service) perform(effect failover.Effect, decided time.Time) {
	if s.backends.Tenures != nil && s.performCampaignStep(effect) {
		return
	}
	switch effect := effect.(type) {
	case failover.Corroborate:
		s.submit(s.corroborate(effect))
	case failover.Detour:
		s.useIndirectPath(effect.Server)
	case failover.ReadLease:
		s.readLease()
	case failover.ReclaimLease:
		s.reclaimLease()
	case failover.WriteLease:
		s.writeLease(effect)
	case failover.Survey:
		s.submit(failover.Surveyed{Reports: s.survey(effect)})
	case failover.StepDown:
		s.submit(s.stepDown(effect.Server))
	case failover.Resume:
		s.resumeReplication()
	case failover.Order:
		s.order(effect, decided)
	case failover.LeaderFound:
		if s.PrimaryView.Confirm(effect.ID, s.PrimaryView.Term()) {
			s.backends.log.Write(eventlog.PrimaryProved, zap.String("by", "survey"),
				zap.String("service", s.Name), zap.String("server", effect.ID))
		}
	}
}

// orderTimeout bounds an order to promote. An order without an answer is repeated.
const orderTimeout = 600 * time.Millisecond

func (s *Service) order(effect failover.Order, decided time.Time) {
	promotion := failover.Promotion{
		Service: s.Name, Server: effect.Target, Holder: s.backends.options.Name, Token: effect.Token,
	}
	if effect.Within > 0 {
		promotion.SendBy = decided.Add(effect.Within)
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	outcome := s.backends.ports.Promoter.Promote(ctx, promotion)
	s.backends.log.Write(eventlog.FailoverOrder, zap.String("service", s.Name), zap.String("leader", s.PrimaryView.Primary()),
		zap.String("target", effect.Target), zap.Uint64("token", effect.Token), zap.Stringer("outcome", outcome),
		zap.Duration("took", time.Since(decided)))
	s.submit(failover.Ordered{Outcome: outcome})
}

// Load returns how much work of this node runs on the server or waits for it.
func (t *Server) Load() int {
	running, waiting := t.Gate.Load()
	return running + waiting + int(t.RemoteWork.Load())
}

// ExpectedWait returns the expected wait for a slot of the server. It uses the owner's load report
// if there is a recent one, else the longer of the local queue's wait and the latency of recent
// answers.
func (t *Server) ExpectedWait(request admission.Request, now time.Time) time.Duration {
	if wait, known := t.ReportedWait(request.Class, urgency.Of(request.Priority), now); known {
		return wait
	}
	return max(t.Gate.Wait(request), t.Stats.Latency(now))
}
