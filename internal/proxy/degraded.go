package proxy

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/network"
)

// checkDegraded updates whether this node considers itself degraded, because other nodes, the
// servers and the store are all silent. A degraded node suspects no primary, accepts no new callers
// and closes sessions that are between transactions, so that other nodes serve these callers.
func (n *Node) checkDegraded(now time.Time) {
	signs := n.serverSigns(now)
	degraded, changed := n.EvaluateDegraded(now, signs)
	n.Degraded.Store(degraded)
	if changed {
		n.log.Write(eventlog.NodeDegraded, zap.Bool("degraded", degraded),
			zap.Int("servers_silent", signs.Overdue),
			zap.Int64("sessions", n.sessionCount.Load()))
		if !degraded {
			// Other nodes may have taken over leases in the meantime.
			n.RefreshLeases()
		}
	}
	if degraded {
		n.interruptSessions()
	}
}

// serverSigns returns what the node has heard from the servers that it uses.
func (n *Node) serverSigns(now time.Time) network.ServerAnswers {
	var signs network.ServerAnswers
	n.Servers.Range(func(_, value any) bool {
		stats := value.(*backends.Server).Stats
		if heard := now.Add(-stats.SinceAnyAnswer(now)); heard.After(signs.LastAnswer) {
			signs.LastAnswer = heard
		}
		failures, _ := stats.Failures()
		if failures > 0 || stats.Unanswered(now) > backends.SilenceTimeout {
			signs.Overdue++
		}
		return true
	})
	return signs
}

// impaired reports whether the node is isolated or degraded and can't serve callers.
func (n *Node) impaired() bool { return n.Isolated.Load() || n.Degraded.Load() }

// checkIsolated updates whether this node is cut off from the voters. An isolated node accepts no
// new callers and closes sessions that are between transactions, so that other nodes serve these
// callers.
func (n *Node) checkIsolated(now time.Time) {
	if n.Tenures == nil {
		return
	}
	isolated := n.Tenures.Isolated(now)
	if n.Isolated.Swap(isolated) != isolated {
		n.log.Write(eventlog.NodeIsolated, zap.Bool("isolated", isolated),
			zap.Int64("sessions", n.sessionCount.Load()))
	}
	if isolated {
		n.interruptSessions()
	}
}
