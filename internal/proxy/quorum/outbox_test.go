package quorum

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// outboxScenario is one voter with some members and services. Any message may be lost, duplicated
// or delayed.
type outboxScenario struct {
	t            *rapid.T
	now          time.Time
	voter        *Voter
	members      map[string]*Member
	incarnations map[string]uint64
	table        *Table
	packets      []Envelope
	ballot       uint64
}

func newOutboxScenario(t *rapid.T) *outboxScenario {
	s := &outboxScenario{t: t, now: at(2000), members: map[string]*Member{}, incarnations: map[string]uint64{}, ballot: 1}
	s.table = &Table{Generation: 1, Entries: []VoterEntry{{Name: "v", Address: "v", Incarnation: 1}}}
	s.voter = NewVoter("v", 1, at(0))
	s.voter.Install(at(0), s.table)
	for i := range rapid.IntRange(1, 4).Draw(t, "members") {
		s.start(fmt.Sprintf("m%d", i))
	}
	return s
}

func (s *outboxScenario) start(name string) {
	s.incarnations[name]++
	s.members[name] = NewMember(name, s.incarnations[name], s.now)
	s.members[name].SetTable(s.now, s.table)
}

// deliver delivers one packet in flight.
func (s *outboxScenario) deliver(index int) {
	packet := s.packets[index]
	if rapid.IntRange(0, 9).Draw(s.t, "twice") > 0 {
		s.packets = slices.Delete(s.packets, index, index+1)
	}
	member := s.members[packet.To]
	switch {
	case packet.To == "v":
		s.packets = append(s.packets, s.voter.Step(s.now, packet.Message.From, &packet.Message)...)
	case member != nil:
		out, _ := member.Step(s.now, "v", &packet.Message)
		s.packets = append(s.packets, out...)
	}
}

// restartVoter replaces the voter by a later process with the same records.
func (s *outboxScenario) restartVoter() {
	var records []Record
	for _, service := range slices.Sorted(maps.Keys(s.voter.services)) {
		records = append(records, s.voter.services[service].Record)
	}
	s.voter = NewVoter("v", s.voter.incarnation+1, s.now)
	s.voter.Install(s.now, s.table)
	s.voter.begin(s.now, records)
}

// act performs one random action.
func (s *outboxScenario) act() {
	names := slices.Sorted(maps.Keys(s.members))
	name := rapid.SampledFrom(names).Draw(s.t, "member")
	switch rapid.IntRange(0, 9).Draw(s.t, "act") {
	case 0:
		s.ballot++
		service := fmt.Sprintf("s%d", rapid.IntRange(0, 15).Draw(s.t, "service"))
		for _, kind := range []Kind{Prepare, Open} {
			s.packets = append(s.packets, s.voter.Step(s.now, "x", &Message{
				Kind: kind, From: "x", Incarnation: 5, Generation: 1, Service: service, Ballot: s.ballot, Primary: "a",
			})...)
		}
	case 1:
		switch rapid.IntRange(0, 15).Draw(s.t, "restart") {
		case 0, 1:
			s.start(name)
		case 2:
			s.restartVoter()
		}
	case 2:
		if len(s.packets) > 0 {
			index := rapid.IntRange(0, len(s.packets)-1).Draw(s.t, "lost")
			s.packets = slices.Delete(s.packets, index, index+1)
		}
	case 3, 4:
		s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 700}).Draw(s.t, "ms")) * time.Millisecond)
		out, _ := s.voter.Tick(s.now)
		s.packets = append(s.packets, out...)
	case 5:
		out, _ := s.members[name].Due(s.now, RenewEager)
		s.packets = append(s.packets, out...)
	default:
		if len(s.packets) > 0 {
			s.deliver(rapid.IntRange(0, len(s.packets)-1).Draw(s.t, "place"))
		}
	}
}

// check compares the voter's record of what members know with what they know.
func (s *outboxScenario) check() {
	must.LessEq(s.t, maxWindowBytes+messageBytes+recordBytes*memberPageRecords, s.voter.outbox.inFlight)
	inFlight := 0
	for name, g := range s.voter.grants {
		inFlight += g.inFlight
		if g.incarnation != s.incarnations[name] {
			continue
		}
		peer := s.members[name].peers[0]
		memberRecords, leased := peer.records, peer.lease.until.Load() > int64(s.now.Sub(s.members[name].base))
		for service, state := range s.voter.services {
			if peer.incarnation == s.voter.incarnation && state.Revision <= peer.revision {
				must.Eq(s.t, state.Revision, memberRecords[service].Revision)
			}
			// A member that has received a message of an earlier incarnation has no records.
			record, found := memberRecords[service]
			if peer.incarnation == s.voter.incarnation && state.Revision <= g.ackedRevision && found {
				must.Eq(s.t, state.Revision, record.Revision)
			}
			if _, holdsLease := state.leaseHolders[name]; !holdsLease && leased && peer.incarnation == s.voter.incarnation && s.now.After(s.voter.unknownLeasesUntil) && memberRecords[service].Open {
				must.GreaterEq(s.t, state.closedBy, memberRecords[service].Chosen.Ballot)
			}
		}
	}
	must.Eq(s.t, inFlight, s.voter.outbox.inFlight)
}

// TestVoterTracksMemberRevisions guards against a voter that overestimates what a member knows,
// considers a lease released that still uses a closed tenure, or exceeds its window, when messages
// are lost, duplicated or delayed.
func TestVoterTracksMemberRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newOutboxScenario(t)
		for range 150 {
			s.act()
			s.check()
		}
	})
}

// TestRecordsInFlightAreBounded guards against a voter of many members that exceeds its window,
// leaves a member without records, or sends a message for each service.
func TestRecordsInFlightAreBounded(t *testing.T) {
	const members = 400
	table := &Table{Generation: 1, Entries: []VoterEntry{{Name: "v", Address: "v", Incarnation: 1}}}
	voter := NewVoter("v", 1, at(0))
	voter.Install(at(0), table)
	fleet := map[string]*Member{}
	var packets []Envelope
	deliver := func() (sent int) {
		for len(packets) > 0 {
			batch := packets
			packets = nil
			for _, packet := range batch {
				if member := fleet[packet.To]; member != nil {
					sent++
					out, _ := member.Step(at(2010), "v", &packet.Message)
					packets = append(packets, out...)
				} else if packet.To == "v" {
					packets = append(packets, voter.Step(at(2010), packet.Message.From, &packet.Message)...)
				}
				must.LessEq(t, maxWindowBytes+messageBytes+recordBytes*memberPageRecords, voter.outbox.inFlight)
			}
		}
		return sent
	}
	for i := range members {
		name := fmt.Sprintf("m%d", i)
		fleet[name] = NewMember(name, 1, at(0))
		fleet[name].SetTable(at(0), table)
		out, _ := fleet[name].Due(at(2000), RenewNormal)
		// The address of a member is its name.
		packets = append(packets, voter.Step(at(2000), name, &out[0].Message)...)
	}
	deliver()
	for i := range 10 {
		for _, kind := range []Kind{Prepare, Open} {
			packets = append(packets, voter.Step(at(2010), "x", &Message{
				Kind: kind, From: "x", Incarnation: 5, Generation: 1, Service: fmt.Sprintf("s%d", i), Ballot: 2, Primary: "a",
			})...)
		}
	}
	sent := deliver()
	// The remaining pushes wait for their interval.
	for now := 2010; voter.outbox.busy() && now < 4000; now += 40 {
		packets, _ = voter.Tick(at(now))
		sent += deliver()
	}
	t.Logf("%d messages to %d members", sent, members)
	must.Less(t, 3*members, sent)
	for name, member := range fleet {
		for i := range 10 {
			must.True(t, member.View(fmt.Sprintf("s%d", i)).Covers(at(2020)), must.Sprint(name, i))
		}
	}
}

// BenchmarkPage reads all records of a voter with many services page by page, as a starting member
// does.
func BenchmarkPage(b *testing.B) {
	voter := NewVoter("v", 1, at(0))
	voter.Install(at(0), &Table{Generation: 1, Entries: []VoterEntry{{Name: "v", Incarnation: 1}}})
	for i := range 600 {
		voter.markChanged(voter.serviceState(fmt.Sprintf("s%d", i)))
	}
	for b.Loop() {
		known, more := uint64(0), true
		for more {
			_, known, more = voter.pageAfter(known, memberPageRecords)
		}
	}
}
