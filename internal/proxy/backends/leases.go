package backends

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/placement"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/objectstore"
)

const (
	// silentStoreTimeout bounds a call to the store while the store does not answer watches either.
	silentStoreTimeout = 400 * time.Millisecond
	// briefStoreTimeout bounds a write that an urgent step waits for: some round trips between
	// regions.
	briefStoreTimeout = 150 * time.Millisecond
)

// LoadLeases reads, at the start, the leases that an earlier incarnation of this node may hold.
// Missing leases are created later, once the members are known. A node of a fleet that starts for
// the first time has no earlier incarnation.
func (b *Backends) LoadLeases(ctx context.Context) {
	if b.options.FirstStart {
		return
	}
	for ctx.Err() == nil {
		objects, ok := b.listLeases(ctx)
		if !ok {
			time.Sleep(leaseRetryDelay)
			continue
		}
		for b.catalog.Current().Configuration == nil && ctx.Err() == nil {
			time.Sleep(configurationPollInterval)
		}
		b.submitLeases(objects)
		return
	}
}

// submitLeases passes lease objects to the failover machines.
func (b *Backends) submitLeases(objects []objectstore.Object) {
	for _, object := range objects {
		b.Service(object.Name).submit(b.decodeLease(object))
	}
}

// leaseRefreshDelay is about how long after a change of the primary the leases are listed, to learn
// the present holders and deputies.
const leaseRefreshDelay = 2 * time.Second

// RefreshLeases schedules a listing of the leases. The delay is random to spread the calls of many
// nodes; changes in quick succession cause one call.
func (b *Backends) RefreshLeases() {
	if !b.refreshingLeases.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(leaseRefreshDelay/2+rand.N(leaseRefreshDelay), func() {
		b.refreshingLeases.Store(false)
		if b.Stopping.Load() {
			return
		}
		b.PollLeases(context.Background())
	})
}

// PollLeases reads the leases' holders and deputies if any lease has changed.
func (b *Backends) PollLeases(ctx context.Context) {
	objects, changed, err := b.ListChanged(ctx, b.options.Kinds.Leases, network.StoreCallTimeout)
	if err == nil && changed {
		b.submitLeases(objects)
	}
}

// configurationPollInterval is the pause between checks for the first configuration, which comes
// with the node's first listings.
const configurationPollInterval = 50 * time.Millisecond

// leaseRetryDelay is the pause before a failed listing of the leases is repeated.
const leaseRetryDelay = time.Second

func (b *Backends) listLeases(ctx context.Context) ([]objectstore.Object, bool) {
	objects, err := b.ListShared(ctx, b.options.Kinds.Leases, network.StoreCallTimeout)
	return objects, err == nil
}

// CreateLeases creates the missing leases of the services for which this node ranks first among the
// members. This spreads the holders over the nodes, and each lease is created about once when a
// fleet starts. Nodes with different lists of members may both try; one of them gets a conflict.
func (b *Backends) CreateLeases(ctx context.Context) bool {
	configuration := b.catalog.Current().Configuration
	if configuration == nil {
		return false
	}
	ranked := b.rankedFirst(configuration)
	if len(ranked) == 0 {
		return true
	}
	existing, ok := b.existingLeases(ctx, ranked)
	if !ok {
		return false
	}
	for _, name := range ranked {
		if !existing[name] {
			b.Service(name).submit(b.missingLease())
		}
	}
	return true
}

// maxSingleReads is up to how many leases are read one by one instead of by a listing. In a fleet
// with as many services as nodes, each node creates about one lease.
const maxSingleReads = 4

// existingLeases returns which of some services have a lease.
func (b *Backends) existingLeases(ctx context.Context, services []string) (map[string]bool, bool) {
	existing := map[string]bool{}
	if len(services) > maxSingleReads {
		objects, ok := b.listLeases(ctx)
		for _, object := range objects {
			existing[object.Name] = true
		}
		return existing, ok
	}
	limited, cancel := context.WithTimeout(ctx, network.StoreCallTimeout)
	defer cancel()
	for _, name := range services {
		_, err := b.ports.Store.GetStale(limited, b.options.Kinds.Leases, name)
		if err != nil && objectstore.OutcomeOf(err) != objectstore.NotFound {
			return nil, false
		}
		existing[name] = err == nil
	}
	return existing, true
}

// rankedFirst returns the services for which this node ranks first among the members.
func (b *Backends) rankedFirst(configuration *catalog.Configuration) []string {
	candidates := []placement.Candidate{{ID: b.options.Name}}
	for _, member := range *b.Members.Load() {
		candidates = append(candidates, placement.Candidate{ID: member.Name})
	}
	var first []string
	for name := range configuration.Services {
		if placement.Rank(name, "", candidates, 1)[0] == b.options.Name {
			first = append(first, name)
		}
	}
	return first
}

// missingLease returns the event that the store's current era has no lease object.
func (b *Backends) missingLease() failover.LeaseKnown {
	current, err := era.New(b.StoreEra(), 0)
	if err != nil {
		// The era is out of range; all answers of the store are rejected then, so none names this
		// era.
		current = 0
	}
	return failover.LeaseKnown{Missing: true, Revision: current}
}

func (b *Backends) decodeLease(object objectstore.Object) failover.LeaseKnown {
	event := failover.LeaseKnown{Revision: object.Revision}
	if err := json.Unmarshal(object.Content, &event.Lease); err != nil {
		// An unreadable lease is replaced at its revision.
		b.RefuseEntry(b.options.Kinds.Leases, &object, err)
		event.Lease = failover.Lease{}
	}
	return event
}

// deputies returns the nodes that may act for this one while the store is unreachable. Nodes of
// other zones come first, since a zone may fail as a whole.
func (b *Backends) deputies(service string) []string {
	members := b.Members.Load()
	if members == nil {
		return nil
	}
	var otherZones, sameZone []placement.Candidate
	for _, member := range *members {
		candidate := placement.Candidate{ID: member.Name}
		if member.Zone == b.options.Zone {
			sameZone = append(sameZone, candidate)
		} else {
			otherZones = append(otherZones, candidate)
		}
	}
	ranked := append(placement.Rank(service, "", otherZones, failover.MaxDeputies),
		placement.Rank(service, "", sameZone, failover.MaxDeputies)...)
	return ranked[:min(len(ranked), failover.MaxDeputies)]
}

func (s *Service) readLease() {
	timeout := network.StoreCallTimeout
	if s.backends.StoreLost() {
		timeout = silentStoreTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	object, err := s.backends.ports.Store.Get(ctx, s.backends.options.Kinds.Leases, s.Name)
	switch {
	case err == nil:
		s.submit(s.backends.decodeLease(object))
	case objectstore.OutcomeOf(err) == objectstore.NotFound:
		s.submit(s.backends.missingLease())
	default:
		s.submit(failover.LeaseKnown{Failed: true})
	}
}

// StoreRestored tells the failover machines that leases may be lost.
func (b *Backends) StoreRestored() {
	b.services.Range(func(_, value any) bool {
		value.(*Service).submit(failover.StoreRestored{})
		return true
	})
}

// reclaimSpread is the duration over which lease holders read their leases again after the store
// was restored from an older copy. It bounds the load on the store: with 1,000 services some 330
// calls a second to read the leases, and as many to write them. A primary that fails meanwhile is
// replaced by a node without a lease, which takes 0.4 s longer.
const reclaimSpread = 3 * time.Second

// reclaimLease reads the lease object again after a random delay.
func (s *Service) reclaimLease() {
	time.AfterFunc(rand.N(reclaimSpread), func() {
		if !s.backends.Stopping.Load() && s.watching() {
			s.readLease()
		}
	})
}

// watching reports whether the failover machine is in the phase Watching. In other phases it reads
// the lease itself if it needs it.
func (s *Service) watching() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.Phase() == failover.Watching
}

func (s *Service) writeLease(effect failover.WriteLease) {
	effect.Lease.Deputies = s.backends.deputies(s.Name)
	content, err := json.Marshal(effect.Lease)
	if err != nil {
		s.submit(failover.LeaseWritten{Result: failover.Uncertain})
		return
	}
	timeout := network.StoreCallTimeout
	if effect.Brief {
		timeout = briefStoreTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	kind := s.backends.options.Kinds.Leases
	var object objectstore.Object
	if effect.Create {
		object, err = s.backends.ports.Store.Create(ctx, kind, s.Name, content)
	} else {
		object, err = s.backends.ports.Store.Replace(ctx, kind, s.Name, effect.Revision, content)
	}
	result := failover.Written
	if err != nil {
		result = failover.Uncertain
		if objectstore.OutcomeOf(err) == objectstore.Conflict {
			result = failover.Superseded
		}
	}
	s.backends.log.Write(eventlog.FailoverLease, zap.String("service", s.Name),
		zap.Uint64("epoch", effect.Lease.Epoch), zap.Bool("written", result == failover.Written), zap.Error(err))
	s.submit(failover.LeaseWritten{Result: result, Revision: object.Revision})
}
