package backends

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/upstream"
)

// logLossState describes what may be missing from the log of a server that has restarted under the
// same ID.
type logLossState struct {
	// since is when this node learned of the server's current incarnation; zero if it knows no
	// earlier one.
	since time.Time
	// knownPosition is the newest position of the service's log known to this node at that time.
	knownPosition position.Position
}

// missingAt reports whether a server at the given position has not recovered the log that was known
// before its restart. It is false for a newer term, since a promotion may have removed the end of
// the log.
func (l *logLossState) missingAt(reached position.Position) bool {
	return !l.since.IsZero() && reached.Term <= l.knownPosition.Term && reached.Less(l.knownPosition)
}

// endEarlierIncarnation drops the state of a server that has restarted: connections with their
// prepared statements, load, health, lag and ejections. It returns what may be missing from its
// log.
func (b *Backends) endEarlierIncarnation(entry *catalog.Server) logLossState {
	previous := b.Server(entry.ID)
	if previous == nil || previous.incarnation == entry.Incarnation {
		return logLossState{}
	}
	service := b.Service(entry.Service)
	loss := logLossState{since: time.Now(), knownPosition: service.Proofs.Newest().Position}
	b.forgetServer(entry.ID)
	b.log.Write(eventlog.ServerReborn, zap.String("server", entry.ID), zap.String("service", entry.Service),
		zap.Int64("born", entry.Incarnation), zap.Int64("before", previous.incarnation), zap.Stringer("known", loss.knownPosition))
	b.metrics.restarts.Inc()
	return loss
}

// isCurrent reports whether target belongs to the server's current incarnation. Answers of an
// earlier one must change nothing.
func (b *Backends) isCurrent(target *Server) bool { return b.Server(target.ID) == target }

// rejectIncompletePrimary turns a server's acceptance of a transaction into a denial if its log
// lost entries: the server would serve without commits that were acknowledged. It reports whether
// it did so.
func (s *Service) rejectIncompletePrimary(target *Server, begin *upstream.Result) bool {
	if begin.Outcome != upstream.Succeeded || !target.logLoss.missingAt(begin.Position) {
		return false
	}
	begin.Outcome = upstream.NotPrimary
	s.backends.log.Write(eventlog.PrimaryLacksLog, zap.String("service", s.Name), zap.String("server", target.ID),
		zap.Stringer("position", begin.Position), zap.Stringer("known", target.logLoss.knownPosition))
	return true
}
