package quorum

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/codec"
	_ "dewknot/internal/base/propertytest" // fixes the seed
)

var startTime = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time {
	return startTime.Add(time.Duration(milliseconds) * time.Millisecond)
}

// group consists of three voters and one member, without a network.
type group struct {
	table  *Table
	voters []*Voter
	member *Member
}

var groupNames = []string{"v0", "v1", "v2"}

func newGroup(records ...Record) *group {
	g := &group{table: &Table{Generation: 1, Records: records}}
	for i, name := range groupNames {
		g.table.Entries = append(g.table.Entries, VoterEntry{Name: name, Address: name, Incarnation: uint64(i + 1)})
	}
	for i, name := range groupNames {
		voter := NewVoter(name, uint64(i+1), at(0))
		voter.Install(at(0), g.table)
		g.voters = append(g.voters, voter)
	}
	g.member = NewMember("m", 9, at(0))
	g.member.SetTable(at(0), g.table)
	return g
}

// Renewals returns a renewal to every voter, due or not.
func (n *Member) Renewals(now time.Time) []Envelope {
	out := make([]Envelope, 0, len(n.peers))
	for _, p := range n.peers {
		out = append(out, n.renewal(now, p))
	}
	return out
}

// renew renews the member's leases with some voters. now is in milliseconds.
func (g *group) renew(t *testing.T, now int, voters ...int) {
	t.Helper()
	renewals := g.member.Renewals(at(now))
	for _, i := range voters {
		for _, reply := range g.voters[i].Step(at(now), "m", &renewals[i].Message) {
			answers, _ := g.member.Step(at(now), groupNames[i], &reply.Message)
			for _, answer := range answers {
				must.SliceEmpty(t, g.voters[i].Step(at(now), "m", &answer.Message))
			}
		}
	}
}

func openRecord() Record {
	return Record{Service: "s", Promised: 1, Candidate: Candidate{"c", 1}, Chosen: Tenure{1, "a"}, Open: true, Term: 1}
}

func (g *group) ask(voter, now int, kind Kind, from string, ballot uint64, primary string) []Envelope {
	return g.voters[voter].Step(at(now), from, &Message{
		Kind: kind, From: from, Incarnation: 5, Generation: 1, Sequence: 77, Service: "s", Ballot: ballot, Primary: primary, Ordering: kind == Choose,
	})
}

func kinds(out []Envelope) []Kind {
	var all []Kind
	for _, envelope := range out {
		all = append(all, envelope.Message.Kind)
	}
	return all
}

// TestLeasesNeedMajority guards against coverage by fewer than two of three voters, or beyond
// LeaseDuration after the request was sent.
func TestLeasesNeedMajority(t *testing.T) {
	g := newGroup(openRecord())
	g.renew(t, 2000, 0)
	must.False(t, g.member.View("s").Covers(at(2000)))
	g.renew(t, 2100, 0, 1)
	view := g.member.View("s")
	must.Eq(t, Tenure{1, "a"}, view.Tenure)
	must.True(t, view.Covers(at(2100)))
	last := 2100 + int((LeaseDuration-clockMargin)/time.Millisecond)
	must.True(t, view.Covers(at(last-1)))
	must.False(t, view.Covers(at(last)))
	// The third voter forms a majority with either of the others.
	g.renew(t, 3000, 1, 2)
	must.True(t, g.member.View("s").Covers(at(last)))
}

// TestCandidateWaitsForLeases guards against a voter that reports no outstanding lease before the
// member has released it or it has expired.
func TestCandidateWaitsForLeases(t *testing.T) {
	g := newGroup(openRecord())
	g.renew(t, 2000, 0, 1, 2)
	out := g.ask(0, 2100, Prepare, "x", 2, "")
	must.Eq(t, []Kind{Promised, Push}, kinds(out))
	must.False(t, out[0].Message.Clear)
	replies, _ := g.member.Step(at(2101), "v0", &out[1].Message)
	must.Eq(t, []Kind{Released}, kinds(replies))
	cleared := g.voters[0].Step(at(2102), "m", &replies[0].Message)
	must.Eq(t, []Kind{Cleared}, kinds(cleared))
	must.Eq(t, "x", cleared[0].To)

	// The recall of another voter is lost. It is repeated, and then the lease expires.
	out = g.ask(1, 2100, Prepare, "x", 2, "")
	must.Eq(t, []Kind{Promised, Push}, kinds(out))
	must.False(t, out[0].Message.Clear)
	again, waiting := g.voters[1].Tick(at(2200))
	must.True(t, waiting)
	must.Eq(t, []Kind{Push}, kinds(again))
	ended, _ := g.voters[1].Tick(at(2000 + int(LeaseDuration/time.Millisecond)))
	must.Eq(t, []Kind{Cleared}, kinds(ended))
}

// TestRecallEndsLease guards against accepting answers after a majority of voters has recalled
// unexpired leases.
func TestRecallEndsLease(t *testing.T) {
	g := newGroup(openRecord())
	g.renew(t, 2000, 0, 1, 2)
	view := g.member.View("s")
	for i := range 2 {
		must.True(t, g.member.View("s").Covers(at(2100)))
		out := g.ask(i, 2100, Prepare, "x", 2, "")
		must.Eq(t, Push, out[1].Message.Kind)
		g.member.Step(at(2101), groupNames[i], &out[1].Message)
	}
	must.False(t, g.member.View("s").Covers(at(2101)))
	// A grant that was in flight does not restore the lease.
	g.renew(t, 2102, 0, 1)
	must.False(t, g.member.View("s").Covers(at(2102)))
	must.Eq(t, view.Tenure, g.member.View("s").Tenure)
}

// TestStaleReleaseDoesNotClearLease guards against a late answer to an old recall that clears the
// lease of a later tenure.
func TestStaleReleaseDoesNotClearLease(t *testing.T) {
	g := newGroup(openRecord())
	g.renew(t, 2000, 0)
	out := g.ask(0, 2100, Prepare, "x", 2, "")
	released, _ := g.member.Step(at(2101), "v0", &out[1].Message)
	g.voters[0].Step(at(2102), "m", &released[0].Message)
	g.ask(0, 2103, Choose, "x", 2, "b")
	must.Eq(t, []Kind{Opened, Push}, kinds(g.ask(0, 2104, Open, "x", 2, "b")))
	g.renew(t, 2200, 0)
	out = g.ask(0, 2300, Prepare, "x", 3, "")
	must.False(t, out[0].Message.Clear)
	must.SliceEmpty(t, g.voters[0].Step(at(2301), "m", &released[0].Message))
	out = g.ask(0, 2302, Prepare, "x", 3, "")
	must.Eq(t, Promised, out[0].Message.Kind)
	must.False(t, out[0].Message.Clear)
}

// TestBallotHasOneCandidate guards against reuse of a ballot by another node or by a later process
// of the same node, and against candidates that interrupt each other.
func TestBallotHasOneCandidate(t *testing.T) {
	g := newGroup(openRecord())
	must.Eq(t, []Kind{Promised}, kinds(g.ask(0, 2000, Prepare, "x", 5, "")))
	must.Eq(t, []Kind{Promised}, kinds(g.ask(0, 2001, Prepare, "x", 5, "")))
	later := g.voters[0].Step(at(2002), "x", &Message{Kind: Prepare, From: "x", Incarnation: 6, Generation: 1, Service: "s", Ballot: 5})
	must.Eq(t, []Kind{Denied}, kinds(later))
	must.Eq(t, 5, later[0].Message.Ballot)
	must.Eq(t, []Kind{Denied}, kinds(g.ask(0, 2003, Prepare, "y", 6, "")))
	must.Eq(t, []Kind{Denied}, kinds(g.ask(0, 2004, Choose, "y", 5, "b")))
	free := 2001 + int(CandidateWindow/time.Millisecond)
	must.Eq(t, []Kind{Promised}, kinds(g.ask(0, free, Prepare, "y", 6, "")))
	must.Eq(t, []Kind{Denied}, kinds(g.ask(0, free, Choose, "x", 5, "b")))
}

// TestRecoveredVoterCountsUnknownLeases guards against a recovered voter that ignores leases which
// its previous incarnation may have granted.
func TestRecoveredVoterCountsUnknownLeases(t *testing.T) {
	g := newGroup(openRecord())
	restarted := NewVoter("v0", 50, at(3000))
	restarted.Install(at(3000), g.table)
	must.True(t, restarted.Recovering())
	request := &Message{Kind: Renew, From: "m", Generation: 1}
	must.Eq(t, []Kind{Unable}, kinds(restarted.Step(at(3001), "m", request)))
	one := [][]Record{{openRecord()}}
	must.False(t, restarted.Recover(at(3300), 1, one))
	must.True(t, restarted.Recover(at(3300), 1, append(one, one[0])))
	g.voters[0] = restarted
	out := g.ask(0, 3301, Prepare, "x", 2, "")
	must.False(t, out[0].Message.Clear)
	out = g.ask(0, 3300+int(LeaseDuration/time.Millisecond), Prepare, "x", 2, "")
	must.True(t, out[0].Message.Clear)
}

// TestAnswersToPreviousIncarnationAreIgnored guards against a restarted member that accepts such an
// answer, which omits records that it does not know.
func TestAnswersToPreviousIncarnationAreIgnored(t *testing.T) {
	g := newGroup(openRecord())
	g.renew(t, 2000, 0, 1)
	late := g.member.Renewals(at(2100))[0]
	reply := g.voters[0].Step(at(2101), "m", &late.Message)
	restarted := NewMember("m", 10, at(2000))
	restarted.SetTable(at(2000), g.table)
	restarted.Renewals(at(2102))
	restarted.Step(at(2103), "v0", &reply[0].Message)
	must.Eq(t, 0, restarted.CompleteVoters())
	must.Nil(t, restarted.View("s"))
}

// TestRecordsArePaged guards against granting a lease before the member knows all records.
func TestRecordsArePaged(t *testing.T) {
	var records []Record
	for i := range 3*memberPageRecords + 1 {
		record := openRecord()
		record.Service = string(rune('a'+i%26)) + string(rune('a'+i/26))
		records = append(records, record)
	}
	g := newGroup(records...)
	for i := range 2 {
		request := g.member.Renewals(at(2000))[i]
		for pages := 1; ; pages++ {
			reply := g.voters[i].Step(at(2000), "m", &request.Message)
			out, _ := g.member.Step(at(2000), groupNames[i], &reply[0].Message)
			must.Len(t, 1, out)
			if out[0].Message.Kind == Released {
				must.Eq(t, 4, pages)
				break
			}
			must.Eq(t, i, g.member.CompleteVoters())
			request = out[0]
		}
	}
	for _, record := range records {
		must.True(t, g.member.View(record.Service).Covers(at(2000)), must.Sprint(record.Service))
	}
}

// TestSealingKeepsDecidedRecords guards against ending a generation without a majority's records,
// unless a majority has lost its state; then no tenure may stay open.
func TestSealingKeepsDecidedRecords(t *testing.T) {
	g := newGroup(openRecord())
	g.ask(0, 2000, Prepare, "x", 2, "")
	g.ask(1, 2000, Prepare, "x", 2, "")
	g.ask(0, 2001, Choose, "x", 2, "b")
	g.ask(1, 2001, Choose, "x", 2, "b")
	sealing := NewSealing(g.table)
	seal := func(i int) {
		requests := sealing.Requests("k", 1, 1)
		for _, envelope := range requests {
			if envelope.To == groupNames[i] {
				for _, reply := range g.voters[i].Step(at(2100), "k", &envelope.Message) {
					sealing.AddAnswer(&reply.Message)
				}
			}
		}
	}
	seal(1)
	_, ended := sealing.Outcome()
	must.False(t, ended)
	must.Eq(t, []Kind{Unable}, kinds(g.ask(1, 2101, Prepare, "x", 3, "")))
	seal(2)
	records, ended := sealing.Outcome()
	must.True(t, ended)
	must.Len(t, 1, records)
	must.Eq(t, Tenure{2, "b"}, records[0].Chosen)
	must.True(t, records[0].Ordering)
	must.False(t, records[0].Open)

	lost := newGroup(openRecord())
	for i := range 2 {
		lost.voters[i] = NewVoter(groupNames[i], uint64(60+i), at(5000))
		lost.voters[i].Install(at(5000), lost.table)
	}
	sealing = NewSealing(lost.table)
	for _, age := range []int{int(StateLossAge/time.Millisecond) - 1, int(StateLossAge / time.Millisecond)} {
		for _, envelope := range sealing.Requests("k", 1, 1) {
			for i, name := range groupNames[:2] {
				if name == envelope.To {
					for _, reply := range lost.voters[i].Step(at(5000+age), "k", &envelope.Message) {
						sealing.AddAnswer(&reply.Message)
					}
				}
			}
		}
		records, ended = sealing.Outcome()
		must.Eq(t, age == int(StateLossAge/time.Millisecond), ended)
	}
	must.False(t, records[0].Open)
	must.Eq(t, Tenure{}, records[0].Chosen)
	must.Eq(t, 1, records[0].Promised)
}

// TestMergeIsOrderIndependent guards against a merge that depends on the order of the voters.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Record {
			ballot := rapid.Uint64Range(0, 4).Draw(t, label+" chosen")
			promised := ballot + rapid.Uint64Range(0, 2).Draw(t, label+" promised")
			record := Record{Service: "s", Promised: promised, Candidate: Candidate{"c", promised}, Term: ballot}
			if ballot > 0 {
				record.Chosen = Tenure{ballot, "p"}
				record.Ordering = rapid.Bool().Draw(t, label+" ordering")
				record.Open = !record.Ordering && ballot == promised
			}
			return record
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		must.Eq(t, Merge([]Record{a, b, c}), Merge([]Record{c, a, b}))
		must.Eq(t, Merge([]Record{a, b, c}), Merge([]Record{b, c, a}))
		merged := Merge([]Record{a, b, c})
		must.True(t, merged.Promised >= a.Promised && merged.Chosen.Ballot >= b.Chosen.Ballot)
		must.True(t, !merged.Open || merged.Chosen.Ballot == merged.Promised)
	})
}

// TestPreviousVersionReadsAnnouncements guards against announcements that nodes of the previous version
// can't read, and against a stopping node that is taken for one that stays.
func TestPreviousVersionReadsAnnouncements(t *testing.T) {
	type previousMessage Message
	table := &Table{
		Generation: 3, Entries: []VoterEntry{{Name: "a", Address: "1", Incarnation: 2}},
		Supporters: []SupporterEntry{{Name: "a", Address: "1", Incarnation: 2}, {Name: "b", Address: "2", Incarnation: 5}},
	}
	for _, leaving := range []bool{false, true} {
		sent := Message{Kind: Announce, From: "a", Incarnation: 2, Generation: 3, Table: table, Leaving: leaving, NeedsSupport: true}
		data, err := codec.Append(nil, &sent)
		must.NoError(t, err)
		var received Message
		must.NoError(t, codec.Decode(data, &received))
		must.Eq(t, sent, received)
		var previous previousMessage
		must.NoError(t, codec.Decode(data, &previous))
		must.Eq(t, table.Entries, previous.Table.Entries)
		data, err = codec.Append(nil, &previous)
		must.NoError(t, err)
		received = Message{}
		must.NoError(t, codec.Decode(data, &received))
		must.False(t, received.Leaving || received.NeedsSupport)
	}
}
