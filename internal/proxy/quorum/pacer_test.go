package quorum

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// countRequests simulates one second of a member that polls every 5 ms, with a voter that answers
// after rtt if at all, and returns the number of requests.
func countRequests(mode RenewalMode, rtt time.Duration, answers bool) int {
	p := &peer{}
	var sent []time.Time
	var due []time.Time
	for ms := range 1000 {
		now := at(ms)
		for len(due) > 0 && !due[0].After(now) {
			p.answerReceived(now, due[0].Add(-rtt), false)
			due = due[1:]
		}
		if ms%5 == 0 && !p.due(mode).After(now) {
			p.requestSent(now)
			sent = append(sent, now)
			if answers {
				due = append(due, now.Add(rtt))
			}
		}
	}
	return len(sent)
}

// TestRequestsSlowDownWithLateAnswers guards against frequent requests to a voter whose answers are
// late or missing.
func TestRequestsSlowDownWithLateAnswers(t *testing.T) {
	fast, slow := countRequests(RenewEager, 20*time.Millisecond, true), countRequests(RenewEager, 700*time.Millisecond, true)
	silent, normalMode := countRequests(RenewEager, 0, false), countRequests(RenewNormal, 700*time.Millisecond, true)
	t.Logf("requests per second: %d at 20 ms, %d at 700 ms, %d without answers, %d in normal mode at 700 ms", fast, slow, silent, normalMode)
	must.Between(t, 5, fast, 7)
	must.LessEq(t, 4, slow)
	must.LessEq(t, 4, silent)
	must.LessEq(t, 4, normalMode)
	must.LessEq(t, 27, countRequests(RenewRecovering, 20*time.Millisecond, true))
}

// TestRequestTimeoutFollowsRTT guards against repeating a request, or reporting a voter as silent,
// before an answer can arrive.
func TestRequestTimeoutFollowsRTT(t *testing.T) {
	p := &peer{entry: VoterEntry{Name: "v"}, lastAnswerAt: at(0), contacted: true}
	for i := range 20 {
		p.requestSent(at(1000 * i))
		p.answerReceived(at(1000*i+500), at(1000*i), true)
	}
	p.requestSent(at(20_000))
	must.True(t, p.due(RenewEager).After(at(20_500)))
	must.False(t, p.due(RenewEager).After(at(20_000).Add(RenewInterval)))
	n := &Member{peers: []*peer{p}}
	p.lastAnswerAt = at(20_000)
	must.SliceEmpty(t, n.SilentVoters(at(21_500), 1500*time.Millisecond, time.Second))
	must.Len(t, 1, n.SilentVoters(at(23_000), 1500*time.Millisecond, time.Second))
}

// TestMajorityWithLowestRTTIsRenewed guards against renewing leases with distant voters, and
// against a gap in coverage when a near voter stops answering.
func TestMajorityWithLowestRTTIsRenewed(t *testing.T) {
	table := &Table{Generation: 1}
	voters := map[string]*Voter{}
	for i, name := range []string{"far0", "far1", "near0", "near1", "near2"} {
		table.Entries = append(table.Entries, VoterEntry{Name: name, Address: name, Incarnation: uint64(i + 1)})
	}
	for i, entry := range table.Entries {
		voters[entry.Name] = NewVoter(entry.Name, uint64(i+1), at(0))
		voters[entry.Name].Install(at(0), table)
		voters[entry.Name].begin(at(0), []Record{openRecord()})
	}
	n := NewMember("m", 9, at(0))
	n.SetTable(at(0), table)
	requests, unreachable, uncovered := map[string]int{}, "", 0
	due := map[time.Time][]Envelope{}
	for ms := 2000; ms < 22_000; ms++ {
		now := at(ms)
		for _, reply := range due[now] {
			n.Step(now, reply.Message.From, &reply.Message)
		}
		delete(due, now)
		out, _ := n.Due(now, RenewNormal)
		for _, request := range out {
			requests[request.To]++
			rtt := time.Millisecond
			if request.To[0] == 'f' {
				rtt = 25 * time.Millisecond
			}
			if request.To != unreachable {
				due[now.Add(rtt)] = append(due[now.Add(rtt)], voters[request.To].Step(now, "m", &request.Message)...)
			}
		}
		if ms == 12_000 {
			t.Logf("requests in 10 s: %v", requests)
			must.LessEq(t, 4, requests["far0"])
			must.LessEq(t, 4, requests["far1"])
			must.Between(t, 12, requests["near0"], 16)
			unreachable = "near1"
		}
		if ms > 2100 && !n.View("s").Covers(now) {
			uncovered++
		}
	}
	must.Zero(t, uncovered)
}
