package quota

import "time"

// promise is to whom a share is delegated, and until when at the latest. Another process
// at the same address is another allocator: the last one may have handed out what the share was
// sure to mint.
type promise struct {
	allocator string
	life      uint64
	until     time.Time
}

// SetShare gives the node its share from a time on. What an earlier life of the process
// has delegated has run out by then if that is delegationSpan after the process began.
func (m *Machine) SetShare(from time.Time) {
	if earliest := m.cfg.Started.Add(delegationSpan); from.Before(earliest) {
		from = earliest
	}
	if m.shareFrom.IsZero() || from.Before(m.shareFrom) {
		m.shareFrom = from
	}
}

// promise returns the delegations that a request to an allocator carries: the parts whose allocator
// it is, unless the node has no share yet, the share may still be at another allocator, or the
// allocator's clock is not known well enough for the delegation to hold for a while.
func (m *Machine) promise(now time.Time, c *correspondent) []Delegation {
	if !m.usable(now) || c.echo.Life == 0 || now.Sub(c.heard) >= delegationSpan/2 {
		return nil
	}
	var delegations []Delegation
	for index, addresses := range m.fleet.Home.Allocators {
		part := m.homePart(index)
		if present, found := m.firstAnswering(addresses); !found || present != c.address || m.heldElsewhere(now, part, c.address, c.echo.Life) {
			continue
		}
		m.promises[part] = promise{allocator: c.address, life: c.echo.Life, until: now.Add(delegationSpan)}
		delegations = append(delegations, Delegation{Part: part, Share: 1 / float64(m.nodes)})
	}
	return delegations
}

// homePart returns the part of the tenants that an allocator of the node's region serves.
func (m *Machine) homePart(index int) Part {
	return Part{Index: uint16(index), Of: uint16(len(m.fleet.Home.Allocators))}
}

// heldElsewhere reports whether the share of a part, or of one that overlaps it, may still
// be delegated to another allocator.
func (m *Machine) heldElsewhere(now time.Time, part Part, allocator string, life uint64) bool {
	for other, known := range m.promises {
		if !known.until.After(now) {
			delete(m.promises, other)
			continue
		}
		if other != part && other.Of != part.Of || other == part && (known.allocator != allocator || known.life != life) {
			return true
		}
	}
	return false
}

// isHome reports whether a node is an allocator to which this one delegates.
func (m *Machine) isHome(address string) bool {
	for _, addresses := range m.fleet.Home.Allocators {
		if present, found := m.firstAnswering(addresses); found && present == address {
			return true
		}
	}
	return false
}

// renew tells the allocators of this node's region that its share is still theirs.
func (m *Machine) renew(now time.Time) {
	for index, addresses := range m.fleet.Home.Allocators {
		address, found := m.firstAnswering(addresses)
		if !found {
			continue
		}
		c := m.correspondent(address)
		if c.awaited == 0 && (now.Sub(c.sent) >= renewInterval || m.idle(now, index) && now.Sub(c.heard) < delegationSpan/2) {
			m.request(now, c)
		}
	}
}

// idle reports whether the node's share of a part could be delegated, and is not.
func (m *Machine) idle(now time.Time, index int) bool {
	part := m.homePart(index)
	return m.usable(now) && !m.promises[part].until.After(now) && !m.heldElsewhere(now, part, "", 0)
}

// usable reports whether the node has a share that it may delegate.
func (m *Machine) usable(now time.Time) bool {
	return !m.shareFrom.IsZero() && !now.Before(m.shareFrom) && m.nodes > 0
}
