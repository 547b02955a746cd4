package network

import (
	"context"
	"slices"
	"strings"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// pruneAfterPolls is the number of consecutive polls that a member must miss before its entry is
// removed.
const pruneAfterPolls = 3

// neighbor is the member that a node monitors, and the number of consecutive polls it has missed.
type neighbor struct {
	name        string
	silentPolls int
}

// checkNeighbor polls the next member in the order of names and removes its entry if it is gone for
// good, so that no owner or reader is chosen among nodes that were replaced. Each node monitors one
// member, whatever the size of the fleet. A member that was only unreachable writes its entry
// again.
func (n *Network) checkNeighbor(ctx context.Context, watched *neighbor) {
	next, found := n.nextMember()
	if !found {
		return
	}
	if next.Name != watched.name {
		*watched = neighbor{name: next.Name}
	}
	limited, cancel := context.WithTimeout(ctx, MemberAnswerTimeout)
	defer cancel()
	if _, err := n.ports.Peers.Ask(limited, next.Address, relay.Request{}); err == nil {
		watched.silentPolls = 0
		return
	}
	watched.silentPolls++
	if watched.silentPolls < pruneAfterPolls {
		return
	}
	limited, cancel = context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	_, err := n.ports.Store.Delete(limited, n.options.Kinds.Members, next.Name, next.Revision)
	n.Log.Write(eventlog.MemberRemoved, zap.String("member", next.Name), zap.Int("silent", watched.silentPolls), zap.Error(err))
	if err == nil || objectstore.OutcomeOf(err) == objectstore.NotFound {
		n.dropMember(next.Name)
	}
}

// nextMember returns the member after this node in the ring of names.
func (n *Network) nextMember() (Member, bool) {
	members := n.Members.Load()
	if members == nil || len(*members) == 0 || n.ports.Peers == nil {
		return Member{}, false
	}
	sorted := slices.SortedFunc(slices.Values(*members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for _, member := range sorted {
		if member.Name > n.options.Name {
			return member, true
		}
	}
	return sorted[0], true
}

// dropMember removes a member locally until the next listing.
func (n *Network) dropMember(name string) {
	members := n.Members.Load()
	kept := slices.DeleteFunc(slices.Clone(*members), func(member Member) bool { return member.Name == name })
	n.Members.CompareAndSwap(members, &kept)
	n.delegate.MembersChanged()
}
