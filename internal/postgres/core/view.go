package core

import (
	"sync"

	"dewknot/internal/base/placement"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/membership"
)

// OwnerCount is the number of nodes that may serve a group: its owner and one standby.
const OwnerCount = 2

// ReaderCount is the number of nodes that watch the platform's store.
const ReaderCount = 3

// readerKey is the placement key of the store readers.
const readerKey = "store-readers"

// View is an immutable snapshot of a node's view of the fleet: itself, the members and
// the configuration. It is safe for concurrent use; requests read it through an atomic
// pointer.
type View struct {
	Self    membership.Member
	Members []membership.Member
	Config  *configuration.Decoded
	// Digest is the configuration's digest at the time of the snapshot.
	Digest configuration.Digest
	// Ready is false until the node has a configuration with which it may serve.
	Ready bool

	byID        map[string]membership.Member
	placeable   []placement.Candidate
	ownersCache sync.Map // group name -> []string; filled on demand
}

func newView(members *membership.Machine, config *configuration.Decoded, digest configuration.Digest, ready bool) *View {
	view := &View{
		Self: members.Self(), Members: members.List(), Config: config, Digest: digest, Ready: ready,
		byID: map[string]membership.Member{},
	}
	for _, member := range view.Members {
		view.byID[member.ID] = member
		if member.Placeable() && !config.LeavingNodes[member.ID] {
			view.placeable = append(view.placeable, placement.Candidate{ID: member.ID, Zone: member.Zone})
		}
	}
	return view
}

// Owners returns the identifiers of a group's owner and standby, owner first.
func (v *View) Owners(group string) []string {
	if found, ok := v.ownersCache.Load(group); ok {
		return found.([]string)
	}
	homeZone := ""
	if config := v.Config.Groups[group]; config != nil {
		homeZone = config.HomeZone()
	}
	ranked := placement.Rank(group, homeZone, v.placeable, OwnerCount)
	v.ownersCache.Store(group, ranked)
	return ranked
}

// Member returns a running member by its identifier.
func (v *View) Member(id string) (membership.Member, bool) {
	member, ok := v.byID[id]
	return member, ok
}

// Readers returns the nodes that watch the platform's store.
func (v *View) Readers() []string {
	return placement.Rank(readerKey, "", v.placeable, ReaderCount)
}

// IsReader reports whether this node watches the platform's store.
func (v *View) IsReader() bool {
	for _, id := range v.Readers() {
		if id == v.Self.ID {
			return true
		}
	}
	return false
}
