package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// sealedVoter returns a voter that holds records of some services.
func sealedVoter(table *Table, records int) *Voter {
	v := NewVoter("v0", 1, at(0))
	v.Install(at(0), table)
	for i := range records {
		held := v.matter(fmt.Sprintf("service-%d", i))
		held.Promised = uint64(i + 1)
		v.changed(held)
	}
	return v
}

// TestEndOfAnEraMissesNoRecord: whatever answers of a sealed voter are lost, doubled or late, in
// several attempts, what it has told whole are all its records.
func TestEndOfAnEraMissesNoRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.IntRange(0, 5*sealPages*pageRecords).Draw(t, "records")
		table := &Table{Era: 1, Seats: []Seat{{Name: "v0", Address: "v0", Life: 1}}}
		v := sealedVoter(table, records)
		s := NewSealing(table)
		var flights []Envelope
		told, ended := []Record(nil), false
		for step := 0; !ended && step < 2000; step++ {
			if len(flights) == 0 || rapid.IntRange(0, 9).Draw(t, "step") == 0 {
				if rapid.IntRange(0, 19).Draw(t, "attempt") == 0 {
					s.Resume()
				}
				flights = append(flights, s.Questions("n", 7, 1)...)
			}
			place := rapid.IntRange(0, min(len(flights)-1, 20)).Draw(t, "place")
			flight := flights[place]
			if rapid.IntRange(0, 9).Draw(t, "twice") > 0 {
				flights = slices.Delete(flights, place, place+1)
			}
			lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
			switch {
			case lost:
			case flight.To == "v0":
				flights = append(flights, v.Step(at(1), "n", &flight.Message)...)
			default:
				s.Take(&flight.Message)
				told, ended = s.Outcome()
				flights = append(flights, s.Next(&flight.Message, "n", 7, 1)...)
			}
		}
		must.True(t, ended)
		must.Len(t, records, told)
	})
}

// TestEndOfAnEraTakesFewQuestions: the records of 820 services pass in one round trip for each
// sealPages messages, if none is lost.
func TestEndOfAnEraTakesFewQuestions(t *testing.T) {
	const records = 820
	table := &Table{Era: 1, Seats: []Seat{{Name: "v0", Address: "v0", Life: 1}}}
	v := sealedVoter(table, records)
	s := NewSealing(table)
	questions := 0
	for asked := s.Questions("n", 7, 1); len(asked) > 0; questions++ {
		answers := v.Step(at(1), "n", &asked[0].Message)
		asked = nil
		for i := range answers {
			s.Take(&answers[i].Message)
			asked = append(asked, s.Next(&answers[i].Message, "n", 7, 1)...)
		}
	}
	told, ended := s.Outcome()
	must.True(t, ended)
	must.Len(t, records, told)
	must.LessEq(t, records/(sealPages*pageRecords)+1, questions)
	// One that asks for no more gets one page, as from earlier versions.
	must.Len(t, 1, v.Step(at(1), "n", &Message{Kind: Seal, From: "n", Era: 1}))
}
