package tenure

import (
	"context"
	"time"

	"dewknot/internal/proxy/quorum"
)

// round is a question to all voters and the answers that have come.
type round struct {
	service string
	ballot  uint64
	wanted  quorum.Kind
	// clear counts only answers of voters that have no lease left.
	clear   bool
	answers map[string]quorum.Message
	denied  map[string]quorum.Message
	// news is signaled at each answer.
	news chan struct{}
}

// Result is the end of a round.
type Result struct {
	// Agreed is set if a majority of voters has agreed.
	Agreed bool
	// Highest is the highest ballot that stands against it.
	Highest uint64
	// Records are those of the voters that agreed.
	Records []quorum.Record
	// LooseFor is how long an order for the server Loose, which was not answered, may still
	// be carried out.
	Loose    string
	LooseFor time.Duration
	// Clear is set if a majority has no lease left of the tenure before.
	Clear bool
}

// answered gives a message to the round that it answers; the lock is held.
func (k *Keeper) answered(m *quorum.Message) {
	for sequence, r := range k.rounds {
		if m.Service != r.service {
			continue
		}
		cleared := r.clear && m.Kind == quorum.Cleared && m.Ballot == r.ballot
		if m.Sequence != sequence && !cleared {
			continue
		}
		r.take(m, cleared)
	}
}

func (r *round) take(m *quorum.Message, cleared bool) {
	switch {
	case cleared, m.Kind == r.wanted && (!r.clear || m.Clear):
		delete(r.denied, m.From)
		r.answers[m.From] = *m
	case m.Kind == quorum.Denied:
		r.denied[m.From] = *m
	default:
		return
	}
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// repeatInterval is the pause until a question is repeated to voters that have not
// answered: datagrams get lost.
const repeatInterval = 80 * time.Millisecond

// Prepare asks the voters to promise a ballot for a service, which closes its tenure.
func (k *Keeper) Prepare(service string, ballot uint64) Result {
	return k.ask(quorum.Message{Kind: quorum.Prepare, Service: service, Ballot: ballot}, quorum.Promised, false, quorum.CountSpan)
}

// AwaitClear waits, up to a limit, until a majority of voters has no lease left of the
// tenure that a ballot has closed.
func (k *Keeper) AwaitClear(service string, ballot uint64, limit time.Duration) Result {
	return k.ask(quorum.Message{Kind: quorum.Prepare, Service: service, Ballot: ballot}, quorum.Promised, true, limit)
}

// Choose asks the voters to hold a ballot's target. ordering tells that an order to
// promote it follows.
func (k *Keeper) Choose(service string, tenure quorum.Tenure, ordering bool) Result {
	question := quorum.Message{Kind: quorum.Choose, Service: service, Ballot: tenure.Ballot, Primary: tenure.Primary, Ordering: ordering}
	return k.ask(question, quorum.Chosen, false, quorum.CountSpan)
}

// Open asks the voters to give leases for a tenure, whose primary leads in a term. loose
// tells that an order for it was not answered.
func (k *Keeper) Open(service string, tenure quorum.Tenure, term uint64, loose bool) Result {
	question := quorum.Message{
		Kind: quorum.Open, Service: service, Ballot: tenure.Ballot, Primary: tenure.Primary, Term: term, Loose: loose,
	}
	return k.ask(question, quorum.Opened, false, quorum.CountSpan)
}

// ask asks all voters and waits until a majority has agreed, or can no longer.
func (k *Keeper) ask(question quorum.Message, wanted quorum.Kind, clear bool, limit time.Duration) Result {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r := &round{
		service: question.Service, ballot: question.Ballot, wanted: wanted, clear: clear,
		answers: map[string]quorum.Message{}, denied: map[string]quorum.Message{}, news: make(chan struct{}, 1),
	}
	table := k.begin(r, &question)
	if table == nil {
		return Result{}
	}
	defer k.end(question.Sequence)
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	k.send(k.unanswered(r, table, question))
	for {
		if result, over := k.result(r, table); over {
			return result
		}
		select {
		case <-r.news:
		case <-repeat.C:
			k.send(k.unanswered(r, table, question))
		case <-ctx.Done():
			result, _ := k.result(r, table)
			return result
		}
	}
}

// begin registers a round; nil if no voters are known.
func (k *Keeper) begin(r *round, question *quorum.Message) *quorum.Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.member.Table()
	if table == nil {
		return nil
	}
	k.sequence++
	question.From, question.Life, question.Era, question.Sequence = k.cfg.Name, k.cfg.Life, table.Era, k.sequence
	k.rounds[k.sequence] = r
	return table
}

func (k *Keeper) end(sequence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rounds, sequence)
}

// unanswered addresses a question to the voters that have not agreed.
func (k *Keeper) unanswered(r *round, table *quorum.Table, question quorum.Message) []quorum.Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []quorum.Envelope
	for _, seat := range table.Seats {
		if _, agreed := r.answers[seat.Name]; !agreed {
			out = append(out, quorum.Envelope{To: seat.Address, Message: question})
		}
	}
	return out
}

// result returns how a round stands and whether it is over.
func (k *Keeper) result(r *round, table *quorum.Table) (Result, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	result := Result{Agreed: len(r.answers) >= table.Majority()}
	clear := 0
	for _, m := range r.answers {
		result.Records = append(result.Records, m.Records...)
		if m.LooseFor > result.LooseFor && len(m.Records) > 0 {
			result.Loose, result.LooseFor = m.Records[0].Loose, m.LooseFor
		}
		if m.Clear || m.Kind == quorum.Cleared {
			clear++
		}
	}
	result.Clear = clear >= table.Majority()
	for _, m := range r.denied {
		result.Highest = max(result.Highest, m.Ballot)
	}
	refused := len(r.denied) > len(table.Seats)-table.Majority()
	return result, result.Agreed || refused
}
