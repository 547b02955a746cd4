package network

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/objectstore"
)

// restoreSpread is the span over which the nodes of a fleet look after what they had written
// to a store that has come back from an older copy: one call each, 330 a second in a fleet of
// 1,000. Entries of members are needed by nodes that start, which ask other nodes first.
const restoreSpread = 3 * time.Second

// storeRestored is told that the store has come back from an older copy.
func (n *Network) storeRestored(earlier, later uint64) {
	n.restoredAt.Store(int64(max(1, time.Since(n.Started))))
	n.Log.Write(eventlog.StoreRestored, zap.Uint64("era", later), zap.Uint64("before", earlier))
	time.AfterFunc(rand.N(restoreSpread), n.enterAgain)
	time.AfterFunc(n.options.DrainBound, n.confirmDirectory)
	n.duties.StoreRestored()
}

// enterAgain enters this node among the members if its entry was lost.
func (n *Network) enterAgain() {
	ctx, cancel := context.WithTimeout(context.Background(), StoreCallLimit)
	defer cancel()
	_, err := n.ports.Store.Get(ctx, n.options.Kinds.Members, n.options.Name)
	if err != nil && objectstore.OutcomeOf(err) == objectstore.NotFound && n.enter(ctx, nil) {
		return
	}
	if err != nil {
		// The next look at the members enters the node.
		n.Log.Write(eventlog.StoreLost, zap.String("call", "enter again"), zap.Error(err))
	}
}

// confirmDirectory takes the store's word for servers that it lists and that were gone before
// it came back: those that are not alive have been removed by now.
func (n *Network) confirmDirectory() {
	objects, _, err := n.caches[n.options.Kinds.Servers].List()
	if err != nil {
		return
	}
	n.Catalog.ConfirmDirectory((&directorySink{n}).decodeAll(objects), time.Now())
}

// outdatesConfiguration reports whether a listed configuration is older than the known one:
// versions never go back in a process's life, nor for a node that asks this one.
func (n *Network) outdatesConfiguration(known, listed []byte) bool {
	before, err := n.ports.Decoder.Configuration(known)
	if err != nil {
		return false
	}
	after, err := n.ports.Decoder.Configuration(listed)
	return err != nil || after.Version < before.Version
}

// keepMembers adds, to the first list of an era, the members that the list of the era before
// had: their entries may be lost until they enter themselves again. A list that went back
// must not make this node believe that it is one of few.
func (n *Network) keepMembers(listed []Member, listedEra uint64) []Member {
	known := n.Members.Load()
	crossed := known != nil && listedEra > n.membersEra
	n.membersEra = max(n.membersEra, listedEra)
	if !crossed {
		return listed
	}
	named := make(map[string]bool, len(listed))
	for i := range listed {
		named[listed[i].Name] = true
	}
	for _, member := range *known {
		if !named[member.Name] {
			listed = append(listed, member)
		}
	}
	return listed
}
