package tenure

import (
	"context"
	"time"

	"dewknot/internal/proxy/quorum"
)

// round is a request to all voters that is under way.
type round struct {
	*quorum.Round
	// updated is signaled at each new answer.
	updated chan struct{}
}

// handleRoundAnswer adds an answer to its round. k.mu must be held.
func (k *Keeper) handleRoundAnswer(now time.Time, m *quorum.Message) {
	for r := range k.rounds {
		if !r.Add(now, m) {
			continue
		}
		select {
		case r.updated <- struct{}{}:
		default:
		}
	}
}

// retryInterval is the pause before a request is repeated to voters that have not answered, because
// messages may be lost.
const retryInterval = 80 * time.Millisecond

// Prepare asks the voters to promise a ballot for a service, which closes its tenure.
func (k *Keeper) Prepare(service string, ballot uint64) quorum.RoundResult {
	return k.runRound(quorum.Message{Kind: quorum.Prepare, Service: service, Ballot: ballot}, quorum.Promised, false, quorum.AnswerWindow)
}

// AwaitClear waits until a majority of voters has no leases left of the tenure that a ballot
// closed, or until the timeout.
func (k *Keeper) AwaitClear(service string, ballot uint64, timeout time.Duration) quorum.RoundResult {
	return k.runRound(quorum.Message{Kind: quorum.Prepare, Service: service, Ballot: ballot}, quorum.Promised, true, timeout)
}

// Choose asks the voters to record a ballot's target. ordering means that an order to promote it
// follows.
func (k *Keeper) Choose(service string, tenure quorum.Tenure, ordering bool) quorum.RoundResult {
	request := quorum.Message{Kind: quorum.Choose, Service: service, Ballot: tenure.Ballot, Primary: tenure.Primary, Ordering: ordering}
	return k.runRound(request, quorum.Chosen, false, quorum.AnswerWindow)
}

// Open asks the voters to grant leases for a tenure with the primary's term. unconfirmed means that
// an order for it was not answered.
func (k *Keeper) Open(service string, tenure quorum.Tenure, term uint64, unconfirmed bool) quorum.RoundResult {
	request := quorum.Message{
		Kind: quorum.Open, Service: service, Ballot: tenure.Ballot, Primary: tenure.Primary, Term: term, Unconfirmed: unconfirmed,
	}
	return k.runRound(request, quorum.Opened, false, quorum.AnswerWindow)
}

// runRound asks all voters, and waits until a majority has agreed or no longer can.
func (k *Keeper) runRound(request quorum.Message, expected quorum.Kind, requireClear bool, timeout time.Duration) quorum.RoundResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r := k.beginRound(quorum.RoundConfig{
		Request: request, Expected: expected, RequireClear: requireClear, Deadline: time.Now().Add(timeout),
	})
	if r == nil {
		return quorum.RoundResult{}
	}
	defer k.endRound(r)
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	k.send(k.attempt(r))
	for {
		if result, done := k.result(r); done {
			return result
		}
		select {
		case <-r.updated:
		case <-retry.C:
			k.send(k.attempt(r))
		case <-ctx.Done():
			result, _ := k.result(r)
			return result
		}
	}
}

// beginRound registers a round with the voters of the present table. It returns nil if no voters are
// known.
func (k *Keeper) beginRound(cfg quorum.RoundConfig) *round {
	k.mu.Lock()
	defer k.mu.Unlock()
	cfg.Table = k.member.Table()
	if cfg.Table == nil {
		return nil
	}
	cfg.Request.From, cfg.Request.Incarnation, cfg.Request.Generation = k.cfg.Name, k.cfg.Incarnation, cfg.Table.Generation
	r := &round{Round: quorum.NewRound(cfg), updated: make(chan struct{}, 1)}
	k.rounds[r] = struct{}{}
	return r
}

func (k *Keeper) endRound(r *round) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rounds, r)
}

// attempt returns the round's request for the voters that have not agreed.
func (k *Keeper) attempt(r *round) []quorum.Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	return r.Attempt(time.Now(), k.sequence)
}

func (k *Keeper) result(r *round) (quorum.RoundResult, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return r.Result()
}
