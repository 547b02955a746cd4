package remote

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/codec"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/upstream"
)

// TestResponsesCarryLoadReports guards against responses without a load report, also those to
// rejected operations, and against reports dated by the request instead of the response.
func TestResponsesCarryLoadReports(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		link, _, observed := connect(t, server)
		server.hold = make(chan struct{})
		time.AfterFunc(250*time.Millisecond, func() { close(server.hold) })
		must.NoError(t, lease(link, "s1").Run([]upstream.Operation{statement("x")}, testDeadline()).Err)
		report, age, known := observed.view.Newest(time.Now())
		must.True(t, known)
		must.Eq(t, 7, report.Waiting)
		must.Less(t, 10*time.Millisecond, age)
		server.full = true
		batch := lease(link, "s1").Run([]upstream.Operation{statement("x")}, testDeadline())
		must.Eq(t, upstream.Busy, batch.Last().Outcome)
		report, _, _ = observed.view.Newest(time.Now())
		must.Eq(t, 2, report.Sequence)
	})
}

// TestReportsOfRestartedOwner guards against ignoring a restarted owner's reports because their
// sequence starts again.
func TestReportsOfRestartedOwner(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		server := newFakeServer()
		first, _, observed := connect(t, server)
		for range 3 {
			must.NoError(t, lease(first, "s1").Run([]upstream.Operation{statement("x")}, testDeadline()).Err)
		}
		first.Close()
		time.Sleep(time.Millisecond)
		second, _, observedLater := connect(t, newFakeServer())
		must.NoError(t, lease(second, "s1").Run([]upstream.Operation{statement("x")}, testDeadline()).Err)
		restarted, _, _ := observedLater.view.Newest(time.Now())
		observed.view.Observe(time.Now(), &restarted)
		report, _, _ := observed.view.Newest(time.Now())
		must.Eq(t, 1, report.Sequence)
	})
}

// TestReportsOfSilentOwnerExpire guards against using the reports of a silent owner for longer than
// their maximum age.
func TestReportsOfSilentOwnerExpire(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		link, _, observed := connect(t, newFakeServer())
		must.NoError(t, lease(link, "s1").Run([]upstream.Operation{statement("x")}, testDeadline()).Err)
		time.Sleep(loadreport.MaxAge)
		_, _, known := observed.view.Newest(time.Now())
		must.False(t, known)
	})
}

// TestReportsBetweenVersions guards against responses that can't be decoded between this version
// and an earlier one without load reports.
func TestReportsBetweenVersions(t *testing.T) {
	type earlier struct {
		Results  []upstream.Result
		Lost     bool
		Proof    position.Position
		ProofAge time.Duration
	}
	earlierEncoded, err := codec.Append(nil, &earlier{Lost: true, ProofAge: 5})
	must.NoError(t, err)
	var decoded response
	must.NoError(t, codec.Decode(earlierEncoded, &decoded))
	must.Eq(t, response{Lost: true, ProofAge: 5}, decoded)

	current := &response{Lost: true, ProofAge: 5, Load: &loadreport.Report{Waiting: 3}}
	encoded, err := codec.Append(nil, current)
	must.NoError(t, err)
	var decodedEarlier earlier
	must.NoError(t, codec.Decode(encoded, &decodedEarlier))
	must.Eq(t, earlier{Lost: true, ProofAge: 5}, decodedEarlier)
	must.NoError(t, codec.Decode(encoded, &decoded))
	must.Eq(t, *current, decoded)

	// A report in the unknown form of a later version is ignored.
	earlierEncoded, err = codec.Append(earlierEncoded, "another form")
	must.NoError(t, err)
	var unread response
	must.NoError(t, codec.Decode(earlierEncoded, &unread))
	must.Nil(t, unread.Load)
}

// BenchmarkRoundTrip runs a statement through an owner.
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
