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

// spreadPlay is one voter with members, some of many services, and messages of which any
// may be lost, doubled or late.
type spreadPlay struct {
	t       *rapid.T
	now     time.Time
	voter   *Voter
	members map[string]*Member
	lives   map[string]uint64
	table   *Table
	flights []Envelope
	ballot  uint64
}

func newSpreadPlay(t *rapid.T) *spreadPlay {
	p := &spreadPlay{t: t, now: at(2000), members: map[string]*Member{}, lives: map[string]uint64{}, ballot: 1}
	p.table = &Table{Era: 1, Seats: []Seat{{Name: "v", Address: "v", Life: 1}}}
	p.voter = NewVoter("v", 1, at(0))
	p.voter.Install(at(0), p.table)
	for i := range rapid.IntRange(1, 4).Draw(t, "members") {
		p.start(fmt.Sprintf("m%d", i))
	}
	return p
}

func (p *spreadPlay) start(name string) {
	p.lives[name]++
	p.members[name] = NewMember(name, p.lives[name], p.now)
	p.members[name].SetTable(p.now, p.table)
}

// deliver hands over the message at a place of those on their way.
func (p *spreadPlay) deliver(place int) {
	flight := p.flights[place]
	if rapid.IntRange(0, 9).Draw(p.t, "twice") > 0 {
		p.flights = slices.Delete(p.flights, place, place+1)
	}
	member := p.members[flight.To]
	switch {
	case flight.To == "v":
		p.flights = append(p.flights, p.voter.Step(p.now, flight.Message.From, &flight.Message)...)
	case member != nil:
		out, _ := member.Step(p.now, "v", &flight.Message)
		p.flights = append(p.flights, out...)
	}
}

// restartVoter puts a later process in the voter's place, with its records.
func (p *spreadPlay) restartVoter() {
	var records []Record
	for _, service := range slices.Sorted(maps.Keys(p.voter.matters)) {
		records = append(records, p.voter.matters[service].Record)
	}
	p.voter = NewVoter("v", p.voter.life+1, p.now)
	p.voter.Install(p.now, p.table)
	p.voter.begin(p.now, records)
}

// act does one thing at random.
func (p *spreadPlay) act() {
	names := slices.Sorted(maps.Keys(p.members))
	name := rapid.SampledFrom(names).Draw(p.t, "member")
	switch rapid.IntRange(0, 9).Draw(p.t, "act") {
	case 0:
		p.ballot++
		service := fmt.Sprintf("s%d", rapid.IntRange(0, 15).Draw(p.t, "service"))
		for _, kind := range []Kind{Prepare, Open} {
			p.flights = append(p.flights, p.voter.Step(p.now, "x", &Message{
				Kind: kind, From: "x", Life: 5, Era: 1, Service: service, Ballot: p.ballot, Primary: "a",
			})...)
		}
	case 1:
		switch rapid.IntRange(0, 15).Draw(p.t, "restart") {
		case 0, 1:
			p.start(name)
		case 2:
			p.restartVoter()
		}
	case 2:
		if len(p.flights) > 0 {
			place := rapid.IntRange(0, len(p.flights)-1).Draw(p.t, "lost")
			p.flights = slices.Delete(p.flights, place, place+1)
		}
	case 3, 4:
		p.now = p.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 700}).Draw(p.t, "ms")) * time.Millisecond)
		out, _ := p.voter.Tick(p.now)
		p.flights = append(p.flights, out...)
	case 5:
		out, _ := p.members[name].Due(p.now, Eager)
		p.flights = append(p.flights, out...)
	default:
		if len(p.flights) > 0 {
			p.deliver(rapid.IntRange(0, len(p.flights)-1).Draw(p.t, "place"))
		}
	}
}

// check compares what the voter believes that members know with what they know.
func (p *spreadPlay) check() {
	must.LessEq(p.t, spreadMost+messageBytes+recordBytes*briefRecords, p.voter.spread.flying)
	flying := 0
	for name, g := range p.voter.grants {
		flying += g.flying
		if g.life != p.lives[name] {
			continue
		}
		of := p.members[name].mirrors[0]
		known, leased := of.records, of.lease.until.Load() > int64(p.now.Sub(p.members[name].base))
		for service, held := range p.voter.matters {
			if of.life == p.voter.life && held.Revision <= of.revision {
				must.Eq(p.t, held.Revision, known[service].Revision)
			}
			// A member that has heard of a former process of the voter has begun anew.
			record, found := known[service]
			if of.life == p.voter.life && held.Revision <= g.known && found {
				must.Eq(p.t, held.Revision, record.Revision)
			}
			if _, owes := held.owing[name]; !owes && leased && of.life == p.voter.life && p.now.After(p.voter.unknownUntil) && known[service].Open {
				must.GreaterEq(p.t, held.closing, known[service].Chosen.Ballot)
			}
		}
	}
	must.Eq(p.t, flying, p.voter.spread.flying)
}

// TestVoterKnowsWhatMembersKnow: whatever is lost, doubled or late, a voter believes of no
// member that it knows a record which it does not, has nobody's lease released that still
// uses a closed tenure, and has no more under way than its window.
func TestVoterKnowsWhatMembersKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSpreadPlay(t)
		for range 150 {
			p.act()
			p.check()
		}
	})
}

// TestRecordsPassInAWindow: a voter of many members has no more under way to them than its
// window, and all know all once nothing is lost; each gets one message for many services.
func TestRecordsPassInAWindow(t *testing.T) {
	const members = 400
	table := &Table{Era: 1, Seats: []Seat{{Name: "v", Address: "v", Life: 1}}}
	voter := NewVoter("v", 1, at(0))
	voter.Install(at(0), table)
	fleet := map[string]*Member{}
	var flights []Envelope
	deliver := func() (sent int) {
		for len(flights) > 0 {
			batch := flights
			flights = nil
			for _, flight := range batch {
				if member := fleet[flight.To]; member != nil {
					sent++
					out, _ := member.Step(at(2010), "v", &flight.Message)
					flights = append(flights, out...)
				} else if flight.To == "v" {
					flights = append(flights, voter.Step(at(2010), flight.Message.From, &flight.Message)...)
				}
				must.LessEq(t, spreadMost+messageBytes+recordBytes*briefRecords, voter.spread.flying)
			}
		}
		return sent
	}
	for i := range members {
		name := fmt.Sprintf("m%d", i)
		fleet[name] = NewMember(name, 1, at(0))
		fleet[name].SetTable(at(0), table)
		out, _ := fleet[name].Due(at(2000), Calm)
		// The members' address is their name.
		flights = append(flights, voter.Step(at(2000), name, &out[0].Message)...)
	}
	deliver()
	for i := range 10 {
		for _, kind := range []Kind{Prepare, Open} {
			flights = append(flights, voter.Step(at(2010), "x", &Message{
				Kind: kind, From: "x", Life: 5, Era: 1, Service: fmt.Sprintf("s%d", i), Ballot: 2, Primary: "a",
			})...)
		}
	}
	sent := deliver()
	// What is left waits for its pace.
	for now := 2010; voter.spread.busy() && now < 4000; now += 40 {
		flights, _ = voter.Tick(at(now))
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

// BenchmarkPage reads all records of a voter with many services page by page, as each member
// does that has just started.
func BenchmarkPage(b *testing.B) {
	voter := NewVoter("v", 1, at(0))
	voter.Install(at(0), &Table{Era: 1, Seats: []Seat{{Name: "v", Life: 1}}})
	for i := range 600 {
		voter.changed(voter.matter(fmt.Sprintf("s%d", i)))
	}
	for b.Loop() {
		known, more := uint64(0), true
		for more {
			_, known, more = voter.pageAfter(known, briefRecords)
		}
	}
}
