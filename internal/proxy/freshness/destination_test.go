package freshness

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/position"
)

// TestReadsWaitForReplicasOnlyInTime guards against reads that wait for a replica without need, too
// long, or without an estimate.
func TestReadsWaitForReplicasOnlyInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(-200, 2_000).Draw(t, name)) * time.Millisecond
		}
		p := ReadOptions{
			PrimaryWait: milliseconds("primary"), PrimaryKnown: rapid.Bool().Draw(t, "known"), CatchUp: milliseconds("catch up"),
			ReplicaKnown: rapid.Bool().Draw(t, "replica"), Allowed: milliseconds("allowed"), Left: milliseconds("left"),
		}
		destination := p.Choose()
		primaryBusy := p.PrimaryKnown && p.PrimaryWait > 0
		if destination == AwaitReplica && (!primaryBusy || !p.ReplicaKnown || p.CatchUp > p.Left/2) {
			t.Fatalf("waits for a replica without need or too long: %+v", p)
		}
		if destination == OnPrimary && primaryBusy && p.PrimaryWait > p.Allowed && p.ReplicaKnown && p.CatchUp <= p.Left/2 {
			t.Fatalf("sent to the overloaded primary although a replica catches up in time: %+v", p)
		}
	})
}

// TestFirstMissingIsEarliestProof guards against a result other than the earliest proof that the
// position does not cover, and against using proofs of another term.
func TestFirstMissingIsEarliestProof(t *testing.T) {
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
		since, lacks := proofs.FirstMissing(at)
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
	_, lacks := promoted.FirstMissing(position.Position{Term: 2, Offset: 50})
	must.False(t, lacks)
	since, lacks := promoted.FirstMissing(position.Position{Term: 1, Offset: 50})
	must.True(t, lacks)
	must.Eq(t, start.Add(time.Second), since)
}
