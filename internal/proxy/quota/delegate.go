package quota

import "time"

// sentDelegation is the allocator to which a share is delegated, and the latest time at which the
// delegation expires. A restarted process at the same address is another allocator: the previous
// one may have granted tokens that the share was still to issue.
type sentDelegation struct {
	allocator   string
	incarnation uint64
	validUntil  time.Time
}

// SetShare gives the node its share from the given time, but not before delegationDuration after
// the start of the process: until then, delegations of its previous incarnation may be valid.
func (m *Machine) SetShare(from time.Time) {
	if earliest := m.cfg.Started.Add(delegationDuration); from.Before(earliest) {
		from = earliest
	}
	if m.shareFrom.IsZero() || from.Before(m.shareFrom) {
		m.shareFrom = from
	}
}

// delegationsTo returns the delegations that a request to an allocator carries, one for each part
// that it serves. It leaves out parts whose share may still be delegated elsewhere. There are
// none while the node has no share, or if the allocator's clock was received too long ago for a
// delegation to be valid for a while.
func (m *Machine) delegationsTo(now time.Time, p *peer) []Delegation {
	if !m.hasUsableShare(now) || p.echo.Incarnation == 0 || now.Sub(p.lastReply) >= delegationDuration/2 {
		return nil
	}
	var delegations []Delegation
	for index, addresses := range m.fleet.Home.Allocators {
		part := m.homePart(index)
		if chosen, found := m.firstAvailable(addresses); !found || chosen != p.address || m.delegatedElsewhere(now, part, p.address, p.echo.Incarnation) {
			continue
		}
		m.sentDelegations[part] = sentDelegation{allocator: p.address, incarnation: p.echo.Incarnation, validUntil: now.Add(delegationDuration)}
		delegations = append(delegations, Delegation{Part: part, Share: 1 / float64(m.maxNodes)})
	}
	return delegations
}

// homePart returns the part with the given index in the node's region.
func (m *Machine) homePart(index int) Part {
	return Part{Index: uint16(index), Count: uint16(len(m.fleet.Home.Allocators))}
}

// delegatedElsewhere reports whether the share of a part, or of a part that overlaps it, may
// still be delegated to another allocator.
func (m *Machine) delegatedElsewhere(now time.Time, part Part, allocator string, incarnation uint64) bool {
	for other, sent := range m.sentDelegations {
		if !sent.validUntil.After(now) {
			delete(m.sentDelegations, other)
			continue
		}
		if other != part && other.Count != part.Count || other == part && (sent.allocator != allocator || sent.incarnation != incarnation) {
			return true
		}
	}
	return false
}

// isHomeAllocator reports whether the node delegates to the allocator at an address.
func (m *Machine) isHomeAllocator(address string) bool {
	for _, addresses := range m.fleet.Home.Allocators {
		if chosen, found := m.firstAvailable(addresses); found && chosen == address {
			return true
		}
	}
	return false
}

// renewDelegations renews the delegations to the allocators of the node's region when they are
// due.
func (m *Machine) renewDelegations(now time.Time) {
	for index, addresses := range m.fleet.Home.Allocators {
		address, found := m.firstAvailable(addresses)
		if !found {
			continue
		}
		p := m.peer(address)
		if p.pendingSequence == 0 && (now.Sub(p.lastRequest) >= renewInterval || m.isUndelegated(now, index) && now.Sub(p.lastReply) < delegationDuration/2) {
			m.sendRequest(now, p)
		}
	}
}

// isUndelegated reports whether the node's share of a part could be delegated but is not.
func (m *Machine) isUndelegated(now time.Time, index int) bool {
	part := m.homePart(index)
	return m.hasUsableShare(now) && !m.sentDelegations[part].validUntil.After(now) && !m.delegatedElsewhere(now, part, "", 0)
}

// hasUsableShare reports whether the node has a share that it may delegate now.
func (m *Machine) hasUsableShare(now time.Time) bool {
	return !m.shareFrom.IsZero() && !now.Before(m.shareFrom) && m.maxNodes > 0
}
