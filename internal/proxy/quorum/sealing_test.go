package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// newSealedVoter returns a voter with records of some services.
func newSealedVoter(table *Table, records int) *Voter {
	v := NewVoter("v0", 1, at(0))
	v.Install(at(0), table)
	for i := range records {
		state := v.serviceState(fmt.Sprintf("service-%d", i))
		state.Promised = uint64(i + 1)
		v.markChanged(state)
	}
	return v
}

// TestSealingCollectsAllRecords guards against missing records of a sealed voter when answers are
// lost, duplicated or delayed over several attempts.
func TestSealingCollectsAllRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.IntRange(0, 5*pagesPerSealRequest*pageRecords).Draw(t, "records")
		table := &Table{Generation: 1, Entries: []VoterEntry{{Name: "v0", Address: "v0", Incarnation: 1}}}
		v := newSealedVoter(table, records)
		s := NewSealing(table)
		var packets []Envelope
		collected, ended := []Record(nil), false
		for step := 0; !ended && step < 2000; step++ {
			if len(packets) == 0 || rapid.IntRange(0, 9).Draw(t, "step") == 0 {
				if rapid.IntRange(0, 19).Draw(t, "attempt") == 0 {
					s.Resume()
				}
				packets = append(packets, s.Requests("n", 7, 1)...)
			}
			index := rapid.IntRange(0, min(len(packets)-1, 20)).Draw(t, "place")
			packet := packets[index]
			if rapid.IntRange(0, 9).Draw(t, "twice") > 0 {
				packets = slices.Delete(packets, index, index+1)
			}
			lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
			switch {
			case lost:
			case packet.To == "v0":
				packets = append(packets, v.Step(at(1), "n", &packet.Message)...)
			default:
				s.AddAnswer(&packet.Message)
				collected, ended = s.Outcome()
				packets = append(packets, s.NextRequests(&packet.Message, "n", 7, 1)...)
			}
		}
		must.True(t, ended)
		must.Len(t, records, collected)
	})
}

// TestSealingNeedsFewRoundTrips guards against more than one round trip per pagesPerSealRequest
// pages when no message is lost.
func TestSealingNeedsFewRoundTrips(t *testing.T) {
	const records = 820
	table := &Table{Generation: 1, Entries: []VoterEntry{{Name: "v0", Address: "v0", Incarnation: 1}}}
	v := newSealedVoter(table, records)
	s := NewSealing(table)
	rounds := 0
	for requests := s.Requests("n", 7, 1); len(requests) > 0; rounds++ {
		answers := v.Step(at(1), "n", &requests[0].Message)
		requests = nil
		for i := range answers {
			s.AddAnswer(&answers[i].Message)
			requests = append(requests, s.NextRequests(&answers[i].Message, "n", 7, 1)...)
		}
	}
	collected, ended := s.Outcome()
	must.True(t, ended)
	must.Len(t, records, collected)
	must.LessEq(t, records/(pagesPerSealRequest*pageRecords)+1, rounds)
	// A request without More gets one page, for nodes of earlier versions.
	must.Len(t, 1, v.Step(at(1), "n", &Message{Kind: Seal, From: "n", Generation: 1}))
}
