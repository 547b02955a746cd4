package replication

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// Guards against elections that lose entries which a majority has received in the
// primary's term. The safety of acknowledgements depends on this.
func TestMajorityReceivedEntriesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := New[int](Settings{Servers: 3, ElectionDelay: 20 * time.Millisecond, ReceiveDelay: 2 * time.Millisecond})
		now := time.Duration(0)
		var durable []Entry[int]
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")) * time.Millisecond
			server := rapid.IntRange(0, 2).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				group.SetIsolated(server, rapid.Bool().Draw(t, "isolated"))
			case 1:
				group.SetDown(server, rapid.Bool().Draw(t, "down"))
			default:
				group.Append(server, step, now)
			}
			group.Advance(now)
			durable = append(durable, entriesOnMajority(group)...)
			requireEntries(t, group, durable)
		}
	})
}

func entriesOnMajority(group *Group[int]) []Entry[int] {
	leader := group.Leader()
	if leader < 0 {
		return nil
	}
	var entries []Entry[int]
	term := group.Report(leader).Term
	for index, entry := range group.Log(leader) {
		holders := 0
		for server := range 3 {
			log := group.Log(server)
			if group.Report(server).Term == term && index < len(log) && log[index].Position == entry.Position {
				holders++
			}
		}
		if holders >= 2 && entry.Position.Term == term {
			entries = append(entries, entry)
		}
	}
	return entries
}

func requireEntries(t *rapid.T, group *Group[int], durable []Entry[int]) {
	log := group.Log(group.Leader())
	for _, entry := range durable {
		index := int(entry.Position.Offset) - 1
		if index >= len(log) || log[index].Position != entry.Position {
			t.Fatalf("entry %v was received by a majority but is lost", entry.Position)
		}
	}
}
