package backends

import (
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/tenure"
)

// Where the platform checks no fences, an accepted transaction does not prove that the
// server leads: a replaced primary goes on. Then the nodes agree on tenures, and what
// only a primary may answer is believed if the tenure, under which it was asked for, was
// covered by this node's leases when the answer came.

// newTenures returns the node's part in the agreement; nil if the platform checks fences.
func (b *Backends) newTenures() *tenure.Keeper {
	if !b.options.Agreed || b.ports.Messages == nil {
		return nil
	}
	return tenure.New(tenure.Config{
		Name: b.options.Name, Zone: b.options.Zone, Region: b.options.Regions[b.options.Zone], Address: b.options.MessageAddress, Life: LifeNumber(b.options.Life),
		Capacity: b.options.Capacity.Weight(),
		Store:    b.ports.Store, StoreEra: b.StoreEra, Kind: b.options.Kinds.Voters, Sender: b.ports.Messages, Peers: b.votingPeers,
		Changed: b.tenureChanged, Voiced: b.lookSoon, Log: b.log,
	})
}

// LifeNumber makes a number of what is unique to the process.
func LifeNumber(life string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(life))
	return hash.Sum64()
}

// votingPeers returns the other nodes that take messages; nil while no list of members has come.
func (b *Backends) votingPeers() []tenure.Peer {
	known := b.Members.Load()
	if known == nil {
		return nil
	}
	peers := make([]tenure.Peer, 0, len(*known))
	for _, member := range *known {
		if member.Messages != "" {
			peers = append(peers, tenure.Peer{
				Name: member.Name, Address: member.Messages, Zone: member.Zone, Region: b.options.Regions[member.Zone],
				Capacity: member.Capacity.Weight(),
			})
		}
	}
	return peers
}

// ReceiveMessage takes a message from the node at an address.
func (b *Backends) ReceiveMessage(from string, m *quorum.Message) {
	if b.Tenures != nil {
		b.Tenures.Receive(from, m)
	}
}

// tenureChanged leads callers' work to the primary of a service's open tenure.
func (b *Backends) tenureChanged(name string) {
	s := b.Service(name)
	primary := ""
	if view := b.Tenures.View(name); view.Open {
		primary = view.Tenure.Primary
	}
	before := s.Belief.Leader()
	if s.Belief.Follow(primary) && before != "" {
		b.RefreshLeases()
	}
}

// lookSoon makes the next look at the services come at once.
func (b *Backends) lookSoon() {
	select {
	case b.nudged <- struct{}{}:
	default:
	}
}

// Hold returns the tenure under which a server is asked for what only the primary may
// answer, and whether there is one. Where fences are checked, the answer itself tells.
func (s *Service) Hold(server string) (quorum.Tenure, bool) {
	if s.backends.Tenures == nil {
		return quorum.Tenure{}, true
	}
	view := s.backends.Tenures.View(s.Name)
	if view == nil || !view.Open || view.Tenure.Primary != server {
		return quorum.Tenure{}, false
	}
	return view.Tenure, true
}

// leased reports whether this node may use the primary now. If its leases have run out
// it asks for new ones.
func (s *Service) leased(now time.Time) bool {
	if s.backends.Tenures == nil {
		return true
	}
	view := s.backends.Tenures.View(s.Name)
	if view != nil && view.Covers(now) {
		return true
	}
	s.backends.Tenures.RenewFor(s.Name, now)
	return false
}

// confirmLimit bounds the wait for the voters' word on an answer that came after the
// leases had run out: some round trips between regions.
const confirmLimit = 400 * time.Millisecond

// Confirmed reports whether an answer that has just come, and was asked for under a
// tenure, is the primary's: no other server can have been ordered to lead before.
func (s *Service) Confirmed(held quorum.Tenure, arrived, deadline time.Time) bool {
	if s.backends.Tenures == nil {
		return true
	}
	if limit := arrived.Add(confirmLimit); limit.Before(deadline) {
		deadline = limit
	}
	if s.backends.Tenures.Confirm(s.Name, held, arrived, deadline) {
		return true
	}
	s.backends.metrics.unproved.Inc()
	s.backends.log.Write(eventlog.AnswerUnproved, zap.String("service", s.Name), zap.String("server", held.Primary),
		zap.Uint64("ballot", held.Ballot), zap.Duration("waited", time.Since(arrived)),
		zap.Any("leases", s.backends.Tenures.Account(s.Name, arrived)))
	return false
}

// LeaseAccount returns what this node knows of its leases for a service; false where fences are
// checked.
func (b *Backends) LeaseAccount(service string, now time.Time) (tenure.Account, bool) {
	if b.Tenures == nil {
		return tenure.Account{}, false
	}
	return b.Tenures.Account(service, now), true
}

// Covered is confirmed without a wait, for answers that only add to what is known.
func (s *Service) Covered(held quorum.Tenure, arrived time.Time) bool {
	if s.backends.Tenures == nil {
		return true
	}
	view := s.backends.Tenures.View(s.Name)
	return view != nil && view.Tenure == held && view.Covers(arrived)
}

// Deny takes a server's own word that it does not lead.
func (s *Service) Deny(server string, now time.Time) bool {
	if s.backends.Tenures == nil {
		return s.Belief.Refute(server, now)
	}
	return s.Belief.Deny(server, now)
}

// observeTenure tells the failover machine what the nodes agree on.
func (s *Service) observeTenure(observation *failover.Observation, now time.Time) {
	observation.LeastBallot, observation.Voiceless = s.backends.Tenures.Standing()
	view := s.backends.Tenures.View(s.Name)
	if view == nil {
		observation.Closed = true
		return
	}
	observation.Closed = !view.Open || s.Belief.Refuted(view.Tenure.Primary, now)
	observation.Highest = view.Highest
}

// lastPrimary returns the server whose health is looked at: the primary of the last
// tenure known, also while that is closed, or the one believed in.
func (s *Service) lastPrimary() string {
	if s.backends.Tenures == nil {
		return s.Belief.Leader()
	}
	if view := s.backends.Tenures.View(s.Name); view != nil {
		return view.Tenure.Primary
	}
	return ""
}
