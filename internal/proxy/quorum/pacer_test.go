package quorum

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// asks plays a second of a member that looks each 5 ms, with a way to the voter that takes so
// long, and returns how many questions it has sent.
func asks(haste Haste, way time.Duration, answers bool) int {
	of := &mirror{}
	var sent []time.Time
	var due []time.Time
	for ms := range 1000 {
		now := at(ms)
		for len(due) > 0 && !due[0].After(now) {
			of.answer(now, due[0].Add(-way), false)
			due = due[1:]
		}
		if ms%5 == 0 && !of.due(haste).After(now) {
			of.ask(now)
			sent = append(sent, now)
			if answers {
				due = append(due, now.Add(way))
			}
		}
	}
	return len(sent)
}

// TestQuestionsGetFewerAsAnswersGetLate: something that waits for leases asks soon again and
// again only while answers come soon, and hardly ever if none come.
func TestQuestionsGetFewerAsAnswersGetLate(t *testing.T) {
	fast, slow := asks(Eager, 20*time.Millisecond, true), asks(Eager, 700*time.Millisecond, true)
	silent, calm := asks(Eager, 0, false), asks(Calm, 700*time.Millisecond, true)
	t.Logf("questions in a second: %d at 20 ms, %d at 700 ms, %d without answers, %d calm at 700 ms", fast, slow, silent, calm)
	must.Between(t, 5, fast, 7)
	must.LessEq(t, 4, slow)
	must.LessEq(t, 4, silent)
	must.LessEq(t, 4, calm)
	must.LessEq(t, 27, asks(Urgent, 20*time.Millisecond, true))
}

// TestMeasuredWayIsWaitedFor: once a voter's answers are known to take long, its questions
// are not repeated before, and it does not count as silent.
func TestMeasuredWayIsWaitedFor(t *testing.T) {
	of := &mirror{seat: Seat{Name: "v"}, heard: at(0), met: true}
	for i := range 20 {
		of.ask(at(1000 * i))
		of.answer(at(1000*i+500), at(1000*i), true)
	}
	of.ask(at(20_000))
	must.True(t, of.due(Eager).After(at(20_500)))
	must.False(t, of.due(Eager).After(at(20_000).Add(RenewInterval)))
	n := &Member{mirrors: []*mirror{of}}
	of.heard = at(20_000)
	must.SliceEmpty(t, n.Silent(at(21_500), 1500*time.Millisecond, time.Second))
	must.Len(t, 1, n.Silent(at(23_000), 1500*time.Millisecond, time.Second))
}

// TestNearestMajorityIsRenewed: a calm member renews its leases with the voters that answer
// soonest; when one of them is late, another takes its place before its lease has run out.
func TestNearestMajorityIsRenewed(t *testing.T) {
	table := &Table{Era: 1}
	voters := map[string]*Voter{}
	for i, name := range []string{"far0", "far1", "near0", "near1", "near2"} {
		table.Seats = append(table.Seats, Seat{Name: name, Address: name, Life: uint64(i + 1)})
	}
	for i, seat := range table.Seats {
		voters[seat.Name] = NewVoter(seat.Name, uint64(i+1), at(0))
		voters[seat.Name].Install(at(0), table)
		voters[seat.Name].begin(at(0), []Record{openRecord()})
	}
	n := NewMember("m", 9, at(0))
	n.SetTable(at(0), table)
	asked, gone, uncovered := map[string]int{}, "", 0
	due := map[time.Time][]Envelope{}
	for ms := 2000; ms < 22_000; ms++ {
		now := at(ms)
		for _, reply := range due[now] {
			n.Step(now, reply.Message.From, &reply.Message)
		}
		delete(due, now)
		out, _ := n.Due(now, Calm)
		for _, question := range out {
			asked[question.To]++
			way := time.Millisecond
			if question.To[0] == 'f' {
				way = 25 * time.Millisecond
			}
			if question.To != gone {
				due[now.Add(way)] = append(due[now.Add(way)], voters[question.To].Step(now, "m", &question.Message)...)
			}
		}
		if ms == 12_000 {
			t.Logf("asked in 10 s: %v", asked)
			must.LessEq(t, 4, asked["far0"])
			must.LessEq(t, 4, asked["far1"])
			must.Between(t, 12, asked["near0"], 16)
			gone = "near1"
		}
		if ms > 2100 && !n.View("s").Covers(now) {
			uncovered++
		}
	}
	must.Zero(t, uncovered)
}
