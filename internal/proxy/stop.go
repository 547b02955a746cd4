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
	// abortShare is when open transactions are rolled back, and no more work is taken.
	abortShare = 0.65
	// exitShare is when commands that are still running are answered, and the process exits.
	exitShare = 0.85
	// lastReplyShare bounds the time for these answers.
	lastReplyShare = 0.93
	// stopPollInterval is the pause between checks of the remaining sessions.
	stopPollInterval = 50 * time.Millisecond
)

// stop performs a planned stop. The node is not ready from the start, but serves until new callers
// go elsewhere. It then closes sessions as they become idle. Work that cannot end before the process does is
// refused, and whatever is left at the end is answered.
func (n *Node) stop(listener net.Listener) {
	began := time.Now()
	n.Stopping.Store(true)
	endsAt := began.Add(time.Duration(exitShare * float64(n.options.StopGrace)))
	n.endsAt.Store(&endsAt)
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
		if time.Now().After(phaseEnd(abortShare)) && !n.aborting.Swap(true) {
			n.Owner.Abort()
		}
		n.interruptSessions()
		time.Sleep(stopPollInterval)
	}
	n.ending.Store(true)
	n.cutOffCommands(phaseEnd(lastReplyShare))
	n.log.Write(eventlog.NodeStopped, zap.Int64("sessions", n.sessionCount.Load()),
		zap.Int("others_sessions", int(n.Owner.Active())), zap.Duration("took", time.Since(began)))
}

func (n *Node) interruptSessions() {
	n.sessions.Range(func(key, _ any) bool {
		key.(*session).client.Interrupt()
		return true
	})
}
