package freshness

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/position"
)

// TestReadsWaitForReplicasOnlyInTime: a read waits for a replica only while work waits for the
// primary, and only if it can be answered in time there; it never waits on a mere guess.
func TestReadsWaitForReplicasOnlyInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(-200, 2_000).Draw(t, name)) * time.Millisecond
		}
		p := Prospect{
			PrimaryWait: milliseconds("primary"), PrimaryKnown: rapid.Bool().Draw(t, "known"), CatchUp: milliseconds("catch up"),
			ReplicaKnown: rapid.Bool().Draw(t, "replica"), Allowed: milliseconds("allowed"), Left: milliseconds("left"),
		}
		place := p.Choose()
		short := p.PrimaryKnown && p.PrimaryWait > 0
		if place == AwaitReplica && (!short || !p.ReplicaKnown || p.CatchUp > p.Left/2) {
			t.Fatalf("waits in vain: %+v", p)
		}
		if place == OnPrimary && short && p.PrimaryWait > p.Allowed && p.ReplicaKnown && p.CatchUp <= p.Left/2 {
			t.Fatalf("refused by the primary though a replica has it in time: %+v", p)
		}
	})
}

// TestLackingIsTheEarliestProof: a server lacks what the primary had since the earliest proof
// that its position does not cover; proofs of another term tell nothing.
func TestLackingIsTheEarliestProof(t *testing.T) {
	start := time.Unix(1_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		proofs := &Proofs{}
		offset := uint64(0)
		var added []Proof
		for i := range rapid.IntRange(0, 50).Draw(t, "proofs") {
			offset += rapid.Uint64Range(0, 3).Draw(t, "commits")
			added = append(added, Proof{At: start.Add(time.Duration(i+1) * resolution), Position: position.Position{Term: 2, Offset: offset}})
			proofs.Add(added[i])
		}
		at := position.Position{Term: 2, Offset: rapid.Uint64Range(0, 150).Draw(t, "at")}
		since, lacks := proofs.Lacking(at)
		for _, proof := range added {
			if !at.Covers(proof.Position) {
				must.True(t, lacks)
				must.Eq(t, proof.At, since)
				return
			}
		}
		must.False(t, lacks)
	})
	promoted := &Proofs{}
	promoted.Add(Proof{At: start, Position: position.Position{Term: 1, Offset: 90}})
	promoted.Add(Proof{At: start.Add(time.Second), Position: position.Position{Term: 2, Offset: 50}})
	_, lacks := promoted.Lacking(position.Position{Term: 2, Offset: 50})
	must.False(t, lacks)
	since, lacks := promoted.Lacking(position.Position{Term: 1, Offset: 50})
	must.True(t, lacks)
	must.Eq(t, start.Add(time.Second), since)
}
