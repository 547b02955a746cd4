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

// pruneAfter is at how many looks in a row a member must be silent before its entry
// is removed.
const pruneAfter = 3

// neighbor is the member that a node looks after, and for how many looks in a row
// that one has been silent.
type neighbor struct {
	name   string
	silent int
}

// checkNeighbor removes the entry of the next member in the order of names if
// that one is gone for good, so that owners and readers are not chosen among nodes
// that were replaced long ago. Each node looks after one, whatever the size of the
// fleet. A member that lives and was only cut off enters itself again.
func (n *Network) checkNeighbor(ctx context.Context, watched *neighbor) {
	next, found := n.nextMember()
	if !found {
		return
	}
	if next.Name != watched.name {
		*watched = neighbor{name: next.Name}
	}
	limited, cancel := context.WithTimeout(ctx, MemberAnswerLimit)
	defer cancel()
	if _, err := n.ports.Peers.Ask(limited, next.Address, relay.Question{}); err == nil {
		watched.silent = 0
		return
	}
	watched.silent++
	if watched.silent < pruneAfter {
		return
	}
	limited, cancel = context.WithTimeout(ctx, StoreCallLimit)
	defer cancel()
	_, err := n.ports.Store.Delete(limited, n.options.Kinds.Members, next.Name, next.Revision)
	n.Log.Write(eventlog.MemberRemoved, zap.String("member", next.Name), zap.Int("silent", watched.silent), zap.Error(err))
	if err == nil || objectstore.OutcomeOf(err) == objectstore.NotFound {
		n.forgetMember(next.Name)
	}
}

// nextMember returns the member after this node in the order of names, which is
// a ring.
func (n *Network) nextMember() (Member, bool) {
	known := n.Members.Load()
	if known == nil || len(*known) == 0 || n.ports.Peers == nil {
		return Member{}, false
	}
	inOrder := slices.SortedFunc(slices.Values(*known), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for _, member := range inOrder {
		if member.Name > n.options.Name {
			return member, true
		}
	}
	return inOrder[0], true
}

// forgetMember drops a member until the next listing.
func (n *Network) forgetMember(name string) {
	known := n.Members.Load()
	kept := slices.DeleteFunc(slices.Clone(*known), func(member Member) bool { return member.Name == name })
	n.Members.CompareAndSwap(known, &kept)
	n.duties.MembersChanged()
}
