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

// If the platform does not check fencing tokens, an accepted transaction does not prove that the
// server is the primary: a replaced primary goes on accepting. The nodes then agree on tenures. An
// answer that only a primary may give is valid if this node's leases still covered the tenure of
// the request when the answer arrived.

// newTenures returns the node's part in the agreement; nil if the platform checks fencing tokens.
func (b *Backends) newTenures() *tenure.Keeper {
	if !b.options.UsesTenures || b.ports.Messages == nil {
		return nil
	}
	return tenure.New(tenure.Config{
		Name: b.options.Name, Zone: b.options.Zone, Region: b.options.Regions[b.options.Zone],
		Address: b.options.MessageAddress, Incarnation: IncarnationNumber(b.options.Incarnation),
		Capacity: b.options.Capacity.Weight(),
		Store:    b.ports.Store, StoreEra: b.StoreEra, Kind: b.options.Kinds.Voters,
		Sender: b.ports.Messages, Peers: b.votingPeers,
		OnViewChanged: b.tenureChanged, OnVotersReady: b.pollSoon, Log: b.log,
	})
}

// IncarnationNumber returns a hash of a process's incarnation.
func IncarnationNumber(incarnation string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(incarnation))
	return hash.Sum64()
}

// votingPeers returns the other nodes that receive messages; nil before the first list of members.
func (b *Backends) votingPeers() []tenure.Peer {
	members := b.Members.Load()
	if members == nil {
		return nil
	}
	peers := make([]tenure.Peer, 0, len(*members))
	for _, member := range *members {
		if member.MessageAddress != "" {
			peers = append(peers, tenure.Peer{
				Name: member.Name, Address: member.MessageAddress, Zone: member.Zone, Region: b.options.Regions[member.Zone],
				Capacity: member.Capacity.Weight(),
			})
		}
	}
	return peers
}

// ReceiveMessage handles a message from the node at an address.
func (b *Backends) ReceiveMessage(from string, m *quorum.Message) {
	if b.Tenures != nil {
		b.Tenures.Receive(from, m)
	}
}

// tenureChanged makes the primary of a service's open tenure the target of callers' work.
func (b *Backends) tenureChanged(name string) {
	s := b.Service(name)
	primary := ""
	if view := b.Tenures.View(name); view.Open {
		primary = view.Tenure.Primary
	}
	before := s.PrimaryView.Primary()
	if s.PrimaryView.SetAgreed(primary) && before != "" {
		b.RefreshLeases()
	}
}

// pollSoon triggers a poll of the services at once.
func (b *Backends) pollSoon() {
	select {
	case b.pollNow <- struct{}{}:
	default:
	}
}

// RequestTenure returns the tenure under which a server may be asked for what only the primary may
// answer, and whether there is one. If the platform checks fencing tokens, the answer itself is the
// proof and the tenure is empty.
func (s *Service) RequestTenure(server string) (quorum.Tenure, bool) {
	if s.backends.Tenures == nil {
		return quorum.Tenure{}, true
	}
	view := s.backends.Tenures.View(s.Name)
	if view == nil || !view.Open || view.Tenure.Primary != server {
		return quorum.Tenure{}, false
	}
	return view.Tenure, true
}

// hasLeases reports whether this node may use the primary now. If its leases have expired, it
// requests new ones.
func (s *Service) hasLeases(now time.Time) bool {
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

// confirmTimeout bounds the wait for the voters to confirm an answer that arrived after the leases
// had expired: some round trips between regions.
const confirmTimeout = 400 * time.Millisecond

// Confirm reports whether an answer to a request sent under a tenure is the primary's: no other
// server can have been ordered to become the primary before it arrived. It may wait for the voters
// until the deadline.
func (s *Service) Confirm(sentUnder quorum.Tenure, arrived, deadline time.Time) bool {
	if s.backends.Tenures == nil {
		return true
	}
	if latest := arrived.Add(confirmTimeout); latest.Before(deadline) {
		deadline = latest
	}
	if s.backends.Tenures.Confirm(s.Name, sentUnder, arrived, deadline) {
		return true
	}
	s.backends.metrics.unconfirmed.Inc()
	s.backends.log.Write(eventlog.AnswerUnproved, zap.String("service", s.Name), zap.String("server", sentUnder.Primary),
		zap.Uint64("ballot", sentUnder.Ballot), zap.Duration("waited", time.Since(arrived)),
		zap.Any("leases", s.backends.Tenures.LeaseStatus(s.Name, arrived)))
	return false
}

// LeaseStatus describes the state of this node's leases for a service; false if the platform
// checks fencing tokens.
func (b *Backends) LeaseStatus(service string, now time.Time) (tenure.LeaseStatus, bool) {
	if b.Tenures == nil {
		return tenure.LeaseStatus{}, false
	}
	return b.Tenures.LeaseStatus(service, now), true
}

// Covered is like Confirm, but never waits for the voters. It is for answers that are optional,
// such as additional proofs.
func (s *Service) Covered(sentUnder quorum.Tenure, arrived time.Time) bool {
	if s.backends.Tenures == nil {
		return true
	}
	view := s.backends.Tenures.View(s.Name)
	return view != nil && view.Tenure == sentUnder && view.Covers(arrived)
}

// RecordDenial records a server's answer that it is not the primary. It reports whether that
// changes what this node knows.
func (s *Service) RecordDenial(server string, now time.Time) bool {
	if s.backends.Tenures == nil {
		return s.PrimaryView.RecordDenialAndClear(server, now)
	}
	return s.PrimaryView.RecordDenial(server, now)
}

// observeTenure adds the state of the agreement to an observation.
func (s *Service) observeTenure(observation *failover.Observation, now time.Time) {
	observation.LeastBallot, observation.Voiceless = s.backends.Tenures.VoterStatus()
	view := s.backends.Tenures.View(s.Name)
	if view == nil {
		observation.Closed = true
		return
	}
	observation.Closed = !view.Open || s.PrimaryView.RecentlyDenied(view.Tenure.Primary, now)
	observation.Highest = view.Highest
}

// lastPrimary returns the server whose health is checked. It is the primary of the last known
// tenure, even if that is closed, or the current primary if the platform checks fencing tokens.
func (s *Service) lastPrimary() string {
	if s.backends.Tenures == nil {
		return s.PrimaryView.Primary()
	}
	if view := s.backends.Tenures.View(s.Name); view != nil {
		return view.Tenure.Primary
	}
	return ""
}
