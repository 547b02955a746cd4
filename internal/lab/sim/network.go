package sim

import "time"

// place is where a process runs.
type place struct {
	zone Zone
	id   string
}

// network delays, loses and cuts messages.
type network struct {
	world *World
	// cutZones holds zone names that cannot be reached from other zones.
	cutZones map[string]bool
	// cutRegions is set while regions cannot reach each other.
	cutRegions bool
	// cutProcesses holds processes that can reach nobody but their own zone's servers.
	cutProcesses map[string]bool
}

func newNetwork(world *World) *network {
	return &network{world: world, cutZones: map[string]bool{}, cutProcesses: map[string]bool{}}
}

func (n *network) heal() {
	n.cutZones = map[string]bool{}
	n.cutProcesses = map[string]bool{}
	n.cutRegions = false
}

func (n *network) reachable(from, to place) bool {
	if from.id == to.id {
		return true
	}
	switch {
	case n.cutProcesses[from.id] || n.cutProcesses[to.id]:
		return false
	case from.zone.Name != to.zone.Name && (n.cutZones[from.zone.Name] || n.cutZones[to.zone.Name]):
		return false
	case from.zone.Region != to.zone.Region && n.cutRegions:
		return false
	}
	return true
}

// delay returns a one-way delay with up to a tenth of jitter.
func (n *network) delay(from, to place) time.Duration {
	settings := &n.world.settings
	base := settings.InZone
	switch {
	case from.id == to.id:
		return 0
	case from.zone.Region != to.zone.Region:
		base = settings.BetweenRegions
	case from.zone.Name != to.zone.Name:
		base = settings.BetweenZones
	}
	return base + time.Duration(n.world.random.Int64N(int64(base)/10+1))
}

// datagram delivers once, twice or not at all.
func (n *network) datagram(from, to place, deliver func()) {
	if !n.reachable(from, to) || n.world.chance(n.world.settings.DatagramLoss) {
		return
	}
	n.world.After(n.delay(from, to), deliver)
	if n.world.chance(n.world.settings.Duplicates) {
		n.world.After(n.delay(from, to)*2, deliver)
	}
}

// retransmit is the pause between attempts to get bytes through a cut.
const retransmit = 100 * time.Millisecond

// bytes delivers bytes of an open connection: through a cut they arrive when it
// heals, unless the connection has been closed by then.
func (n *network) bytes(from, to place, open func() bool, deliver func()) {
	if !open() {
		return
	}
	if n.reachable(from, to) {
		n.world.After(n.delay(from, to), deliver)
		return
	}
	n.world.After(retransmit, func() { n.bytes(from, to, open, deliver) })
}
