package backends

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/upstream"
)

// lostLog is what the log of a server may lack that has started again under its ID.
type lostLog struct {
	// since is when this node learned of the server's present life; zero if it knows no
	// earlier one.
	since time.Time
	// known is what the service's log was known to hold then.
	known position.Position
}

// lacks reports whether a server which shows a position has not got back the log that was
// known before it started again. Of another term nothing is known: a promotion may have
// removed the end of the log.
func (l *lostLog) lacks(shown position.Position) bool {
	return !l.since.IsZero() && shown.Term <= l.known.Term && shown.Less(l.known)
}

// endEarlierLife ends what is known of a server that has started again: connections with
// their prepared names, load, health, lag and ejections. It returns what its log may lack.
func (b *Backends) endEarlierLife(entry *catalog.Server) lostLog {
	known := b.Server(entry.ID)
	if known == nil || known.born == entry.Born {
		return lostLog{}
	}
	service := b.Service(entry.Service)
	lacks := lostLog{since: time.Now(), known: service.Proofs.Newest().Position}
	b.forgetServer(entry.ID)
	b.log.Write(eventlog.ServerReborn, zap.String("server", entry.ID), zap.String("service", entry.Service),
		zap.Int64("born", entry.Born), zap.Int64("before", known.born), zap.Stringer("known", lacks.known))
	b.metrics.rebirths.Inc()
	return lacks
}

// present reports whether a runtime state is that of the server's present life: what an
// earlier one has answered changes nothing.
func (b *Backends) present(target *Server) bool { return b.Server(target.ID) == target }

// disown turns the acceptance of a transaction by a server that lacks its own log into a
// denial: it would answer for commits which it does not have. It reports whether it did.
func (s *Service) disown(target *Server, begin *upstream.Result) bool {
	if begin.Outcome != upstream.Succeeded || !target.lacks.lacks(begin.Position) {
		return false
	}
	begin.Outcome = upstream.NotPrimary
	s.backends.log.Write(eventlog.PrimaryLacksLog, zap.String("service", s.Name), zap.String("server", target.ID),
		zap.Stringer("position", begin.Position), zap.Stringer("known", target.lacks.known))
	return true
}
