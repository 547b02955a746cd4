package proxy

import (
	"net"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
)

// Parts of the grace of a planned stop.
const (
	// routedAwayShare is the part after which no new caller should come any
	// more, since the node calls itself not ready from the start.
	routedAwayShare = 0.4
	// abortShare is the part after which open transactions are rolled back.
	abortShare = 0.65
	// exitShare is the part after which the process ends whatever is left.
	exitShare = 0.85
	// stopLook is the pause between looks at the sessions left.
	stopLook = 50 * time.Millisecond
)

// stop ends the node as planned: it is no longer ready at once, goes on serving
// until callers are led elsewhere, then closes sessions as they become idle.
func (n *Node) stop(listener net.Listener) {
	began := time.Now()
	n.Stopping.Store(true)
	n.Owner.Leave()
	if n.quotas != nil {
		n.quotas.Leave()
	}
	n.log.Write(eventlog.NodeStopping, zap.Int64("sessions", n.sessionCount.Load()))
	part := func(share float64) time.Time {
		return began.Add(time.Duration(share * float64(n.options.StopGrace)))
	}
	time.Sleep(time.Until(part(routedAwayShare)))
	n.closing.Store(true)
	_ = listener.Close()
	for (n.sessionCount.Load() > 0 || n.Owner.Active() > 0) && time.Now().Before(part(exitShare)) {
		if time.Now().After(part(abortShare)) {
			n.aborting.Store(true)
		}
		n.interruptSessions()
		time.Sleep(stopLook)
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
