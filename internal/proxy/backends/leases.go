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
	// silentStoreLimit bounds a call to the store while it does not answer the watches either.
	silentStoreLimit = 400 * time.Millisecond
	// briefStoreLimit bounds the note of an order: some round trips between regions.
	briefStoreLimit = 150 * time.Millisecond
)

// ReadLeases learns, at the start, of leases that an earlier life of this node
// holds. Leases that are missing are made once the members are known. A node of a fleet that
// starts for the first time has had no earlier life.
func (b *Backends) ReadLeases(ctx context.Context) {
	if b.options.FirstStart {
		return
	}
	for ctx.Err() == nil {
		objects, ok := b.listLeases(ctx)
		if !ok {
			time.Sleep(leaseRetry)
			continue
		}
		for b.catalog.Current().Configuration == nil && ctx.Err() == nil {
			time.Sleep(configurationLook)
		}
		b.leasesKnown(objects)
		return
	}
}

// leasesKnown tells the failover machines who holds the leases.
func (b *Backends) leasesKnown(objects []objectstore.Object) {
	for _, object := range objects {
		b.Service(object.Name).submit(b.decodeLease(object))
	}
}

// leaseRefresh is about the pause between a change of the primary and a listing of the
// leases, which tells who holds them now and who the deputies are.
const leaseRefresh = 2 * time.Second

// RefreshLeases lists the leases soon; the calls of many nodes are spread, and changes
// in a row make one call.
func (b *Backends) RefreshLeases() {
	if !b.refreshingLeases.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(leaseRefresh/2+rand.N(leaseRefresh), func() {
		b.refreshingLeases.Store(false)
		if b.Stopping.Load() {
			return
		}
		b.LookAtLeases(context.Background())
	})
}

// LookAtLeases learns who holds the leases and who the deputies are.
func (b *Backends) LookAtLeases(ctx context.Context) {
	objects, changed, err := b.ListChanged(ctx, b.options.Kinds.Leases, network.StoreCallLimit)
	if err == nil && changed {
		b.leasesKnown(objects)
	}
}

// configurationLook is the pause between looks for the first configuration, which
// comes with the node's first listings.
const configurationLook = 50 * time.Millisecond

// leaseRetry is the pause before leases are listed again.
const leaseRetry = time.Second

func (b *Backends) listLeases(ctx context.Context) ([]objectstore.Object, bool) {
	objects, err := b.ListShared(ctx, b.options.Kinds.Leases, network.StoreCallLimit)
	return objects, err == nil
}

// MakeLeases makes the missing leases of the services for which this node ranks
// first among the members, so that holders are spread over the nodes and a fleet
// that starts makes each lease about once. Views that differ cost a conflict.
func (b *Backends) MakeLeases(ctx context.Context) bool {
	configuration := b.catalog.Current().Configuration
	if configuration == nil {
		return false
	}
	own := b.rankedFirst(configuration)
	if len(own) == 0 {
		return true
	}
	made, ok := b.madeLeases(ctx, own)
	if !ok {
		return false
	}
	for _, name := range own {
		if !made[name] {
			b.Service(name).submit(b.missingLease())
		}
	}
	return true
}

// askedSingly is up to how many leases are asked for one by one: in a fleet with as many
// services as nodes each makes about one, and a listing of 1,000 is five calls.
const askedSingly = 4

// madeLeases returns which of some services have a lease.
func (b *Backends) madeLeases(ctx context.Context, services []string) (map[string]bool, bool) {
	made := map[string]bool{}
	if len(services) > askedSingly {
		objects, ok := b.listLeases(ctx)
		for _, object := range objects {
			made[object.Name] = true
		}
		return made, ok
	}
	limited, cancel := context.WithTimeout(ctx, network.StoreCallLimit)
	defer cancel()
	for _, name := range services {
		_, err := b.ports.Store.GetStale(limited, b.options.Kinds.Leases, name)
		if err != nil && objectstore.OutcomeOf(err) != objectstore.NotFound {
			return nil, false
		}
		made[name] = err == nil
	}
	return made, true
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

// missingLease tells that there is no lease object in the store's present era.
func (b *Backends) missingLease() failover.LeaseKnown {
	present, err := era.New(b.StoreEra(), 0)
	if err != nil {
		// The store's answers are refused then, so that none names this era.
		present = 0
	}
	return failover.LeaseKnown{Missing: true, Revision: present}
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

// deputies returns the nodes that may act for this one while the store is silent: the
// first of other zones, since a zone may be lost as a whole, then any.
func (b *Backends) deputies(service string) []string {
	known := b.Members.Load()
	if known == nil {
		return nil
	}
	var elsewhere, near []placement.Candidate
	for _, member := range *known {
		candidate := placement.Candidate{ID: member.Name}
		if member.Zone == b.options.Zone {
			near = append(near, candidate)
		} else {
			elsewhere = append(elsewhere, candidate)
		}
	}
	ranked := append(placement.Rank(service, "", elsewhere, failover.MaxDeputies), placement.Rank(service, "", near, failover.MaxDeputies)...)
	return ranked[:min(len(ranked), failover.MaxDeputies)]
}

func (s *Service) readLease() {
	limit := network.StoreCallLimit
	if s.backends.StoreLost() {
		limit = silentStoreLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// reclaimSpread is the span over which the holders of leases ask for them again after the
// store has come back from an older copy: in a fleet with 1,000 services some 330 calls a
// second, a tenth of what its store takes, and each again to write. A primary that fails
// meanwhile is replaced as by a node that has no lease, 0.4 s later.
const reclaimSpread = 3 * time.Second

// reclaimLease asks for the lease object soon.
func (s *Service) reclaimLease() {
	time.AfterFunc(rand.N(reclaimSpread), func() {
		if !s.backends.Stopping.Load() && s.watching() {
			s.readLease()
		}
	})
}

// watching reports whether the failover machine waits for nothing. Else it asks for the lease
// itself, if it needs it.
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
	limit := network.StoreCallLimit
	if effect.Brief {
		limit = briefStoreLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
