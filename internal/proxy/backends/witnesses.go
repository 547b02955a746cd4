package backends

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/relay"
)

// maxReachedAge is how old an answer of a server may be to show that the server is reachable. It is
// short, since the server may have failed after the answer.
const maxReachedAge = 60 * time.Millisecond

// Reaches reports whether this node reaches a server directly. It uses a recent answer or requests
// that stayed unanswered for too long as evidence, and probes the server otherwise. A node that
// uses an indirect path reports false, so that no path leads through two nodes.
func (b *Backends) Reaches(id string) bool {
	target := b.Server(id)
	if target == nil {
		return false
	}
	now := time.Now()
	if _, indirect := b.IndirectPathTo(id); indirect || target.Stats.Unanswered(now) > SilenceTimeout {
		return false
	}
	if failures, _ := target.Stats.Failures(); failures == 0 && target.Stats.SinceAnswer(now) < maxReachedAge {
		return true
	}
	return b.Service(target.service).probe(target, acquireReserved, now.Add(pingTimeout)) != probeSilent
}

// maxWitnesses is how many nodes are asked whether they reach a primary.
const maxWitnesses = 5

// witnesses returns the nodes to ask whether they reach a primary. The order is random but
// alternates between zones, since all nodes of one zone may be cut off. Nodes that recently gave no
// answer come last.
func (b *Backends) witnesses() []network.Member {
	members := b.RandomMembers(math.MaxInt)
	now := time.Now()
	perZone := map[string]int{}
	order := make(map[string]int, len(members))
	for _, member := range members {
		order[member.Name] = perZone[member.Zone]
		perZone[member.Zone]++
		if b.RecentlySilent(member.Address, now) {
			order[member.Name] += len(members)
		}
	}
	slices.SortStableFunc(members, func(a, b network.Member) int { return cmp.Compare(order[a.Name], order[b.Name]) })
	return members[:min(maxWitnesses, len(members))]
}

// corroborate asks other nodes, and the lease holder, whether they reach the primary.
func (s *Service) corroborate(effect failover.Corroborate) failover.Corroborated {
	node := s.backends
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout+network.MemberAnswerTimeout)
	defer cancel()
	request := relay.Request{Server: effect.Server}
	var holder, answers []network.MemberAnswer
	var witnesses []network.Member
	var requests sync.WaitGroup
	requests.Go(func() { holder = node.AskMembers(ctx, node.membersNamed(effect.Superiors), request) })
	if effect.Server != "" {
		witnesses = node.witnesses()
		answers = node.AskMembers(ctx, witnesses, request)
	}
	requests.Wait()
	outcome := s.countAnswers(witnesses, answers)
	outcome.HolderAnswered = len(holder) > 0
	node.log.Write(eventlog.FailoverWitnesses, zap.String("service", s.Name), zap.String("server", effect.Server),
		zap.Int("asked", outcome.Asked), zap.Int("answers", outcome.Answers), zap.Int("reached", outcome.Reached),
		zap.Int("confirmed_elsewhere", outcome.ConfirmedElsewhere), zap.Bool("holder_answered", outcome.HolderAnswered))
	return outcome
}

// countAnswers counts the answers of witnesses.
func (s *Service) countAnswers(witnesses []network.Member, answers []network.MemberAnswer) failover.Corroborated {
	outcome := failover.Corroborated{Asked: len(witnesses), Answers: len(answers)}
	otherZones := map[string]bool{}
	for _, witness := range witnesses {
		if witness.Zone != s.backends.options.Zone {
			otherZones[witness.Address] = true
			outcome.AskedElsewhere++
		}
	}
	for _, answer := range answers {
		switch {
		case answer.Reached:
			outcome.Reached++
			if s.mayTunnel(witnesses, answer.From) {
				s.witnessAddress.Store(&answer.From)
			}
		case otherZones[answer.From]:
			outcome.ConfirmedElsewhere++
		}
	}
	return outcome
}

// mayTunnel reports whether connections to the primary may go through a witness. If the
// configuration binds work to regions, the witness must be in the primary's region.
func (s *Service) mayTunnel(witnesses []network.Member, address string) bool {
	if !s.backends.homesConfigured() {
		return true
	}
	entry := s.backends.catalog.Current().Servers[s.lastPrimary()]
	i := slices.IndexFunc(witnesses, func(m network.Member) bool { return m.Address == address })
	return entry != nil && i >= 0 && s.backends.ZoneDistance(witnesses[i].Zone, entry.Zone) < distanceTiers-1
}

// membersNamed returns the other members that have one of the given names.
func (b *Backends) membersNamed(names []string) []network.Member {
	members := b.Members.Load()
	if members == nil || b.ports.Peers == nil {
		return nil
	}
	var named []network.Member
	for _, member := range *members {
		if slices.Contains(names, member.Name) {
			named = append(named, member)
		}
	}
	return named
}
