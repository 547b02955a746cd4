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
	// firstListLimit bounds the time until the first listing of a node that starts begins
	// to come: a store that takes longer is not waited for while other nodes can tell. What
	// has begun takes as long as the node's link demands: of 300 nodes that start together
	// on links of 3 Mbit/s, all would else turn to three seeds, whose links fill.
	firstListLimit = 350 * time.Millisecond
	// firstMemberRetry is the pause until a node that starts asks again for members.
	firstMemberRetry = 300 * time.Millisecond
	// answerGrace is how long further answers are waited for after the first.
	answerGrace = 60 * time.Millisecond
)

// findMembers waits until a node that starts knows the other members: from the store,
// or while that does not answer from the nodes that the settings name.
func (n *Network) findMembers(ctx context.Context) {
	limit := firstListLimit
	n.findReaders(ctx, limit)
	for ctx.Err() == nil {
		if own, err := n.ListMembers(ctx, limit); err == nil {
			if own == nil {
				n.firstStart.Store(true)
				n.duties.TakeShare(false, time.Now())
			} else {
				n.duties.TakeShare(true, time.Now())
				// The list is of an earlier life of the fleet.
				n.settled()
			}
			n.ensureEntry(ctx, own)
			return
		}
		if n.askSeeds(ctx) {
			n.settled()
			return
		}
		limit = StoreCallLimit
		n.waitAbout(ctx, firstMemberRetry)
	}
}

// enoughKnown is the part of the most known members from which a list will do: the lists
// of running nodes differ by the few that have just come, and the nearest one costs least.
const enoughKnown = 0.9

// askSeeds takes the members from the first seed to answer that knows nearly as many as
// any: the seeds are asked how many they know, and one for the list. It reports false if
// none answers that knows any.
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
	limited, cancel := context.WithTimeout(ctx, MemberAnswerLimit)
	defer cancel()
	answers := n.gather(limited, seeds, relay.Question{Kind: n.options.Kinds.Members, Peek: true}, answerGrace)
	for _, address := range sourcesOfMembers(answers) {
		list, err := n.askPeer(ctx, address, relay.Question{Kind: n.options.Kinds.Members}, MemberAnswerLimit)
		if err == nil && len(list.Objects) > 0 {
			n.duties.TakeShare(n.takeMembers(list.Objects) != nil, time.Now())
			return true
		}
	}
	return false
}

// sourcesOfMembers returns the nodes to ask for the list, in the order in which they said
// how many they know.
func sourcesOfMembers(answers []MemberAnswer) []string {
	most := uint64(0)
	for _, answer := range answers {
		most = max(most, knownBy(&answer))
	}
	var sources []string
	for _, answer := range answers {
		if known := knownBy(&answer); known > 0 && float64(known) >= enoughKnown*float64(most) {
			sources = append(sources, answer.From)
		}
	}
	return sources
}

// knownBy is how many members a node says it knows; one of an older version sends them all.
func knownBy(answer *MemberAnswer) uint64 {
	if answer.Failed {
		return 0
	}
	return max(uint64(answer.Revision), uint64(len(answer.Objects)))
}

// memberList answers a question for the members, this node among them, or for their number.
func (n *Network) memberList(peek bool) relay.Answer {
	known := n.Members.Load()
	if known == nil {
		return relay.Answer{Failed: true, Outcome: objectstore.NotDone}
	}
	if peek {
		return relay.Answer{Revision: era.Revision(len(*known) + 1)}
	}
	var answer relay.Answer
	for _, member := range append([]Member{n.OwnMember()}, *known...) {
		content, err := json.Marshal(member)
		if err != nil {
			continue
		}
		answer.Objects = append(answer.Objects, objectstore.Object{Name: member.Name, Revision: member.Revision, Content: content})
	}
	return answer
}
