package sim

import "time"

// location is the ID of a process and the zone in which it runs.
type location struct {
	zone Zone
	id   string
}

// network simulates delays, losses and partitions.
type network struct {
	world *World
	// isolatedZones holds the names of the zones that are isolated from other zones.
	isolatedZones map[string]bool
	// regionsIsolated is true while regions cannot reach each other.
	regionsIsolated bool
	// isolatedProcesses holds the IDs of processes that cannot reach any other process.
	isolatedProcesses map[string]bool
}

func newNetwork(world *World) *network {
	return &network{world: world, isolatedZones: map[string]bool{}, isolatedProcesses: map[string]bool{}}
}

func (n *network) heal() {
	n.isolatedZones = map[string]bool{}
	n.isolatedProcesses = map[string]bool{}
	n.regionsIsolated = false
}

func (n *network) reachable(from, to location) bool {
	if from.id == to.id {
		return true
	}
	switch {
	case n.isolatedProcesses[from.id] || n.isolatedProcesses[to.id]:
		return false
	case from.zone.Name != to.zone.Name && (n.isolatedZones[from.zone.Name] || n.isolatedZones[to.zone.Name]):
		return false
	case from.zone.Region != to.zone.Region && n.regionsIsolated:
		return false
	}
	return true
}

// delay returns a one-way delay with jitter of up to 10%.
func (n *network) delay(from, to location) time.Duration {
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

// deliverDatagram calls deliver once, twice or, if the datagram is lost, not at all.
func (n *network) deliverDatagram(from, to location, deliver func()) {
	if !n.reachable(from, to) || n.world.chance(n.world.settings.DatagramLoss) {
		return
	}
	n.world.After(n.delay(from, to), deliver)
	if n.world.chance(n.world.settings.Duplicates) {
		n.world.After(n.delay(from, to)*2, deliver)
	}
}

// retransmitInterval is the interval between attempts to send bytes during a partition.
const retransmitInterval = 100 * time.Millisecond

// deliverBytes delivers bytes of an open connection. During a partition they are delayed
// until it ends, and dropped if the connection has been closed by then.
func (n *network) deliverBytes(from, to location, open func() bool, deliver func()) {
	if !open() {
		return
	}
	if n.reachable(from, to) {
		n.world.After(n.delay(from, to), deliver)
		return
	}
	n.world.After(retransmitInterval, func() { n.deliverBytes(from, to, open, deliver) })
}
