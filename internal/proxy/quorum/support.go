package quorum

import (
	"slices"
	"time"
)

// A generation whose voters are gone for good can't be sealed. It is abandoned instead: the store notes
// that, a majority of the table's supporters promises not to support the generation any more, and the
// next table is written after AbandonWait. A voter may be alive and only unreachable, so it acts only
// while the generation is supported: a majority of the supporters, or the store, has confirmed it for
// a question asked within supportDuration. Both have stopped to confirm before AbandonWait begins.

const (
	// supportDuration is how long a confirmation counts, from the time the question was sent.
	supportDuration = 4 * time.Second
	// supportInterval is the interval of questions. supportRetryInterval is the same while the
	// generation is not supported.
	supportInterval      = 1500 * time.Millisecond
	supportRetryInterval = 60 * time.Millisecond
	// weakSupportAge is the age of confirmations from which on the store is asked as well.
	weakSupportAge = supportDuration - time.Second
	// questionsKept is the number of questions whose answers still count.
	questionsKept = 8
	// AbandonWait is the time from which on no voter of an abandoned generation acts, and no answer
	// that it has given before is counted.
	AbandonWait = supportDuration + CandidateWindow + clockMargin
	// MaxSupporters is the maximum number of supporters in a table.
	MaxSupporters = 11
)

// SupporterEntry is a supporter's entry in a table.
type SupporterEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Incarnation is that of the process which supports the generation from its start. Another process
	// may have forgotten a promise and reads the table from the store first.
	Incarnation uint64 `json:"life"`
}

// SupportMajority returns the number of supporters needed to confirm the generation.
func (t *Table) SupportMajority() int { return len(t.Supporters)/2 + 1 }

// question is a question to all supporters.
type question struct {
	sequence uint64
	sentAt   time.Time
}

// support is a voter's knowledge of the support of its generation.
type support struct {
	sequence  uint64
	questions []question
	// confirmedAt has, by supporter, when the newest confirmed question was sent.
	confirmedAt      map[string]time.Time
	storeConfirmedAt time.Time
}

// confirmations returns how many supporters have confirmed a question sent after a time.
func (s *support) confirmations(after time.Time) int {
	count := 0
	for _, at := range s.confirmedAt {
		if at.After(after) {
			count++
		}
	}
	return count
}

// Supported reports whether the voter may act. Generations without supporters can't be abandoned.
func (v *Voter) Supported(now time.Time) bool {
	oldest := now.Add(-supportDuration)
	return len(v.table.Supporters) == 0 || v.support.storeConfirmedAt.After(oldest) ||
		v.support.confirmations(oldest) >= v.table.SupportMajority()
}

// NeedsStore reports whether the store has to confirm the generation, because supporters don't.
func (v *Voter) NeedsStore(now time.Time) bool {
	return v.status == normal && len(v.table.Supporters) > 0 && v.support.confirmations(now.Add(-weakSupportAge)) < v.table.SupportMajority()
}

// ConfirmByStore notes that the store, read at a time or later, had not abandoned the generation.
func (v *Voter) ConfirmByStore(generation uint64, readAt time.Time) {
	if v.table != nil && v.table.Generation == generation && readAt.After(v.support.storeConfirmedAt) {
		v.support.storeConfirmedAt = readAt
	}
}

// supportQuestions returns the questions to the supporters if they are due.
func (v *Voter) supportQuestions(now time.Time) []Envelope {
	interval := supportInterval
	if !v.Supported(now) {
		interval = supportRetryInterval
	}
	asked := v.support.questions
	if len(v.table.Supporters) == 0 || (len(asked) > 0 && now.Sub(asked[len(asked)-1].sentAt) < interval) {
		return nil
	}
	v.support.sequence++
	v.support.questions = append(asked, question{v.support.sequence, now})
	if len(v.support.questions) > questionsKept {
		v.support.questions = v.support.questions[1:]
	}
	var out []Envelope
	for _, supporter := range v.table.Supporters {
		out = append(out, Envelope{supporter.Address, Message{
			Kind: Support, From: v.name, Incarnation: v.incarnation, Generation: v.table.Generation, Sequence: v.support.sequence,
			KnownIncarnation: supporter.Incarnation,
		}})
	}
	return out
}

// handleSupported notes a supporter's confirmation.
func (v *Voter) handleSupported(m *Message) {
	i := slices.IndexFunc(v.support.questions, func(q question) bool { return q.sequence == m.Sequence })
	if i < 0 || !slices.ContainsFunc(v.table.Supporters, func(s SupporterEntry) bool { return s.Name == m.From }) {
		return
	}
	if sentAt := v.support.questions[i].sentAt; sentAt.After(v.support.confirmedAt[m.From]) {
		v.support.confirmedAt[m.From] = sentAt
	}
}

// resetSupport forgets the confirmations of the previous generation.
func (v *Voter) resetSupport() {
	v.support = support{sequence: max(v.support.sequence, FirstSequence(v.incarnation)), confirmedAt: map[string]time.Time{}}
}

// Supporter is a node's part in supporting generations, whether it is a voter or not. It is a state
// machine and not safe for concurrent use.
type Supporter struct {
	name        string
	incarnation uint64
	// abandoned is the newest generation that this process has promised not to support, readUpTo the
	// newest that it has read from the store while it was not abandoned there.
	abandoned uint64
	readUpTo  uint64
}

// NewSupporter returns the supporter of a process.
func NewSupporter(name string, incarnation uint64) *Supporter {
	return &Supporter{name: name, incarnation: incarnation}
}

// ReadTable notes a table that this process has read from the store.
func (s *Supporter) ReadTable(table *Table) {
	if !table.Abandoned {
		s.readUpTo = max(s.readUpTo, table.Generation)
	}
}

// Confirm answers a voter's question. newest is the newest generation that the node knows. mustRead is
// set if the process may have forgotten a promise: it has to read the table from the store.
func (s *Supporter) Confirm(m *Message, newest uint64) (answer *Message, mustRead bool) {
	if m.Generation <= s.abandoned || m.Generation < newest {
		return nil, false
	}
	if m.KnownIncarnation != s.incarnation && s.readUpTo != m.Generation {
		return nil, true
	}
	return s.answer(Supported, m), false
}

// Abandon answers the question whether this process stops to support a generation. It promises to if
// the question is binding.
func (s *Supporter) Abandon(m *Message) *Message {
	if m.Ordering {
		s.abandoned = max(s.abandoned, m.Generation)
	}
	return s.answer(AbandonAgreed, m)
}

func (s *Supporter) answer(kind Kind, m *Message) *Message {
	return &Message{Kind: kind, From: s.name, Incarnation: s.incarnation, Generation: m.Generation, Sequence: m.Sequence, Ordering: m.Ordering}
}

// Abandonment collects the supporters' answers to the question whether they abandon a generation.
type Abandonment struct {
	table  *Table
	agreed map[string]bool
}

// NewAbandonment returns an Abandonment of the generation of a table.
func NewAbandonment(table *Table) *Abandonment {
	return &Abandonment{table: table, agreed: map[string]bool{}}
}

// Requests returns requests to the supporters that have not agreed yet.
func (a *Abandonment) Requests(from string, incarnation, sequence uint64, binding bool) []Envelope {
	var out []Envelope
	for _, supporter := range a.table.Supporters {
		if !a.agreed[supporter.Name] {
			out = append(out, Envelope{supporter.Address, Message{
				Kind: Abandon, From: from, Incarnation: incarnation, Generation: a.table.Generation, Sequence: sequence, Ordering: binding,
			}})
		}
	}
	return out
}

// AddAnswer adds a supporter's answer and reports whether a majority has agreed.
func (a *Abandonment) AddAnswer(m *Message) bool {
	if m.Generation == a.table.Generation && slices.ContainsFunc(a.table.Supporters, func(s SupporterEntry) bool { return s.Name == m.From }) {
		a.agreed[m.From] = true
	}
	return len(a.agreed) >= a.table.SupportMajority()
}
