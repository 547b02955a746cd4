package quorum

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestRestartedSupporterReadsTable guards against a supporter that has forgotten its promise to abandon a
// generation, and confirms the generation after a restart.
func TestRestartedSupporterReadsTable(t *testing.T) {
	table := &Table{Generation: 7}
	question := &Message{Kind: Support, From: "v", Generation: 7, KnownIncarnation: 1}
	named := NewSupporter("s", 1)
	answer, _ := named.Confirm(question, 7)
	must.NotNil(t, answer)
	must.NotNil(t, named.Abandon(&Message{Generation: 7}))
	answer, _ = named.Confirm(question, 7)
	must.NotNil(t, answer, must.Sprint("the question was not binding"))
	must.NotNil(t, named.Abandon(&Message{Generation: 7, Ordering: true}))
	named.ReadTable(table)
	answer, mustRead := named.Confirm(question, 7)
	must.Nil(t, answer)
	must.False(t, mustRead)

	restarted := NewSupporter("s", 2)
	answer, mustRead = restarted.Confirm(question, 7)
	must.Nil(t, answer)
	must.True(t, mustRead)
	restarted.ReadTable(&Table{Generation: 7, Abandoned: true})
	answer, _ = restarted.Confirm(question, 7)
	must.Nil(t, answer)
	restarted.ReadTable(table)
	answer, _ = restarted.Confirm(question, 7)
	must.NotNil(t, answer)
	answer, _ = restarted.Confirm(question, 8)
	must.Nil(t, answer, must.Sprint("a newer generation is known"))
}

// TestAbandonedVotersStop guards against voters that act after AbandonWait, whatever they asked before and
// whenever the answers arrive.
func TestAbandonedVotersStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const supporters = 5
		table := &Table{Generation: 3, Entries: []VoterEntry{{Name: "v", Address: "v", Incarnation: 1}}}
		members := map[string]*Supporter{}
		for i := range supporters {
			name := string(rune('a' + i))
			table.Supporters = append(table.Supporters, SupporterEntry{Name: name, Address: name, Incarnation: 1})
			members[name] = NewSupporter(name, 1)
		}
		voter := NewVoter("v", 1, at(0))
		voter.Install(at(0), table)
		must.False(t, voter.Supported(at(0)))
		abandonment := NewAbandonment(table)
		var answers []Message
		agreedAt := time.Time{}
		acted := false
		for now := at(0); now.Before(at(20_000)); now = now.Add(time.Duration(rapid.IntRange(20, 700).Draw(t, "step")) * time.Millisecond) {
			out, _ := voter.Tick(now)
			for _, envelope := range out {
				if answer, _ := members[envelope.To].Confirm(&envelope.Message, 3); answer != nil {
					answers = append(answers, *answer)
				}
			}
			for range rapid.IntRange(0, len(answers)).Draw(t, "delivered") {
				i := rapid.IntRange(0, len(answers)-1).Draw(t, "answer")
				m := answers[i]
				answers = append(answers[:i:i], answers[i+1:]...)
				voter.Step(now, m.From, &m)
			}
			acted = acted || voter.Supported(now)
			if now.After(at(5_000)) && agreedAt.IsZero() {
				asked := table.Supporters[rapid.IntRange(0, supporters-1).Draw(t, "asked")].Name
				if abandonment.AddAnswer(members[asked].Abandon(&Message{Generation: 3, Ordering: true})) {
					agreedAt = now
				}
			}
			if !agreedAt.IsZero() && now.Sub(agreedAt) >= supportDuration {
				must.False(t, voter.Supported(now))
			}
		}
	})
}
