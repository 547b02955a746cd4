package backends

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/upstream"
)

// performCampaignStep carries out a step of a campaign. It reports false for other effects.
func (s *Service) performCampaignStep(effect failover.Effect) bool {
	began := time.Now()
	switch effect := effect.(type) {
	case failover.Prepare:
		result := s.backends.Tenures.Prepare(s.Name, effect.Ballot)
		s.logRound("prepare", effect.Ballot, "", &result, began)
		s.submit(preparedFrom(effect.Ballot, &result))
	case failover.Choose:
		result := s.backends.Tenures.Choose(s.Name,
			quorum.Tenure{Ballot: effect.Ballot, Primary: effect.Target}, effect.Ordering)
		s.logRound("choose", effect.Ballot, effect.Target, &result, began)
		s.submit(failover.Held{Agreed: result.Agreed})
	case failover.AwaitClear:
		result := s.backends.Tenures.AwaitClear(s.Name, effect.Ballot, clearTimeout)
		s.logRound("clear", effect.Ballot, "", &result, began)
		s.submitAt(func(now time.Time) failover.Event { return clearedFrom(effect.Ballot, &result, now) })
	case failover.Open:
		result := s.backends.Tenures.Open(s.Name, quorum.Tenure{Ballot: effect.Ballot, Primary: effect.Primary},
			effect.Term, effect.Loose)
		s.logRound("open", effect.Ballot, effect.Primary, &result, began)
		s.submit(failover.Opened{Agreed: result.Agreed})
	case failover.AwaitLead:
		s.submit(s.awaitPrimary(effect.Target, effect.Least, began.Add(effect.Limit)))
	default:
		return false
	}
	return true
}

// clearTimeout bounds the wait for leases to end. A voter that has just started must assume that it
// granted leases until its start.
const clearTimeout = quorum.LeaseDuration + 300*time.Millisecond

// clearedFrom returns the event of a wait for leases that is processed now.
func clearedFrom(ballot uint64, result *quorum.RoundResult, now time.Time) failover.Cleared {
	return failover.Cleared{Ballot: ballot, Agreed: result.Agreed, Age: now.Sub(result.AskedAt)}
}

func preparedFrom(ballot uint64, result *quorum.RoundResult) failover.Prepared {
	event := failover.Prepared{Agreed: result.Agreed, Highest: result.Highest, Busy: !result.Agreed && result.Highest < ballot}
	if !result.Agreed {
		return event
	}
	merged := quorum.Merge(result.Records)
	event.Term, event.Loose, event.LooseFor = merged.Term, result.Unconfirmed, result.UnconfirmedFor
	if merged.Ordering {
		event.Bound, event.BoundBallot = merged.Chosen.Primary, merged.Chosen.Ballot
	} else {
		event.Settled = merged.Chosen.Primary
	}
	return event
}

func (s *Service) logRound(step string, ballot uint64, target string, result *quorum.RoundResult, began time.Time) {
	age := time.Duration(0)
	if !result.AskedAt.IsZero() {
		age = time.Since(result.AskedAt)
	}
	s.backends.metrics.rounds.WithLabelValues(step, outcomeOf(result.Agreed)).Observe(time.Since(began).Seconds())
	s.backends.log.Write(eventlog.TenureRound, zap.String("service", s.Name), zap.String("step", step),
		zap.Uint64("ballot", ballot), zap.String("target", target), zap.Bool("agreed", result.Agreed),
		zap.Uint64("highest", result.Highest), zap.Bool("clear", result.Clear), zap.Duration("age", age), zap.Duration("took", time.Since(began)))
}

func outcomeOf(agreed bool) string {
	if agreed {
		return "agreed"
	}
	return "refused"
}

// primaryPollInterval is the pause between checks whether a promoted server is the primary.
const primaryPollInterval = 40 * time.Millisecond

// awaitPrimary waits until a server that was ordered to become the primary is one in a term of at
// least minTerm. It asks for the status, which shows the term, only after the cheaper check that
// the server accepts a transaction.
func (s *Service) awaitPrimary(id string, minTerm uint64, deadline time.Time) failover.Led {
	var check beginCheck
	defer check.end()
	for time.Now().Before(deadline) {
		target := s.backends.Server(id)
		if target != nil && check.accepted(target, time.Now().Add(pingTimeout)) {
			status := check.status(time.Now().Add(surveyTimeout))
			if status != nil && status.Primary && status.Term >= minTerm {
				return failover.Led{Leads: true, Term: status.Term}
			}
		}
		time.Sleep(primaryPollInterval)
	}
	return failover.Led{}
}

// beginCheck checks repeatedly whether a server accepts a transaction that only a primary accepts. It
// keeps its connection between the checks.
type beginCheck struct {
	server *Server
	lease  *upstream.Lease
}

// accepted reports whether the server accepts the transaction.
func (c *beginCheck) accepted(target *Server, deadline time.Time) bool {
	if c.server != target {
		c.end()
	}
	if c.lease == nil {
		lease, err := target.Pool.Reserve(deadline)
		if err != nil {
			return false
		}
		c.server, c.lease = target, lease
	}
	batch := c.lease.Run([]upstream.Operation{{Kind: upstream.Begin}, {Kind: upstream.Rollback}}, deadline)
	if batch.Err != nil || batch.Last().State != upstream.Idle {
		c.discard()
		return false
	}
	return batch.First().Outcome == upstream.Succeeded
}

// status returns the status of a server that accepted the transaction, or nil if it gives none.
func (c *beginCheck) status(deadline time.Time) *upstream.Status {
	status, open := statusOf(c.lease, upstream.Operation{Kind: upstream.ReportStatus}, deadline)
	if !open {
		c.discard()
	}
	return status
}

// end gives the connection back.
func (c *beginCheck) end() {
	if c.lease != nil {
		c.lease.Return()
		c.lease = nil
	}
}

func (c *beginCheck) discard() {
	c.lease.Discard()
	c.lease = nil
}

// stepDownTimeout bounds the attempt to make a primary step down.
const stepDownTimeout = 500 * time.Millisecond

// stepDown tells a primary to step down, both directly and through other nodes that may reach it.
func (s *Service) stepDown(id string) failover.SteppedDown {
	ctx, cancel := context.WithTimeout(context.Background(), stepDownTimeout)
	defer cancel()
	began := time.Now()
	results := make(chan *upstream.Status, 1+maxWitnesses)
	requests := 1
	go func() { results <- s.backends.Demote(id) }()
	for _, member := range s.backends.RandomMembers(maxWitnesses) {
		requests++
		go func() { results <- s.backends.RequestDemotion(ctx, &member, id) }()
	}
	event := failover.SteppedDown{Server: id}
	if status := firstStatus(ctx, results, requests); status != nil {
		event.Done, event.Received = true, status.Received
	}
	s.backends.log.Write(eventlog.StepDown, zap.String("service", s.Name), zap.String("server", id),
		zap.Bool("done", event.Done), zap.Stringer("received", event.Received), zap.Duration("took", time.Since(began)))
	return event
}

// firstStatus returns the first status among count results, nil if there is none before ctx ends.
func firstStatus(ctx context.Context, results <-chan *upstream.Status, count int) *upstream.Status {
	for range count {
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

// Demote makes a server step down and returns its status, which shows that it is not the primary.
// It returns nil if the server did not answer or did not obey.
func (b *Backends) Demote(id string) *upstream.Status {
	target := b.Server(id)
	if target == nil {
		return nil
	}
	deadline := time.Now().Add(stepDownTimeout)
	status := target.requestStatus(upstream.Operation{Kind: upstream.ReportStatus}, deadline)
	if status == nil {
		return nil
	}
	if status.Primary {
		status = target.requestStatus(upstream.Operation{Kind: upstream.StepDown, Term: status.Term + 1}, deadline)
	}
	if status == nil || status.Primary {
		return nil
	}
	return status
}
