package proxy

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/freshness"
)

// account tells how a command was served, for its line in the log.
type account struct {
	// server is the last server that was tried.
	server string
	// primary is set if that server was believed to be the primary.
	primary  bool
	attempts int
	// floor is what a read had to see.
	floor freshness.Floor
	room  roomAccount
}

// tried notes an attempt on a server.
func (a *account) tried(target *backends.Server, primary bool) {
	a.server, a.primary = target.ID, primary
	a.attempts++
}

// report counts a command that was answered and logs it.
func (s *session) report(received *command.Command, reply *Reply, arrived time.Time) {
	now := time.Now()
	s.node.metrics.answered(s, received, reply, now.Sub(arrived))
	event := eventlog.RequestServed
	if reply.Failure != nil {
		event = eventlog.RequestFailed
	} else if s.account.attempts == 0 {
		// Answered by the node itself; nothing was decided.
		return
	}
	fields := []zap.Field{
		zap.String("request", received.RequestID), zap.Stringer("command", received.Kind),
		zap.String("database", s.database), zap.String("route", s.bound.Name), zap.String("service", s.bound.Service), zap.String("tenant", string(s.principal)),
		zap.String("freshness", freshnessNames[s.bound.Freshness]), zap.Bool("writes", s.writes(received)),
		zap.Uint64("configuration", s.node.configurationVersion()), zap.Duration("took", now.Sub(arrived)),
		zap.Int("attempts", s.account.attempts), zap.String("server", s.account.server), zap.Bool("on_primary", s.account.primary),
	}
	if !s.account.floor.Since.IsZero() {
		fields = append(fields, zap.Stringer("floor", s.account.floor.Position), zap.Duration("floor_age", now.Sub(s.account.floor.Since)))
	}
	if awaited := s.account.room.awaited; awaited > 0 {
		fields = append(fields, zap.Duration("awaited_replica", awaited))
	}
	if reply.Failure != nil && s.account.room.rule != "" {
		fields = append(fields, zap.String("rule", string(s.account.room.rule)), zap.Duration("told_wait", s.account.room.wait), zap.Duration("told_age", s.account.room.age))
	}
	if reply.Failure != nil {
		fields = append(fields, zap.Stringer("outcome", reply.Failure.Kind), zap.String("detail", reply.Failure.FullDetail()),
			zap.Bool("promised_not_kept", reply.Failure.Kind.NotRun()))
		if leases, agreed := s.node.LeaseAccount(s.bound.Service, now); agreed {
			fields = append(fields, zap.Any("leases", leases))
		}
	}
	s.node.log.Write(event, fields...)
}

// writes reports whether a command is a write, or the execution of one.
func (s *session) writes(received *command.Command) bool {
	return received.Kind == command.Write || (received.Kind == command.Execute && s.prepared[received.Name].Writes)
}

func (n *Node) configurationVersion() uint64 {
	if configuration := n.catalog.Current().Configuration; configuration != nil {
		return configuration.Version
	}
	return 0
}
