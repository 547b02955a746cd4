package backends

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/tenure"
	"dewknot/internal/proxy/upstream"
)

// performTenure carries out a step of a campaign; it reports false for other effects.
func (s *Service) performTenure(effect failover.Effect) bool {
	began := time.Now()
	switch effect := effect.(type) {
	case failover.Prepare:
		result := s.backends.Tenures.Prepare(s.Name, effect.Ballot)
		s.logRound("prepare", effect.Ballot, "", &result, began)
		s.submit(preparedFrom(effect.Ballot, &result))
	case failover.Choose:
		result := s.backends.Tenures.Choose(s.Name, quorum.Tenure{Ballot: effect.Ballot, Primary: effect.Target}, effect.Ordering)
		s.logRound("choose", effect.Ballot, effect.Target, &result, began)
		s.submit(failover.Held{Agreed: result.Agreed})
	case failover.AwaitClear:
		result := s.backends.Tenures.AwaitClear(s.Name, effect.Ballot, clearLimit)
		s.logRound("clear", effect.Ballot, "", &result, began)
		s.submit(failover.Cleared{Agreed: result.Agreed})
	case failover.Open:
		result := s.backends.Tenures.Open(s.Name, quorum.Tenure{Ballot: effect.Ballot, Primary: effect.Primary}, effect.Term, effect.Loose)
		s.logRound("open", effect.Ballot, effect.Primary, &result, began)
		s.submit(failover.Opened{Agreed: result.Agreed})
	case failover.StepDown:
		s.submit(s.stepDown(effect.Server))
	case failover.AwaitLead:
		s.submit(s.awaitLead(effect.Target, effect.Least, began.Add(effect.Limit)))
	default:
		return false
	}
	return true
}

// clearLimit bounds the wait for leases to end: those of a voter that has just begun are
// counted from its beginning.
const clearLimit = quorum.LeaseSpan + 300*time.Millisecond

func preparedFrom(ballot uint64, result *tenure.Result) failover.Prepared {
	event := failover.Prepared{Agreed: result.Agreed, Highest: result.Highest, Busy: !result.Agreed && result.Highest < ballot}
	if !result.Agreed {
		return event
	}
	merged := quorum.Merge(result.Records)
	event.Term, event.Loose, event.LooseFor = merged.Term, result.Loose, result.LooseFor
	if merged.Ordering {
		event.Bound, event.BoundBallot = merged.Chosen.Primary, merged.Chosen.Ballot
	} else {
		event.Settled = merged.Chosen.Primary
	}
	return event
}

func (s *Service) logRound(step string, ballot uint64, target string, result *tenure.Result, began time.Time) {
	s.backends.metrics.rounds.WithLabelValues(step, outcomeOf(result.Agreed)).Observe(time.Since(began).Seconds())
	s.backends.log.Write(eventlog.TenureRound, zap.String("service", s.Name), zap.String("step", step), zap.Uint64("ballot", ballot),
		zap.String("target", target), zap.Bool("agreed", result.Agreed), zap.Uint64("highest", result.Highest),
		zap.Bool("clear", result.Clear), zap.Duration("took", time.Since(began)))
}

func outcomeOf(agreed bool) string {
	if agreed {
		return "agreed"
	}
	return "refused"
}

// leadInterval is the pause between questions whether an ordered server leads.
const leadInterval = 40 * time.Millisecond

// awaitLead waits until a server that was ordered leads in a term not below the least.
// That it accepts a transaction is cheap to learn; in which term it does, its status
// tells.
func (s *Service) awaitLead(id string, least uint64, deadline time.Time) failover.Led {
	for time.Now().Before(deadline) {
		target := s.backends.Server(id)
		if target != nil && target.accepts(time.Now().Add(pingLimit)) {
			status := target.report(upstream.Operation{Kind: upstream.ReportStatus}, time.Now().Add(surveyLimit))
			if status != nil && status.Primary && status.Term >= least {
				return failover.Led{Leads: true, Term: status.Term}
			}
		}
		time.Sleep(leadInterval)
	}
	return failover.Led{}
}

// accepts reports whether a server opens a transaction that only a primary accepts.
func (t *Server) accepts(deadline time.Time) bool {
	lease, err := t.Pool.Reserve(deadline)
	if err != nil {
		return false
	}
	batch := lease.Run([]upstream.Operation{{Kind: upstream.Begin}, {Kind: upstream.Rollback}}, deadline)
	if batch.Err != nil {
		lease.Discard()
		return false
	}
	lease.Settle(batch.Last())
	return batch.First().Outcome == upstream.Succeeded
}

// stepDownLimit bounds the attempt to make a primary give up the lead.
const stepDownLimit = 500 * time.Millisecond

// stepDown tells a primary to give up the lead: directly, and through other nodes that
// may reach it.
func (s *Service) stepDown(id string) failover.SteppedDown {
	ctx, cancel := context.WithTimeout(context.Background(), stepDownLimit)
	defer cancel()
	began := time.Now()
	results := make(chan *upstream.Status, 1+witnessesAsked)
	asked := 1
	go func() { results <- s.backends.Demote(id) }()
	for _, member := range s.backends.SomeMembers(witnessesAsked) {
		asked++
		go func() { results <- s.backends.AskToDemote(ctx, &member, id) }()
	}
	event := failover.SteppedDown{Server: id}
	if status := firstStatus(ctx, results, asked); status != nil {
		event.Done, event.Received = true, status.Received
	}
	s.backends.log.Write(eventlog.StepDown, zap.String("service", s.Name), zap.String("server", id), zap.Bool("done", event.Done),
		zap.Stringer("received", event.Received), zap.Duration("took", time.Since(began)))
	return event
}

// firstStatus returns the first status among so many answers, nil if there is none
// before ctx ends.
func firstStatus(ctx context.Context, results <-chan *upstream.Status, asked int) *upstream.Status {
	for range asked {
		select {
		case status := <-results:
			if status != nil {
				return status
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// Demote makes a server give up the lead; the status tells that it does not lead. It is
// nil if the server did not answer, or if nodes do not agree on primaries.
func (b *Backends) Demote(id string) *upstream.Status {
	target := b.Server(id)
	if target == nil || b.Tenures == nil {
		return nil
	}
	deadline := time.Now().Add(stepDownLimit)
	status := target.report(upstream.Operation{Kind: upstream.ReportStatus}, deadline)
	if status == nil {
		return nil
	}
	if status.Primary {
		status = target.report(upstream.Operation{Kind: upstream.StepDown, Term: status.Term + 1}, deadline)
	}
	if status == nil || status.Primary {
		return nil
	}
	return status
}
