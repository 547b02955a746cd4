package network

import (
	"context"
	"encoding/json"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

const (
	// firstListTimeout bounds the time until the first listing of a starting node begins to
	// arrive, after which other nodes are asked. A listing that has begun may take longer:
	// otherwise, on slow links, all starting nodes would turn to the few seeds.
	firstListTimeout = 350 * time.Millisecond
	// firstMembersRetryDelay is the mean delay between a starting node's attempts.
	firstMembersRetryDelay = 300 * time.Millisecond
	// answerGrace is how long to wait for further answers after the first.
	answerGrace = 60 * time.Millisecond
)

// discoverMembers waits until a starting node knows the other members: from the store or, while the
// store does not answer, from the configured seeds.
func (n *Network) discoverMembers(ctx context.Context) {
	timeout := firstListTimeout
	n.lookUpReaders(ctx, timeout)
	for ctx.Err() == nil {
		if own, err := n.ListMembers(ctx, timeout); err == nil {
			if own == nil {
				n.absentFromFirstList.Store(true)
				n.delegate.AssignQuotaShare(false, time.Now())
			} else {
				n.delegate.AssignQuotaShare(true, time.Now())
				// The entry was written before this start, so the list is not a partial one.
				n.markMembersSettled()
			}
			n.ensureOwnEntry(ctx, own)
			return
		}
		if n.askSeeds(ctx) {
			n.markMembersSettled()
			return
		}
		timeout = StoreCallTimeout
		n.waitJittered(ctx, firstMembersRetryDelay)
	}
}

// minKnownShare is the share of the largest known number of members from which a node's list is
// good enough. The lists of running nodes differ only by recent arrivals, so the first to answer
// is used.
const minKnownShare = 0.9

// askSeeds asks the seeds how many members they know and takes the list from the first to answer
// that knows nearly as many as any. It returns false if no seed knows any.
func (n *Network) askSeeds(ctx context.Context) bool {
	if n.ports.Peers == nil {
		return false
	}
	var seeds []Member
	for _, address := range n.options.Seeds {
		if address != n.options.PeerAddress {
			seeds = append(seeds, Member{Address: address})
		}
	}
	limited, cancel := context.WithTimeout(ctx, MemberAnswerTimeout)
	defer cancel()
	answers := n.collectAnswers(limited, seeds, relay.Request{Kind: n.options.Kinds.Members, RevisionOnly: true}, answerGrace)
	for _, address := range memberSources(answers) {
		list, err := n.askPeer(ctx, address, relay.Request{Kind: n.options.Kinds.Members}, MemberAnswerTimeout)
		if err == nil && len(list.Objects) > 0 {
			n.delegate.AssignQuotaShare(n.applyMembers(list.Objects) != nil, time.Now())
			return true
		}
	}
	return false
}

// memberSources returns the addresses of the nodes to ask for the list, in the order of their
// answers.
func memberSources(answers []MemberAnswer) []string {
	highest := uint64(0)
	for _, answer := range answers {
		highest = max(highest, knownMemberCount(&answer))
	}
	var sources []string
	for _, answer := range answers {
		if count := knownMemberCount(&answer); count > 0 && float64(count) >= minKnownShare*float64(highest) {
			sources = append(sources, answer.From)
		}
	}
	return sources
}

// knownMemberCount returns the number of members in an answer. Nodes of earlier versions send the
// list instead of the number.
func knownMemberCount(answer *MemberAnswer) uint64 {
	if answer.Failed {
		return 0
	}
	return max(uint64(answer.Revision), uint64(len(answer.Objects)))
}

// answerMembers answers a request for the members, including this node, or for their number.
func (n *Network) answerMembers(countOnly bool) relay.Answer {
	members := n.Members.Load()
	if members == nil {
		return relay.Answer{Failed: true, Outcome: objectstore.NotDone}
	}
	if countOnly {
		return relay.Answer{Revision: era.Revision(len(*members) + 1)}
	}
	var answer relay.Answer
	for _, member := range append([]Member{n.OwnMember()}, *members...) {
		content, err := json.Marshal(member)
		if err != nil {
			continue
		}
		answer.Objects = append(answer.Objects, objectstore.Object{Name: member.Name, Revision: member.Revision, Content: content})
	}
	return answer
}
