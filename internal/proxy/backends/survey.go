package backends

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/upstream"
)

const (
	// BusyPause is the pause before a server that refused for want of a slot is asked again.
	BusyPause = 15 * time.Millisecond
	// LeaderPause is the longest wait for a change of the primary before another look.
	LeaderPause = 50 * time.Millisecond
)

// surveyLimit bounds the wait for the servers' reports. A status takes a slot,
// so a server with a full queue answers late; one that is left out may be the
// one that has received most.
const surveyLimit = 600 * time.Millisecond

// survey asks the servers of the service for their status. For one that does
// not answer in time, but has answered others lately, the position it is known
// to have applied stands for what it has received.
func (s *Service) survey(effect failover.Survey) []failover.Report {
	s.replication <- struct{}{}
	defer func() { <-s.replication }()
	var reports []failover.Report
	var mutex sync.Mutex
	var asked sync.WaitGroup
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		if entry.ID == effect.Except || entry.Gone {
			continue
		}
		target := s.backends.Server(entry.ID)
		if target == nil {
			continue
		}
		asked.Go(func() {
			deadline := time.Now().Add(surveyLimit)
			status := target.report(upstream.Operation{Kind: upstream.ReportStatus}, deadline)
			if status != nil && effect.Hold && !status.Primary {
				status = target.report(upstream.Operation{Kind: upstream.HoldReplication, Term: status.Term + 1}, deadline)
			}
			assumed := false
			if status == nil && !effect.Hold {
				status = target.lastKnown(time.Now())
				assumed = true
			}
			if status == nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			reports = append(reports, failover.Report{ID: target.ID, Primary: status.Primary, Term: status.Term, Received: status.Received, Assumed: assumed, Lost: target.lacks.lacks(status.Received)})
		})
	}
	asked.Wait()
	s.backends.log.Write(eventlog.FailoverSurvey, zap.String("service", s.Name), zap.Any("reports", reports))
	return reports
}

// knownWithin is how old a server's last answer may be for its known position to
// stand for a report.
const knownWithin = time.Second

// lastKnown returns what a server's answers have shown, nil if they are old.
func (t *Server) lastKnown(now time.Time) *upstream.Status {
	applied := t.Stats.Applied()
	if applied.IsZero() || t.Stats.SinceAnswer(now) > knownWithin {
		return nil
	}
	return &upstream.Status{Term: applied.Term, Received: applied}
}

// resumeReplication lets the replicas receive again. It never overlaps a survey:
// a late word to one replica would let go of what the survey holds.
func (s *Service) resumeReplication() {
	s.replication <- struct{}{}
	defer func() { <-s.replication }()
	deadline := time.Now().Add(resumeLimit)
	var asked sync.WaitGroup
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		target := s.backends.Server(entry.ID)
		if target == nil || entry.Gone {
			continue
		}
		asked.Go(func() { target.resume(deadline) })
	}
	asked.Wait()
}

// resumeLimit bounds the wait for the replicas' answers.
const resumeLimit = 250 * time.Millisecond

func (t *Server) resume(deadline time.Time) {
	lease, err := t.Pool.Reserve(deadline)
	if err != nil {
		return
	}
	batch := lease.Run([]upstream.Operation{{Kind: upstream.ResumeReplication}}, deadline)
	if batch.Err != nil {
		lease.Discard()
		return
	}
	lease.Return()
}

// report asks a server for its status until it answers or the deadline passes.
func (t *Server) report(question upstream.Operation, deadline time.Time) *upstream.Status {
	for time.Now().Before(deadline) {
		lease, err := t.Pool.Reserve(deadline)
		if err != nil {
			return nil
		}
		batch := lease.Run([]upstream.Operation{question}, deadline)
		if batch.Err != nil {
			lease.Discard()
			return nil
		}
		lease.Return()
		if result := batch.Last(); result.Outcome == upstream.Succeeded {
			return result.Status
		}
		time.Sleep(BusyPause)
	}
	return nil
}

// standing is what a server's answer to a question for the primary's role shows.
type standing uint8

const (
	// inconclusive: there was no free connection to ask on, which says nothing
	// of the server.
	inconclusive standing = iota
	// silent: the server gave no answer.
	silent
	// otherwise: the server answered, and did not prove to be the primary.
	otherwise
	// leading: the server proved to be the primary.
	leading
)

// lender is a way to a connection.
type lender func(target *Server, deadline time.Time) (*upstream.Lease, error)

// lendOwn lends a connection for a question that may go through the server's owner.
func (b *Backends) lendOwn(target *Server, deadline time.Time) (*upstream.Lease, error) {
	return b.Lend(target, upstream.Own, deadline)
}

// reserve lends a connection of this node's own for a question about the server.
func reserve(target *Server, deadline time.Time) (*upstream.Lease, error) {
	return target.Pool.Reserve(deadline)
}

// prove asks a server to open and end a transaction that only a primary accepts.
func (s *Service) prove(target *Server, lend lender, deadline time.Time) standing {
	held, holds := s.Hold(target.ID)
	lease, err := lend(target, deadline)
	if err != nil {
		if _, refused := upstream.RefusalOf(err); refused {
			return otherwise
		}
		if errors.Is(err, upstream.ErrNoConnection) && target.Stats.Unanswered(time.Now()) < pingLimit {
			return inconclusive
		}
		return silent
	}
	batch := lease.Run([]upstream.Operation{{Kind: upstream.Begin}, {Kind: upstream.Rollback}}, deadline)
	if batch.Err != nil {
		lease.Discard()
		return silent
	}
	arrived := time.Now()
	lease.Settle(batch.Last())
	if s.JudgeBegin(target, batch.First()) && holds && s.Confirmed(held, arrived, deadline) {
		s.Proved(target, batch.SentAt, batch.First())
		return leading
	}
	return otherwise
}

// JudgeBegin reports whether a server has accepted a transaction as the primary, and
// takes its word that it does not lead.
func (s *Service) JudgeBegin(target *Server, begin *upstream.Result) bool {
	if !s.backends.present(target) {
		return false
	}
	s.disown(target, begin)
	switch begin.Outcome {
	case upstream.Succeeded:
		return true
	case upstream.NotPrimary:
		if s.Deny(target.ID, time.Now()) {
			s.backends.log.Write(eventlog.PrimaryDenied, zap.String("service", s.Name), zap.String("server", target.ID))
		}
	default:
	}
	return false
}

// Proved takes an answer that only the primary gives to a question sent at a time. Where
// nodes agree on tenures, it has been confirmed.
func (s *Service) Proved(target *Server, sentAt time.Time, result *upstream.Result) {
	if !s.backends.present(target) {
		return
	}
	if s.backends.Tenures == nil && s.Belief.Confirm(target.ID, result.Position.Term) {
		s.backends.log.Write(eventlog.PrimaryProved, zap.String("by", "answer"), zap.String("service", s.Name),
			zap.String("server", target.ID), zap.Stringer("position", result.Position))
	}
	if !result.Position.IsZero() {
		s.Proofs.Add(freshness.Proof{At: sentAt, Position: result.Position})
	}
}

// refresher makes concurrent callers share one question to the primary.
type refresher struct {
	mutex   sync.Mutex
	running chan struct{}
}

// RefreshProof asks the primary for a new proof, or waits for the question
// under way. A question under way began before the caller's, which is fine:
// the caller looks whether the proof is new enough.
func (s *Service) RefreshProof(deadline time.Time) {
	s.refresh.mutex.Lock()
	running := s.refresh.running
	if running == nil {
		running = make(chan struct{})
		s.refresh.running = running
		go s.askProof(running, deadline)
	}
	s.refresh.mutex.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-running:
	case <-timer.C:
	}
}

func (s *Service) askProof(done chan struct{}, deadline time.Time) {
	defer func() {
		s.refresh.mutex.Lock()
		s.refresh.running = nil
		s.refresh.mutex.Unlock()
		close(done)
	}()
	target := s.Leader(time.Now())
	if target == nil {
		time.Sleep(LeaderPause)
		return
	}
	limit := time.Now().Add(ProofLimit)
	if deadline.Before(limit) {
		limit = deadline
	}
	if s.prove(target, s.backends.lendOwn, limit) != leading {
		time.Sleep(LeaderPause)
	}
}

// ProofLimit bounds one question for a proof.
const ProofLimit = 300 * time.Millisecond
