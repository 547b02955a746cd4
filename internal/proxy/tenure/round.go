package tenure

import (
	"context"
	"time"

	"dewknot/internal/proxy/quorum"
)

// round is a request to all voters with the answers received so far.
type round struct {
	service  string
	ballot   uint64
	expected quorum.Kind
	// requireClear ignores promises of voters whose leases have not ended yet.
	requireClear bool
	answers      map[string]quorum.Message
	denied       map[string]quorum.Message
	// updated is signaled at each new answer.
	updated chan struct{}
}

// Result is the result of a round.
type Result struct {
	// Agreed is set if a majority of voters agreed.
	Agreed bool
	// Highest is the highest ballot with which a voter denied the request.
	Highest uint64
	// Records are those of the voters that agreed.
	Records []quorum.Record
	// Unconfirmed is the server of an unconfirmed order, which may still be carried out within
	// UnconfirmedFor.
	Unconfirmed    string
	UnconfirmedFor time.Duration
	// Clear is set if no leases of the previous tenure are left at a majority of voters.
	Clear bool
}

// handleRoundAnswer adds an answer to its round. k.mu must be held.
func (k *Keeper) handleRoundAnswer(m *quorum.Message) {
	for sequence, r := range k.rounds {
		if m.Service != r.service {
			continue
		}
		cleared := r.requireClear && m.Kind == quorum.Cleared && m.Ballot == r.ballot
		if m.Sequence != sequence && !cleared {
			continue
		}
		r.add(m, cleared)
	}
}

func (r *round) add(m *quorum.Message, cleared bool) {
	switch {
	case cleared, m.Kind == r.expected && (!r.requireClear || m.Clear):
		delete(r.denied, m.From)
		r.answers[m.From] = *m
	case m.Kind == quorum.Denied:
		r.denied[m.From] = *m
	default:
		return
	}
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

// retryInterval is the pause before a request is repeated to voters that have not answered, because
// messages may be lost.
const retryInterval = 80 * time.Millisecond

// Prepare asks the voters to promise a ballot for a service, which closes its tenure.
func (k *Keeper) Prepare(service string, ballot uint64) Result {
	return k.runRound(quorum.Message{Kind: quorum.Prepare, Service: service, Ballot: ballot}, quorum.Promised, false, quorum.AnswerWindow)
}

// AwaitClear waits until a majority of voters has no leases left of the tenure that a ballot
// closed, or until the timeout.
func (k *Keeper) AwaitClear(service string, ballot uint64, timeout time.Duration) Result {
	return k.runRound(quorum.Message{Kind: quorum.Prepare, Service: service, Ballot: ballot}, quorum.Promised, true, timeout)
}

// Choose asks the voters to record a ballot's target. ordering means that an order to promote it
// follows.
func (k *Keeper) Choose(service string, tenure quorum.Tenure, ordering bool) Result {
	request := quorum.Message{Kind: quorum.Choose, Service: service, Ballot: tenure.Ballot, Primary: tenure.Primary, Ordering: ordering}
	return k.runRound(request, quorum.Chosen, false, quorum.AnswerWindow)
}

// Open asks the voters to grant leases for a tenure with the primary's term. unconfirmed means that
// an order for it was not answered.
func (k *Keeper) Open(service string, tenure quorum.Tenure, term uint64, unconfirmed bool) Result {
	request := quorum.Message{
		Kind: quorum.Open, Service: service, Ballot: tenure.Ballot, Primary: tenure.Primary, Term: term, Unconfirmed: unconfirmed,
	}
	return k.runRound(request, quorum.Opened, false, quorum.AnswerWindow)
}

// runRound asks all voters, and waits until a majority has agreed or no longer can.
func (k *Keeper) runRound(request quorum.Message, expected quorum.Kind, requireClear bool, timeout time.Duration) Result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r := &round{
		service: request.Service, ballot: request.Ballot, expected: expected, requireClear: requireClear,
		answers: map[string]quorum.Message{}, denied: map[string]quorum.Message{}, updated: make(chan struct{}, 1),
	}
	table := k.beginRound(r, &request)
	if table == nil {
		return Result{}
	}
	defer k.endRound(request.Sequence)
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	k.send(k.unanswered(r, table, request))
	for {
		if result, done := k.result(r, table); done {
			return result
		}
		select {
		case <-r.updated:
		case <-retry.C:
			k.send(k.unanswered(r, table, request))
		case <-ctx.Done():
			result, _ := k.result(r, table)
			return result
		}
	}
}

// beginRound registers a round. It returns nil if no voters are known.
func (k *Keeper) beginRound(r *round, request *quorum.Message) *quorum.Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.member.Table()
	if table == nil {
		return nil
	}
	k.sequence++
	request.From, request.Incarnation, request.Generation, request.Sequence = k.cfg.Name, k.cfg.Incarnation, table.Generation, k.sequence
	k.rounds[k.sequence] = r
	return table
}

func (k *Keeper) endRound(sequence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rounds, sequence)
}

// unanswered returns the request for each voter that has not agreed.
func (k *Keeper) unanswered(r *round, table *quorum.Table, request quorum.Message) []quorum.Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []quorum.Envelope
	for _, entry := range table.Entries {
		if _, agreed := r.answers[entry.Name]; !agreed {
			out = append(out, quorum.Envelope{To: entry.Address, Message: request})
		}
	}
	return out
}

// result returns the result of a round so far, and whether the round is over.
func (k *Keeper) result(r *round, table *quorum.Table) (Result, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	result := Result{Agreed: len(r.answers) >= table.Majority()}
	clearCount := 0
	for _, m := range r.answers {
		result.Records = append(result.Records, m.Records...)
		if m.UnconfirmedFor > result.UnconfirmedFor && len(m.Records) > 0 {
			result.Unconfirmed, result.UnconfirmedFor = m.Records[0].Unconfirmed, m.UnconfirmedFor
		}
		if m.Clear || m.Kind == quorum.Cleared {
			clearCount++
		}
	}
	result.Clear = clearCount >= table.Majority()
	for _, m := range r.denied {
		result.Highest = max(result.Highest, m.Ballot)
	}
	rejected := len(r.denied) > len(table.Entries)-table.Majority()
	return result, result.Agreed || rejected
}
