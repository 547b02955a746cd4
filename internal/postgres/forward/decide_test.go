package forward

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/failure"
	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// Guards against wrong retries and failure kinds for each ending of an attempt.
func TestDecide(t *testing.T) {
	cases := map[string]struct {
		attempt Attempt
		want    Decision
	}{
		"write, not sent":              {Attempt{Ending: NotSent, MayCommit: true}, Decision{Retry: true}},
		"write, not the owner":         {Attempt{Ending: NotOwner, MayCommit: true, Tries: 1}, Decision{Retry: true}},
		"write, not sent, often":       {Attempt{Ending: NotSent, MayCommit: true, Tries: maxAttempts}, Decision{Kind: failure.NoServer}},
		"write, lost":                  {Attempt{Ending: LinkLost, MayCommit: true}, Decision{Kind: failure.OutcomeUnknown}},
		"read, lost":                   {Attempt{Ending: LinkLost, ReadOnly: true}, Decision{Retry: true}},
		"read, lost after a part":      {Attempt{Ending: LinkLost, ReadOnly: true, PartDelivered: true}, Decision{Kind: failure.OutcomeUnknown, Disconnect: true}},
		"in a transaction, lost":       {Attempt{Ending: LinkLost, InTransaction: true}, Decision{Kind: failure.TransactionLost}},
		"commit, lost":                 {Attempt{Ending: LinkLost, InTransaction: true, MayCommit: true}, Decision{Kind: failure.OutcomeUnknown}},
		"in a transaction, owner gone": {Attempt{Ending: NotSent, InTransaction: true, MayCommit: true}, Decision{Kind: failure.TransactionLost}},
	}
	for name, testCase := range cases {
		must.Eq(t, testCase.want, Decide(testCase.attempt), must.Sprint(name))
	}
}

// Guards against retrying a request that may have committed, and against reporting it as
// not run.
func TestPossiblyCommittedRequestIsNotRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := Attempt{
			Ending: LinkLost, MayCommit: true, InTransaction: rapid.Bool().Draw(t, "in transaction"),
			PartDelivered: rapid.Bool().Draw(t, "part delivered"), Tries: rapid.IntRange(0, 10).Draw(t, "tries"),
		}
		decision := Decide(attempt)
		must.False(t, decision.Retry)
		must.False(t, decision.Kind.NotRun())
	})
}
