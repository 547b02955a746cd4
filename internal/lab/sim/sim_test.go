package sim

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/lab/check"
	"dewknot/internal/lab/history"
)

// seedsInCI is the number of random runs of a test run; 'dewknot sim --seeds' makes more.
const seedsInCI = 60

// TestPromisesHoldUnderRandomFaults guards against promises broken by random faults, and
// against promises that no run checks.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	judged := map[check.Promise]int{}
	for seed := range uint64(seedsInCI) {
		recorded, _ := Run(RandomSettings(seed))
		report := check.History(recorded)
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s: %s", seed, violation.Promise, violation.Detail)
		}
		for promise, count := range report.Judged {
			judged[promise] += count
		}
	}
	for _, promise := range check.All {
		must.Positive(t, judged[promise], must.Sprint("no run has tested ", promise))
	}
}

// TestPromisesHoldUnderShrinkableFaults checks the same with faults drawn by rapid, which
// shrinks a failing run to few and short faults.
func TestPromisesHoldUnderShrinkableFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := RandomSettings(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"))
		drawn := rapid.Custom(func(t *rapid.T) Fault {
			return Fault{
				At:     time.Duration(rapid.IntRange(4000, 15000).Draw(t, "at")) * time.Millisecond,
				For:    time.Duration(rapid.IntRange(0, 6000).Draw(t, "for")) * time.Millisecond,
				Kind:   rapid.SampledFrom(allFaults).Draw(t, "kind"),
				Group:  rapid.IntRange(0, 1).Draw(t, "group"),
				Target: rapid.IntRange(0, 11).Draw(t, "target"),
				Lag:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "lag")) * time.Millisecond,
			}
		})
		settings.Faults = rapid.SliceOfN(drawn, 1, 8).Draw(t, "faults")
		recorded, _ := Run(settings)
		for _, violation := range check.History(recorded).Violations {
			t.Fatalf("%s: %s", violation.Promise, violation.Detail)
		}
	})
}

// A node that resumes from a pause must not send new work to a server that was marked as
// leaving meanwhile.
func TestResumedNodesApplyMarksFirst(t *testing.T) { requireNoViolation(t, pausedWhileMarked) }

// Current reads and writes of one record must be linearizable, also during changes of the
// primary. If reads ignore their minimum positions, the check must fail.
func TestCurrentReadsAreLinearizable(t *testing.T) {
	broken := 0
	for seed := range uint64(20) {
		settings := RandomSettings(seed)
		settings.Workload.Mix = Mix{StatusWrite: 2, StatusRead: 5, Booking: 1}
		recorded, _ := Run(settings)
		must.True(t, linearizable(t, recorded), must.Sprint("seed", seed))
		settings.Group.Mutations.SkipFloor = true
		recorded, _ = Run(settings)
		if !linearizable(t, recorded) {
			broken++
		}
	}
	must.Positive(t, broken)
}

func linearizable(t *testing.T, recorded *history.History) bool {
	const searchTimeout = time.Minute
	result, ok := check.Linearizable(recorded, groupName(0), groupName(0)+"-departures", searchTimeout)
	must.True(t, ok, must.Sprint("the linearizability check timed out"))
	return result
}

// Runs of one seed must give the same history byte for byte, or failures could not be
// reproduced.
func TestSameSeedSameHistory(t *testing.T) {
	for seed := range uint64(12) {
		var first, second bytes.Buffer
		one, _ := Run(RandomSettings(seed))
		two, _ := Run(RandomSettings(seed))
		must.NoError(t, one.Save(&first))
		must.NoError(t, two.Save(&second))
		must.True(t, bytes.Equal(first.Bytes(), second.Bytes()), must.Sprint("seed", seed))
	}
}

// Breaks the mechanism behind each promise in turn. The checker must detect each, since a
// checker that never fails proves nothing.
func TestCheckerDetectsBrokenMechanisms(t *testing.T) {
	cases := []struct {
		name    string
		breaks  func(*Settings)
		promise check.Promise
		faults  []FaultKind
	}{
		{
			"reads ignore minimum positions", func(s *Settings) { s.Group.Mutations.SkipFloor = true },
			check.ReadYourWrites,
			[]FaultKind{LagReplicas},
		},
		{
			"reads ignore freshness", func(s *Settings) { s.Group.Mutations.SkipFloor = true },
			check.Freshness,
			[]FaultKind{LagReplicas},
		},
		{
			"commits are not confirmed", func(s *Settings) { s.Group.Mutations.SkipConfirm = true },
			check.NoReplacedPrimary,
			[]FaultKind{CutPrimary, PausePrimary},
		},
		{
			"divergent servers are read", func(s *Settings) { s.Group.Mutations.SkipClean = true },
			check.NoReplacedPrimary, nil,
		},
		{
			"a transaction's connection is shared", func(s *Settings) { s.Mutations.SharePinned = true },
			check.TransactionsApart, nil,
		},
		{
			"answers are mixed up", func(s *Settings) { s.Mutations.MixAnswers = true },
			check.OwnCompleteAnswer, nil,
		},
		{
			"lost writes count as not run", func(s *Settings) { s.Group.Mutations.LostIsNotRun = true },
			check.NotRunIsTrue,
			[]FaultKind{KillPrimary, PausePrimary, CutPrimary},
		},
		{
			"lost writes are retried", func(s *Settings) { s.Group.Mutations.RetryLostWrites = true },
			check.AtMostOnce,
			[]FaultKind{KillPrimary, PausePrimary, CutPrimary},
		},
		{
			"marks are ignored", func(s *Settings) { s.Group.Mutations.IgnoreLeaving = true },
			check.LeavingGetsNoWork,
			[]FaultKind{MarkServer},
		},
		{
			"nodes act on stale configuration", func(s *Settings) { s.Mutations.IgnoreStaleness = true },
			check.LeavingGetsNoWork, nil,
		},
		{
			"stops do not drain", func(s *Settings) { s.Mutations.DropOnStop = true },
			check.StopCutsNothing,
			[]FaultKind{StopNode},
		},
		{
			"older versions are merged", func(s *Settings) { s.Mutations.AcceptOlder = true },
			check.PolicyInForceForward, nil,
		},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			must.True(t, detected(testCase.breaks, testCase.promise, testCase.faults))
		})
	}
}

// requireNoViolation requires that a scenario breaks no promise with any of several seeds.
func requireNoViolation(t *testing.T, scenario func(*Settings)) {
	t.Helper()
	const seeds = 12
	for seed := range uint64(seeds) {
		settings := RandomSettings(seed)
		scenario(&settings)
		recorded, _ := Run(settings)
		must.SliceEmpty(t, check.History(recorded).Violations)
	}
}

// pausedWhileMarked pauses three of four nodes for longer than check.LeavingLimit while a
// server is marked as leaving through the fourth.
func pausedWhileMarked(settings *Settings) {
	const nodes = 4
	settings.Nodes, settings.Groups = nodes, 1
	running := int(settings.Seed % nodes)
	settings.Faults = []Fault{{At: 6100 * time.Millisecond, For: 5 * time.Second, Kind: MarkServer, Target: running}}
	for index := range nodes {
		if index != running {
			settings.Faults = append(settings.Faults,
				Fault{At: 6 * time.Second, For: 6500 * time.Millisecond, Kind: PauseNode, Target: index})
		}
	}
}

// rejoinWithoutLeader isolates the primary, and its successor just before the old primary
// returns. For a while the old primary is then a replica with a divergent log tail.
func rejoinWithoutLeader(settings *Settings) {
	settings.Groups = 1
	settings.ElectionDelay = 1500 * time.Millisecond
	settings.Faults = []Fault{
		{At: 6 * time.Second, For: 4500 * time.Millisecond, Kind: CutZone, Target: 0},
		{At: 10 * time.Second, For: 3 * time.Second, Kind: CutZone, Target: 1},
	}
}

// Reads must not be served by a server whose log has diverged from the group's.
func TestDivergentServersAreNotRead(t *testing.T) { requireNoViolation(t, rejoinWithoutLeader) }

// changesInQuickSuccession replaces a policy every few milliseconds, so that older versions
// arrive at some nodes after newer ones.
func changesInQuickSuccession(settings *Settings) {
	settings.Groups = 1
	settings.Faults = nil
	for index := range 40 {
		settings.Faults = append(settings.Faults,
			Fault{At: 6*time.Second + time.Duration(index)*7*time.Millisecond, Kind: RacePolicies, Target: index})
	}
}

// A node must not return to an older version of a policy.
func TestRapidPolicyChangesNeverRevert(t *testing.T) { requireNoViolation(t, changesInQuickSuccession) }

// detected reports whether the checker finds the promise violated with any of several seeds.
func detected(breaks func(*Settings), promise check.Promise, faults []FaultKind) bool {
	const seeds = 40
	for seed := range uint64(seeds) {
		settings := RandomSettings(seed)
		settings.Workload.Think /= 4
		for index := range settings.Faults {
			if len(faults) > 0 {
				settings.Faults[index].Kind = faults[index%len(faults)]
				settings.Faults[index].Lag = time.Second
			}
		}
		breaks(&settings)
		if settings.Mutations.IgnoreStaleness {
			pausedWhileMarked(&settings)
		}
		if settings.Group.Mutations.SkipClean {
			rejoinWithoutLeader(&settings)
		}
		if settings.Mutations.AcceptOlder {
			changesInQuickSuccession(&settings)
		}
		recorded, _ := Run(settings)
		if check.History(recorded).Count(promise) > 0 {
			return true
		}
	}
	return false
}
