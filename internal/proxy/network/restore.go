package network

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/objectstore"
)

// restoreCheckSpread is the time over which the nodes of a fleet spread the check of their own
// entries after the store was restored, one call each.
const restoreCheckSpread = 3 * time.Second

// storeRestored is called when the store was restored from an older copy.
func (n *Network) storeRestored(previousEra, newEra uint64) {
	n.restoredAt.Store(int64(max(1, time.Since(n.Started))))
	n.Log.Write(eventlog.StoreRestored, zap.Uint64("era", newEra), zap.Uint64("before", previousEra))
	time.AfterFunc(rand.N(restoreCheckSpread), n.restoreOwnEntry)
	time.AfterFunc(n.options.DrainBound, n.reinstateServers)
	n.delegate.StoreRestored()
}

// restoreOwnEntry writes this node's entry if it was lost.
func (n *Network) restoreOwnEntry() {
	ctx, cancel := context.WithTimeout(context.Background(), StoreCallTimeout)
	defer cancel()
	_, err := n.ports.Store.Get(ctx, n.options.Kinds.Members, n.options.Name)
	if err != nil && objectstore.OutcomeOf(err) == objectstore.NotFound && n.writeOwnEntry(ctx, nil) {
		return
	}
	if err != nil {
		// The next poll of the members writes the entry.
		n.Log.Write(eventlog.StoreLost, zap.String("call", "restore member entry"), zap.Error(err))
	}
}

// reinstateServers reinstates the listed servers that were gone before the store was restored.
// Entries of servers that are not alive have been removed again by now.
func (n *Network) reinstateServers() {
	objects, _, err := n.caches[n.options.Kinds.Servers].List()
	if err != nil {
		return
	}
	n.Catalog.ReinstateServers((&directorySink{n}).decodeAll(objects), time.Now())
}

// isOlderConfiguration reports whether a listed configuration is older than the known one, or
// unreadable. It ensures that the versions that this process applies and sends to other nodes never
// decrease.
func (n *Network) isOlderConfiguration(known, listed []byte) bool {
	current, err := n.ports.Decoder.Configuration(known)
	if err != nil {
		return false
	}
	next, err := n.ports.Decoder.Configuration(listed)
	return err != nil || next.Version < current.Version
}

// retainMembers adds the known members to the first list of a new era. A restored store may lack
// their entries until they write them again, and this node must not conclude that the fleet is
// small.
func (n *Network) retainMembers(listed []Member, listedEra uint64) []Member {
	members := n.Members.Load()
	newEra := members != nil && listedEra > n.membersEra
	n.membersEra = max(n.membersEra, listedEra)
	if !newEra {
		return listed
	}
	isListed := make(map[string]bool, len(listed))
	for i := range listed {
		isListed[listed[i].Name] = true
	}
	for _, member := range *members {
		if !isListed[member.Name] {
			listed = append(listed, member)
		}
	}
	return listed
}
