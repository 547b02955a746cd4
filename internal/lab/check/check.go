// Package check decides from a recorded history whether the nine promises of the
// brief ("What must always hold") were kept. docs/PROMISES.md lists, for each,
// the mechanism that keeps it and the tests that prove that this checker fails
// when the mechanism is broken.
package check

import (
	"fmt"
	"sort"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/lab/history"
)

// Promise names one of the brief's promises.
type Promise string

// The promises, in the brief's order.
const (
	ReadYourWrites       Promise = "read_your_writes"
	NoReplacedPrimary    Promise = "no_replaced_primary"
	TransactionsApart    Promise = "transactions_apart"
	OwnCompleteAnswer    Promise = "own_complete_answer"
	NotRunIsTrue         Promise = "not_run_is_true"
	AtMostOnce           Promise = "at_most_once"
	LeavingGetsNoWork    Promise = "leaving_gets_no_work"
	StopCutsNothing      Promise = "stop_cuts_nothing"
	PolicyInForceForward Promise = "policy_in_force_forward"
	// Freshness is what policies promise for reads beyond a caller's own session.
	Freshness Promise = "freshness"
)

// All lists every promise.
var All = []Promise{
	ReadYourWrites, NoReplacedPrimary, TransactionsApart, OwnCompleteAnswer, NotRunIsTrue,
	AtMostOnce, LeavingGetsNoWork, StopCutsNothing, PolicyInForceForward, Freshness,
}

// Limits by which the checker reads "a few seconds" and "within seconds".
const (
	LeavingLimit = 5 * time.Second
	PolicyLimit  = 8 * time.Second
)

// Violation is one breach of a promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// Report is the verdict on a history.
type Report struct {
	Violations []Violation
	// Judged counts, by promise, how many records were judged: a promise with
	// none is not proved by the history.
	Judged map[Promise]int
}

// Count returns the number of violations of a promise.
func (r *Report) Count(promise Promise) int {
	count := 0
	for _, violation := range r.Violations {
		if violation.Promise == promise {
			count++
		}
	}
	return count
}

// checker holds indexes over a history.
type checker struct {
	history *history.History
	report  *Report
	// commits holds the entries in which an operation appears, by operation.
	commits map[string][]history.Commit
	final   map[string]map[position.Position]bool
	// entryOf is the position of a write, by operation; the winning log's entry is preferred.
	entryOf map[string]position.Position
	// acknowledged holds successful writes by group and key, ordered by their end.
	acknowledged map[recordKey][]history.Operation
}

type recordKey struct{ group, key string }

// History judges a history.
func History(recorded *history.History) *Report {
	check := &checker{
		history: recorded, report: &Report{Judged: map[Promise]int{}}, commits: map[string][]history.Commit{},
		final: map[string]map[position.Position]bool{}, entryOf: map[string]position.Position{},
		acknowledged: map[recordKey][]history.Operation{},
	}
	check.index()
	check.reads()
	check.writes()
	check.entries()
	check.answers()
	check.leaving()
	check.policies()
	return check.report
}

func (c *checker) violate(promise Promise, format string, values ...any) {
	c.report.Violations = append(c.report.Violations, Violation{promise, fmt.Sprintf(format, values...)})
}

func (c *checker) judged(promise Promise) { c.report.Judged[promise]++ }

func (c *checker) index() {
	for group, positions := range c.history.Final {
		c.final[group] = map[position.Position]bool{}
		for _, at := range positions {
			c.final[group][at] = true
		}
	}
	for _, commit := range c.history.Commits {
		seen := map[string]bool{}
		for _, operation := range commit.Operations {
			if seen[operation] {
				continue
			}
			seen[operation] = true
			c.commits[operation] = append(c.commits[operation], commit)
			if _, known := c.entryOf[operation]; !known || c.final[commit.Group][commit.Position] {
				c.entryOf[operation] = commit.Position
			}
		}
	}
	for _, operation := range c.history.Operations {
		if operation.Type != history.Read && operation.Outcome == history.OK {
			for _, key := range operation.Keys {
				at := recordKey{operation.Group, key}
				c.acknowledged[at] = append(c.acknowledged[at], operation)
			}
		}
	}
	for _, writes := range c.acknowledged {
		sort.SliceStable(writes, func(i, j int) bool { return writes[i].End < writes[j].End })
	}
}

// reads checks that each read saw at least what it had to: the session's own
// acknowledged writes always, and by the policy those of others as well.
func (c *checker) reads() {
	for _, read := range c.history.Operations {
		if read.Type != history.Read || read.Outcome != history.OK {
			continue
		}
		value := c.entryOf[read.Value]
		c.requireLasting(read)
		if read.Freshness != "any" && read.Freshness != "lag" {
			c.judged(ReadYourWrites)
			c.requireSeen(ReadYourWrites, read, value, read.Start, read.Session)
		}
		switch read.Freshness {
		case "current":
			c.judged(Freshness)
			c.requireSeen(Freshness, read, value, read.Start, "")
		case "lag":
			c.judged(Freshness)
			c.requireSeen(Freshness, read, value, read.Start-read.MaxLag, "")
		}
	}
}

// requireLasting requires that a read's value is in the log that won: what a
// replaced primary alone held must not be shown.
func (c *checker) requireLasting(read history.Operation) {
	if read.Value == "" {
		return
	}
	c.judged(NoReplacedPrimary)
	for _, commit := range c.commits[read.Value] {
		if c.final[commit.Group][commit.Position] {
			return
		}
	}
	c.violate(NoReplacedPrimary, "read %s by %s at %s through %s saw %s, which is not in the log of the group", read.ID, read.Session, read.Start, read.Node, read.Value)
}

// requireSeen requires that a read's value is not older than any write of the
// record acknowledged before a time, by one session or, if empty, by any.
func (c *checker) requireSeen(promise Promise, read history.Operation, value position.Position, before time.Duration, session string) {
	for _, write := range c.acknowledged[recordKey{read.Group, read.Keys[0]}] {
		if write.End > before {
			return
		}
		if session != "" && write.Session != session {
			continue
		}
		if entry := c.entryOf[write.ID]; value.Less(entry) {
			c.violate(promise, "read %s of %s by %s at %s through %s saw %s (%s) and not %s (%s), acknowledged at %s",
				read.ID, read.Keys[0], read.Session, read.Start, read.Node, read.Value, value, write.ID, entry, write.End)
			return
		}
	}
}

// writes checks acknowledgements, refusals and repetition.
func (c *checker) writes() {
	for _, operation := range c.history.Operations {
		if operation.Type == history.Read {
			continue
		}
		commits := c.commits[operation.ID]
		switch operation.Outcome {
		case history.OK:
			c.judged(NoReplacedPrimary)
			c.requireKept(operation, commits)
		case history.NotRun:
			c.judged(NotRunIsTrue)
			if len(commits) > 0 {
				c.violate(NotRunIsTrue, "%s by %s was reported as not run (%s) and stands at %s", operation.ID, operation.Session, operation.Failure, commits[0].Position)
			}
		}
		c.judged(AtMostOnce)
		if len(commits) > 1 {
			c.violate(AtMostOnce, "%s ran %d times: %s, %s", operation.ID, len(commits), commits[0].Position, commits[1].Position)
		}
	}
}

// requireKept requires an acknowledged write to be in the log that won, whole.
func (c *checker) requireKept(operation history.Operation, commits []history.Commit) {
	for _, commit := range commits {
		if c.final[commit.Group][commit.Position] {
			if len(commit.Keys) != len(operation.Keys) {
				c.violate(TransactionsApart, "transaction %s wrote %d records in one entry, want %d", operation.ID, len(commit.Keys), len(operation.Keys))
			}
			return
		}
	}
	c.violate(NoReplacedPrimary, "%s by %s was acknowledged at %s through %s and is not in the log of the group", operation.ID, operation.Session, operation.End, operation.Node)
}

// entries checks that each log entry holds the statements of one operation.
func (c *checker) entries() {
	for _, commit := range c.history.Commits {
		c.judged(TransactionsApart)
		for _, operation := range commit.Operations[1:] {
			if operation != commit.Operations[0] {
				c.violate(TransactionsApart, "entry %s of %s holds statements of %s and %s", commit.Position, commit.Group, commit.Operations[0], operation)
				break
			}
		}
	}
}

func (c *checker) answers() {
	for _, operation := range c.history.Operations {
		c.judged(StopCutsNothing)
		if operation.CutByStop {
			c.violate(StopCutsNothing, "%s was cut by the planned stop of %s at %s", operation.ID, operation.Node, operation.End)
		}
		if operation.Outcome != history.OK {
			continue
		}
		c.judged(OwnCompleteAnswer)
		if operation.Answered != operation.ID || operation.Truncated {
			c.violate(OwnCompleteAnswer, "%s got the answer of %q, truncated %t", operation.ID, operation.Answered, operation.Truncated)
		}
	}
}

type serverKey struct {
	group  string
	server int
}

// leaving checks that no new work starts on a server a few seconds after it was
// marked, for as long as the mark stands.
func (c *checker) leaving() {
	marks := map[serverKey][]history.Mark{}
	for _, mark := range c.history.Marks {
		at := serverKey{mark.Group, mark.Server}
		marks[at] = append(marks[at], mark)
	}
	for _, work := range c.history.Works {
		history := marks[serverKey{work.Group, work.Server}]
		for index, mark := range history {
			stands := index+1 >= len(history) || work.At < history[index+1].At
			if !mark.Leaving || work.At < mark.At || !stands {
				continue
			}
			c.judged(LeavingGetsNoWork)
			if work.At > c.heardBy(mark.At)+LeavingLimit {
				c.violate(LeavingGetsNoWork, "server %d of %s began new work at %s; it was leaving since %s", work.Server, work.Group, work.At, mark.At)
			}
		}
	}
}

// heardBy returns from when a change accepted at a time could reach the whole
// fleet: parts of it that are cut off hear of it when the cut has healed.
func (c *checker) heardBy(at time.Duration) time.Duration {
	heard := at
	for _, cut := range c.history.Cuts {
		if cut.From <= heard+LeavingLimit && cut.To > heard {
			heard = cut.To
		}
	}
	return heard
}

type runKey struct {
	node    string
	run     int
	service string
}

// policies checks that versions only grow on every node, across restarts too,
// and that an accepted version is in force within the limit wherever a node was
// present for that long.
func (c *checker) policies() {
	last := map[runKey]uint64{}
	steps := map[runKey][]history.InForce{}
	for _, step := range c.history.InForce {
		at := runKey{step.Node, 0, step.Service}
		c.judged(PolicyInForceForward)
		if step.Version < last[at] {
			c.violate(PolicyInForceForward, "%s went from version %d of %s back to %d at %s", step.Node, last[at], step.Service, step.Version, step.At)
		}
		last[at] = max(last[at], step.Version)
		run := runKey{step.Node, step.Run, step.Service}
		steps[run] = append(steps[run], step)
	}
	winners := map[runKey]uint64{}
	for _, accepted := range c.history.Accepted {
		replaced := runKey{service: accepted.Service, run: int(accepted.Replaces)}
		if other, twice := winners[replaced]; twice && other != accepted.Version {
			c.violate(PolicyInForceForward, "versions %d and %d of %s both replaced version %d", other, accepted.Version, accepted.Service, accepted.Replaces)
		}
		winners[replaced] = accepted.Version
		for _, presence := range c.history.Presences {
			c.requireInForce(accepted, presence, steps)
		}
	}
}

func (c *checker) requireInForce(accepted history.Accepted, presence history.Presence, steps map[runKey][]history.InForce) {
	due := max(accepted.At, presence.From) + PolicyLimit
	if presence.To < due {
		return
	}
	c.judged(PolicyInForceForward)
	for _, step := range steps[runKey{presence.Node, presence.Run, accepted.Service}] {
		if step.Version >= accepted.Version && step.At <= due {
			return
		}
	}
	c.violate(PolicyInForceForward, "version %d of %s, accepted at %s, was not in force on %s by %s", accepted.Version, accepted.Service, accepted.At, presence.Node, due)
}
