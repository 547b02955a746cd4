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

// reachedWithin is how old an answer of a server may be to count as reached: not
// so old that the server may have ended since.
const reachedWithin = 60 * time.Millisecond

// Reaches reports whether this node reaches a server directly: by a fresh answer,
// by work that has waited too long for one, or else by asking it. A node that goes
// through another one reaches nothing for a third.
func (b *Backends) Reaches(id string) bool {
	target := b.Server(id)
	if target == nil {
		return false
	}
	now := time.Now()
	if _, detour := b.DetourTo(id); detour || target.Stats.Unanswered(now) > SilenceLimit {
		return false
	}
	if failures, _ := target.Stats.Failures(); failures == 0 && target.Stats.SinceAnswer(now) < reachedWithin {
		return true
	}
	return b.Service(target.service).prove(target, reserve, now.Add(pingLimit)) != silent
}

// witnessesAsked is how many nodes are asked whether they reach a primary.
const witnessesAsked = 5

// witnesses returns the nodes to ask whether they reach a primary, at random but of
// different zones in turn: those of one zone may all be cut off. Nodes that were silent
// lately come last.
func (b *Backends) witnesses() []network.Member {
	members := b.SomeMembers(math.MaxInt)
	now := time.Now()
	seen := map[string]int{}
	turns := make(map[string]int, len(members))
	for _, member := range members {
		turns[member.Name] = seen[member.Zone]
		seen[member.Zone]++
		if b.SilentLately(member.Address, now) {
			turns[member.Name] += len(members)
		}
	}
	slices.SortStableFunc(members, func(a, b network.Member) int { return cmp.Compare(turns[a.Name], turns[b.Name]) })
	return members[:min(witnessesAsked, len(members))]
}

// corroborate asks other nodes, and the holder of the lease, whether they reach
// the primary.
func (s *Service) corroborate(effect failover.Corroborate) failover.Corroborated {
	node := s.backends
	ctx, cancel := context.WithTimeout(context.Background(), pingLimit+network.MemberAnswerLimit)
	defer cancel()
	question := relay.Question{Server: effect.Server}
	var holder, answers []network.MemberAnswer
	var witnesses []network.Member
	var asked sync.WaitGroup
	asked.Go(func() { holder = node.AskMembers(ctx, node.membersNamed(effect.Superiors), question) })
	if effect.Server != "" {
		witnesses = node.witnesses()
		answers = node.AskMembers(ctx, witnesses, question)
	}
	asked.Wait()
	outcome := s.weigh(witnesses, answers)
	outcome.HolderAnswered = len(holder) > 0
	node.log.Write(eventlog.FailoverWitnesses, zap.String("service", s.Name), zap.String("server", effect.Server),
		zap.Int("asked", outcome.Asked), zap.Int("answers", outcome.Answers), zap.Int("reached", outcome.Reached),
		zap.Int("confirmed_elsewhere", outcome.ConfirmedElsewhere), zap.Bool("holder_answered", outcome.HolderAnswered))
	return outcome
}

// weigh counts what witnesses say.
func (s *Service) weigh(witnesses []network.Member, answers []network.MemberAnswer) failover.Corroborated {
	outcome := failover.Corroborated{Asked: len(witnesses), Answers: len(answers)}
	elsewhere := map[string]bool{}
	for _, witness := range witnesses {
		if witness.Zone != s.backends.options.Zone {
			elsewhere[witness.Address] = true
			outcome.AskedElsewhere++
		}
	}
	for _, answer := range answers {
		switch {
		case answer.Reached:
			outcome.Reached++
			if s.mayTunnel(witnesses, answer.From) {
				s.witness.Store(&answer.From)
			}
		case elsewhere[answer.From]:
			outcome.ConfirmedElsewhere++
		}
	}
	return outcome
}

// mayTunnel reports whether connections to the primary may go through a witness: where work has
// homes, only through one of the primary's own region.
func (s *Service) mayTunnel(witnesses []network.Member, address string) bool {
	if !s.backends.bindsHomes() {
		return true
	}
	entry := s.backends.catalog.Current().Servers[s.lastPrimary()]
	i := slices.IndexFunc(witnesses, func(m network.Member) bool { return m.Address == address })
	return entry != nil && i >= 0 && s.backends.ZoneDistance(witnesses[i].Zone, entry.Zone) < zoneTiers-1
}

// membersNamed returns the members with some names that are known and other nodes.
func (b *Backends) membersNamed(names []string) []network.Member {
	known := b.Members.Load()
	if known == nil || b.ports.Peers == nil {
		return nil
	}
	var named []network.Member
	for _, member := range *known {
		if slices.Contains(names, member.Name) {
			named = append(named, member)
		}
	}
	return named
}
