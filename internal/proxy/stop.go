package proxy

import (
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
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

// A stopping node refuses commands that may not end before its process does, and answers those that are
// still running then. Either answer is the last one of its session.

// commandPhase is a phase of a session's current command.
type commandPhase uint32

const (
	// noCommand: the session waits for a command.
	noCommand commandPhase = iota
	runningCommand
	// replying: the session's own goroutine sends the reply.
	replying
	// cutOff: the stopping node has taken over the reply.
	cutOff
)

// commandState decides who replies to a session's current command: the goroutine of the session, or the
// node that stops before it has done so.
type commandState struct {
	phase atomic.Uint32
	// cutOffKind is the failure with which the command is answered if it is cut off. It is set before
	// the phase.
	cutOffKind failure.Kind
}

// begin starts a command that is answered with a failure if it is cut off.
func (c *commandState) begin(kind failure.Kind) {
	c.cutOffKind = kind
	c.phase.Store(uint32(runningCommand))
}

// refuse notes that the session's own goroutine refuses a command that was not begun.
func (c *commandState) refuse() { c.phase.Store(uint32(replying)) }

// claim reports whether the session's own goroutine sends the reply.
func (c *commandState) claim() bool {
	return c.phase.CompareAndSwap(uint32(runningCommand), uint32(replying))
}

func (c *commandState) end() { c.phase.Store(uint32(noCommand)) }

// cutOff reports whether the node sends the reply to a command that is still running.
func (c *commandState) cutOff() bool {
	return c.phase.CompareAndSwap(uint32(runningCommand), uint32(cutOff))
}

func (c *commandState) isReplying() bool { return c.phase.Load() == uint32(replying) }

// cutOffKind returns the failure with which a command is answered that is still running when the process
// ends. A transaction keeps nothing if its COMMIT was not sent.
func (s *session) cutOffKind(received *command.Command) failure.Kind {
	t := s.transaction
	if t != nil && (received.Kind != command.Commit || !t.wrote) {
		return failure.TransactionLost
	}
	return failure.OutcomeUnknown
}

// refuseBeforeEnd returns the refusal of a command that is not run because the process ends soon, or nil
// if it is run. A transaction that is open may still be ended.
func (s *session) refuseBeforeEnd(received *command.Command, now time.Time) *failure.Error {
	t := s.transaction
	endsTransaction := received.Kind == command.Commit || received.Kind == command.Rollback
	if t == nil {
		if s.node.aborting.Load() {
			return failure.Refuse(failure.Stopping, withJitter(minRetryAfter))
		}
		return nil
	}
	if endsTransaction && !s.node.ending.Load() {
		return nil
	}
	if !s.node.aborting.Load() && !s.outlastsProcess(t, now) {
		return nil
	}
	return failure.Refuse(failure.TransactionLost, withJitter(minRetryAfter))
}

// outlastsProcess reports whether a statement of a transaction is expected to run longer than the
// process of a stopping node.
func (s *session) outlastsProcess(t *transaction, now time.Time) bool {
	endsAt := s.node.endsAt.Load()
	return endsAt != nil && s.node.closing.Load() && t.server != nil && now.Add(t.server.Stats.Latency(now)).After(*endsAt)
}

// rollBackBeforeEnd rolls back an open transaction without a command. It reports whether the session waits for
// the next command, which is refused: the caller then knows that nothing was kept.
func (s *session) rollBackBeforeEnd() bool {
	if s.transaction == nil || s.node.ending.Load() {
		return false
	}
	if !s.transaction.failed {
		s.transaction.fail(s, "stopping")
	}
	return true
}

// rolledBackBeforeEnd reports whether rollBackBeforeEnd has rolled back the transaction.
func (s *session) rolledBackBeforeEnd() bool {
	return s.node.aborting.Load() && s.transaction != nil && s.transaction.failed
}

// cutOffCommands answers all commands that are still running. It returns once the replies are sent or the
// limit has passed.
func (n *Node) cutOffCommands(limit time.Time) {
	var pending atomic.Int64
	n.sessions.Range(func(key, _ any) bool {
		s := key.(*session)
		if s.command.cutOff() {
			pending.Add(1)
			go func() {
				defer pending.Add(-1)
				_ = s.client.Reply(Reply{Failure: cutOffFailure(s.command.cutOffKind), State: upstream.Idle})
				s.client.Close()
			}()
		}
		return true
	})
	// A command that has just been read is refused meanwhile.
	time.Sleep(cutOffPollInterval)
	for (pending.Load() > 0 || n.isReplying()) && time.Now().Before(limit) {
		time.Sleep(cutOffPollInterval)
	}
}

func cutOffFailure(kind failure.Kind) *failure.Error {
	if kind == failure.OutcomeUnknown {
		return failure.New(kind, "")
	}
	return failure.Refuse(kind, withJitter(minRetryAfter))
}

// cutOffPollInterval is the pause between checks whether the last replies are sent.
const cutOffPollInterval = 5 * time.Millisecond

// isReplying reports whether a session sends a reply.
func (n *Node) isReplying() bool {
	replying := false
	n.sessions.Range(func(key, _ any) bool {
		replying = key.(*session).command.isReplying()
		return !replying
	})
	return replying
}
