package network

import (
	"context"
	"encoding/json"
	"time"

	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

const (
	// firstListLimit bounds the first listing of a node that starts: a store that
	// takes longer is not waited for while other nodes can tell.
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

// askSeeds takes the members from the seed that knows most of them. It reports false
// if none answers that knows any.
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
	var most []objectstore.Object
	for _, answer := range n.gather(limited, seeds, relay.Question{Kind: n.options.Kinds.Members}, answerGrace) {
		if !answer.Failed && len(answer.Objects) > len(most) {
			most = answer.Objects
		}
	}
	if len(most) == 0 {
		return false
	}
	n.duties.TakeShare(n.takeMembers(most) != nil, time.Now())
	return true
}

// memberList answers a question for the members, this node among them.
func (n *Network) memberList() relay.Answer {
	known := n.Members.Load()
	if known == nil {
		return relay.Answer{Failed: true, Outcome: objectstore.NotDone}
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
