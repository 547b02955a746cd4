package proxy

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/network"
)

// lookDegraded notes whether this node takes itself to be at fault, since other nodes,
// servers and the store are all silent. It then suspects no primary, wants no new
// callers, and lets go of those that it has: on other nodes they are served.
func (n *Node) lookDegraded(now time.Time) {
	signs := n.serverSigns(now)
	degraded, changed := n.Distrusts(now, signs)
	n.Degraded.Store(degraded)
	if changed {
		n.log.Write(eventlog.NodeDegraded, zap.Bool("degraded", degraded), zap.Int("servers_silent", signs.Silent),
			zap.Int64("sessions", n.sessionCount.Load()))
		if !degraded {
			// Other nodes may have taken leases over meanwhile.
			n.RefreshLeases()
		}
	}
	if degraded {
		n.interruptSessions()
	}
}

// serverSigns returns what the node has heard of the servers that it uses.
func (n *Node) serverSigns(now time.Time) network.ServerSigns {
	var signs network.ServerSigns
	n.Servers.Range(func(_, value any) bool {
		stats := value.(*backends.Server).Stats
		if heard := now.Add(-stats.SinceSign(now)); heard.After(signs.Heard) {
			signs.Heard = heard
		}
		failures, _ := stats.Failures()
		if failures > 0 || stats.Unanswered(now) > backends.SilenceLimit {
			signs.Silent++
		}
		return true
	})
	return signs
}

// secluded reports whether the node is of no use to callers at present.
func (n *Node) secluded() bool { return n.Isolated.Load() || n.Degraded.Load() }

// lookIsolated notes whether this node is cut off from the voters. It then wants no new
// callers and lets go of those that it has as soon as nothing of theirs is under way: on
// other nodes they are served.
func (n *Node) lookIsolated(now time.Time) {
	if n.Tenures == nil {
		return
	}
	isolated := n.Tenures.Isolated(now)
	if n.Isolated.Swap(isolated) != isolated {
		n.log.Write(eventlog.NodeIsolated, zap.Bool("isolated", isolated), zap.Int64("sessions", n.sessionCount.Load()))
	}
	if isolated {
		n.interruptSessions()
	}
}
