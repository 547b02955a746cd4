package proxy

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/freshness"
)

// commandRecord describes how a command was served, for its log line.
type commandRecord struct {
	// server is the last server that was tried.
	server string
	// primary is set if that server was expected to be the primary.
	primary  bool
	attempts int
	// minimum is the minimum position of a read.
	minimum  freshness.MinimumPosition
	headroom headroomRecord
}

// addAttempt records an attempt on a server.
func (a *commandRecord) addAttempt(target *backends.Server, primary bool) {
	a.server, a.primary = target.ID, primary
	a.attempts++
}

// report counts and logs a command that was answered.
func (s *session) report(received *command.Command, reply *Reply, arrived time.Time) {
	now := time.Now()
	s.node.metrics.countCommand(s, received, reply, now.Sub(arrived))
	event := eventlog.RequestServed
	if reply.Failure != nil {
		event = eventlog.RequestFailed
	} else if s.record.attempts == 0 {
		// The node answered by itself, without a server.
		return
	}
	fields := []zap.Field{
		zap.String("request", received.RequestID), zap.Stringer("command", received.Kind),
		zap.String("database", s.database), zap.String("route", s.route.Name),
		zap.String("service", s.route.Service), zap.String("tenant", string(s.principal)),
		zap.String("freshness", freshnessNames[s.route.Freshness]), zap.Bool("writes", s.writes(received)),
		zap.Uint64("configuration", s.node.configurationVersion()), zap.Duration("took", now.Sub(arrived)),
		zap.Int("attempts", s.record.attempts), zap.String("server", s.record.server),
		zap.Bool("on_primary", s.record.primary),
	}
	if !s.record.minimum.Since.IsZero() {
		fields = append(fields, zap.Stringer("floor", s.record.minimum.Position),
			zap.Duration("floor_age", now.Sub(s.record.minimum.Since)))
	}
	if replicaWait := s.record.headroom.replicaWait; replicaWait > 0 {
		fields = append(fields, zap.Duration("awaited_replica", replicaWait))
	}
	if reply.Failure != nil && s.record.headroom.rule != "" {
		fields = append(fields, zap.String("rule", string(s.record.headroom.rule)),
			zap.Duration("told_wait", s.record.headroom.wait), zap.Duration("told_age", s.record.headroom.age))
	}
	if reply.Failure != nil {
		fields = append(fields, zap.Stringer("outcome", reply.Failure.Kind),
			zap.String("detail", reply.Failure.FullDetail()),
			zap.Bool("promised_not_kept", reply.Failure.Kind.NotRun()))
		if leases, usesTenures := s.node.LeaseStatus(s.route.Service, now); usesTenures {
			fields = append(fields, zap.Any("leases", leases))
		}
	}
	s.node.log.Write(event, fields...)
}

// writes reports whether a command is a write, or executes a prepared one.
func (s *session) writes(received *command.Command) bool {
	return received.Kind == command.Write ||
		(received.Kind == command.Execute && s.prepared[received.Name].Writes)
}

func (n *Node) configurationVersion() uint64 {
	if configuration := n.catalog.Current().Configuration; configuration != nil {
		return configuration.Version
	}
	return 0
}
