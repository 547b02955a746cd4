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
	answers := n.serverAnswers(now)
	degraded, changed := n.EvaluateDegraded(now, answers)
	n.Degraded.Store(degraded)
	if changed {
		n.log.Write(eventlog.NodeDegraded, zap.Bool("degraded", degraded),
			zap.Int("servers_silent", answers.Overdue),
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

// serverAnswers returns when a server last answered this node, and how many servers' answers are
// overdue.
func (n *Node) serverAnswers(now time.Time) network.ServerAnswers {
	var answers network.ServerAnswers
	n.Servers.Range(func(_, value any) bool {
		stats := value.(*backends.Server).Stats
		if lastAnswer := now.Add(-stats.SinceAnyAnswer(now)); lastAnswer.After(answers.LastAnswer) {
			answers.LastAnswer = lastAnswer
		}
		failures, _ := stats.Failures()
		if failures > 0 || stats.Unanswered(now) > backends.SilenceTimeout {
			answers.Overdue++
		}
		return true
	})
	return answers
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
