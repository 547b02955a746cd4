package proxy

import "time"

// duties is the node as its network sees it. With what Backends does it implements
// network.Duties.
type duties struct{ *Node }

// MembersChanged implements network.Duties.
func (d duties) MembersChanged() { d.fleetChanged() }

// TakeShare implements network.Duties.
func (d duties) TakeShare(listed bool, now time.Time) bool { return d.giveShare(listed, now) }
