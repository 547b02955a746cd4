package proxy

import (
	"net"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
)

// Parts of the grace period at which the phases of a planned stop end.
const (
	// routedAwayShare is when callers have noticed that the node is not ready. The node then closes
	// its listener and its idle sessions.
	routedAwayShare = 0.4
	// abortShare is when open transactions are rolled back.
	abortShare = 0.65
	// exitShare is when the process exits, even if sessions are left.
	exitShare = 0.85
	// stopPollInterval is the pause between checks of the remaining sessions.
	stopPollInterval = 50 * time.Millisecond
)

// stop performs a planned stop. The node is not ready from the start, but serves until new callers
// go elsewhere. It then closes sessions as they become idle.
func (n *Node) stop(listener net.Listener) {
	began := time.Now()
	n.Stopping.Store(true)
	n.Owner.AnnounceLeaving()
	if n.Tenures != nil {
		n.Tenures.Leave()
	}
	if n.quotas != nil {
		n.quotas.Leave()
	}
	n.log.Write(eventlog.NodeStopping, zap.Int64("sessions", n.sessionCount.Load()))
	phaseEnd := func(share float64) time.Time {
		return began.Add(time.Duration(share * float64(n.options.StopGrace)))
	}
	time.Sleep(time.Until(phaseEnd(routedAwayShare)))
	n.closing.Store(true)
	_ = listener.Close()
	for (n.sessionCount.Load() > 0 || n.Owner.Active() > 0) && time.Now().Before(phaseEnd(exitShare)) {
		if time.Now().After(phaseEnd(abortShare)) {
			n.aborting.Store(true)
		}
		n.interruptSessions()
		time.Sleep(stopPollInterval)
	}
	n.log.Write(eventlog.NodeStopped, zap.Int64("sessions", n.sessionCount.Load()),
		zap.Int("others_sessions", int(n.Owner.Active())), zap.Duration("took", time.Since(began)))
}

func (n *Node) interruptSessions() {
	n.sessions.Range(func(key, _ any) bool {
		key.(*session).client.Interrupt()
		return true
	})
}
