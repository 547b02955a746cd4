package remote

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/codec"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/upstream"
)

// TestAnswersTellWhatWaits: each answer carries a report, refusals too, which is as old as
// the answer and not as the question.
func TestAnswersTellWhatWaits(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, _, taken := connect(t, server)
		server.hold = make(chan struct{})
		time.AfterFunc(250*time.Millisecond, func() { close(server.hold) })
		must.NoError(t, lease(link, "s1").Run([]upstream.Operation{statement("x")}, soon()).Err)
		report, age, known := taken.view.Newest(time.Now())
		must.True(t, known)
		must.Eq(t, 7, report.Waiting)
		must.Less(t, 10*time.Millisecond, age)
		server.full = true
		batch := lease(link, "s1").Run([]upstream.Operation{statement("x")}, soon())
		must.Eq(t, upstream.Busy, batch.Last().Outcome)
		report, _, _ = taken.view.Newest(time.Now())
		must.Eq(t, 2, report.Sequence)
	})
}

// TestAnotherProcessTellsAnew: the owner restarts, and counts its reports from the beginning.
func TestAnotherProcessTellsAnew(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		first, _, taken := connect(t, server)
		for range 3 {
			must.NoError(t, lease(first, "s1").Run([]upstream.Operation{statement("x")}, soon()).Err)
		}
		first.Close()
		time.Sleep(time.Millisecond)
		second, _, later := connect(t, newFakeServer())
		must.NoError(t, lease(second, "s1").Run([]upstream.Operation{statement("x")}, soon()).Err)
		restarted, _, _ := later.view.Newest(time.Now())
		taken.view.Observe(time.Now(), &restarted)
		report, _, _ := taken.view.Newest(time.Now())
		must.Eq(t, 1, report.Sequence)
	})
}

// TestSilentOwnerTellsNothing: one that said it was free and then stands still, or whose
// answers are cut off, is not believed for longer than a report lives.
func TestSilentOwnerTellsNothing(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		link, _, taken := connect(t, newFakeServer())
		must.NoError(t, lease(link, "s1").Run([]upstream.Operation{statement("x")}, soon()).Err)
		time.Sleep(told.Life)
		_, _, known := taken.view.Newest(time.Now())
		must.False(t, known)
	})
}

// TestReportsBetweenVersions: a node of an earlier version reads an answer that tells what
// waits, and an answer that does not is read here.
func TestReportsBetweenVersions(t *testing.T) {
	type earlier struct {
		Results  []upstream.Result
		Lost     bool
		Proof    position.Position
		ProofAge time.Duration
	}
	frame, err := codec.Append(nil, &earlier{Lost: true, ProofAge: 5})
	must.NoError(t, err)
	var now response
	must.NoError(t, codec.Decode(frame, &now))
	must.Eq(t, response{Lost: true, ProofAge: 5}, now)

	sent := &response{Lost: true, ProofAge: 5, Load: &told.Report{Waiting: 3}}
	encoded, err := codec.Append(nil, sent)
	must.NoError(t, err)
	var then earlier
	must.NoError(t, codec.Decode(encoded, &then))
	must.Eq(t, earlier{Lost: true, ProofAge: 5}, then)
	must.NoError(t, codec.Decode(encoded, &now))
	must.Eq(t, *sent, now)

	// What a later version tells in another form counts as nothing.
	frame, err = codec.Append(frame, "another form")
	must.NoError(t, err)
	var unread response
	must.NoError(t, codec.Decode(frame, &unread))
	must.Nil(t, unread.Load)
}

// BenchmarkRoundTrip runs a statement through an owner: the bytes are those of the answer.
func BenchmarkRoundTrip(b *testing.B) {
	server := newFakeServer()
	link, _, _ := connect(b, server)
	l := lease(link, "s1")
	b.ReportAllocs()
	for b.Loop() {
		if batch := l.Run([]upstream.Operation{statement("x")}, time.Now().Add(time.Second)); batch.Err != nil {
			b.Fatal(batch.Err)
		}
		server.log = server.log[:0]
	}
}
