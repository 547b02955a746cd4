package trial

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/lab/history"
	"dewknot/internal/postgres/policy"
)

func TestCompare(t *testing.T) {
	before := policy.DefaultTable("bookings")
	after := policy.DefaultTable("bookings")
	after.Kinds = map[string]policy.Rule{
		"feed":   {Freshness: policy.Any, Wait: 10 * time.Millisecond},
		"report": {Refuse: true, RetryAfter: time.Hour},
	}
	operations := []history.Operation{
		{Group: "bookings", Kind: "feed", Type: history.Read, Outcome: history.OK, End: time.Second},
		{Group: "bookings", Kind: "report", Type: history.Read, Outcome: history.OK},
		{Group: "bookings", Kind: "booking", Type: history.Write, Outcome: history.OK},
		{Group: "exams", Kind: "feed", Type: history.Read},
	}
	must.Eq(t, []Row{
		{Kind: "booking", Requests: 1},
		{Kind: "feed", Requests: 1, Rerouted: 1, TooLate: 1},
		{Kind: "report", Requests: 1, Refused: 1},
	}, Compare(before, after, operations))
}
