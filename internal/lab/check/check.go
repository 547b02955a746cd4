// Package check decides from a recorded history of a run whether dewknot kept its promises.
// docs/PROMISES.md lists, for each promise, the mechanism that keeps it and the tests which
// show that this checker fails when the mechanism is broken.
package check

import (
	"fmt"
	"sort"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/lab/history"
)

// Promise is the name of a promise.
type Promise string

// The promises.
const (
	// ReadYourWrites: a session's reads see its own acknowledged writes.
	ReadYourWrites Promise = "read_your_writes"
	// NoReplacedPrimary: reads see, and acknowledged writes are in, the group's final log
	// and not only the log of a replaced primary.
	NoReplacedPrimary Promise = "no_replaced_primary"
	// TransactionsApart: a transaction commits completely and without statements of others.
	TransactionsApart Promise = "transactions_apart"
	// OwnCompleteAnswer: an answer belongs to its request and is complete.
	OwnCompleteAnswer Promise = "own_complete_answer"
	// NotRunIsTrue: a write that is reported as not run was not committed.
	NotRunIsTrue Promise = "not_run_is_true"
	// AtMostOnce: a write is committed at most once.
	AtMostOnce Promise = "at_most_once"
	// LeavingGetsNoWork: a server marked as leaving gets no new work.
	LeavingGetsNoWork Promise = "leaving_gets_no_work"
	// StopCutsNothing: a planned stop of a node cuts off no request.
	StopCutsNothing Promise = "stop_cuts_nothing"
	// PolicyInForceForward: policy versions take effect on every node in time and never
	// revert.
	PolicyInForceForward Promise = "policy_in_force_forward"
	// Freshness: reads are as fresh as their policy requires, also as to writes of other
	// sessions.
	Freshness Promise = "freshness"
)

// All lists every promise.
var All = []Promise{
	ReadYourWrites, NoReplacedPrimary, TransactionsApart, OwnCompleteAnswer, NotRunIsTrue,
	AtMostOnce, LeavingGetsNoWork, StopCutsNothing, PolicyInForceForward, Freshness,
}

// Times within which changes must take effect.
const (
	// LeavingLimit applies to marks of leaving servers.
	LeavingLimit = 5 * time.Second
	// PolicyLimit applies to policy versions.
	PolicyLimit = 8 * time.Second
)

// Violation is one breach of a promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// Report is the result of checking a history.
type Report struct {
	Violations []Violation
	// Judged counts, by promise, the records that were checked. If there are none, the
	// history shows nothing about the promise.
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

// checker checks a history. It holds indexes of its records.
type checker struct {
	history *history.History
	report  *Report
	// commits holds the log entries that contain an operation, by operation.
	commits map[string][]history.Commit
	// final holds the positions of each group's final log.
	final map[string]map[position.Position]bool
	// writePosition is the position of a write, by operation. If it was committed more than
	// once, an entry in the final log is preferred.
	writePosition map[string]position.Position
	// acknowledged holds acknowledged writes by group and key, ordered by their end.
	acknowledged map[recordKey][]history.Operation
}

type recordKey struct{ group, key string }

// History checks a history.
func History(recorded *history.History) *Report {
	check := &checker{
		history: recorded, report: &Report{Judged: map[Promise]int{}},
		commits: map[string][]history.Commit{}, final: map[string]map[position.Position]bool{},
		writePosition: map[string]position.Position{}, acknowledged: map[recordKey][]history.Operation{},
	}
	check.buildIndexes()
	check.checkReads()
	check.checkWrites()
	check.checkEntries()
	check.checkAnswers()
	check.checkLeaving()
	check.checkPolicies()
	return check.report
}

func (c *checker) violate(promise Promise, format string, values ...any) {
	c.report.Violations = append(c.report.Violations, Violation{promise, fmt.Sprintf(format, values...)})
}

func (c *checker) judged(promise Promise) { c.report.Judged[promise]++ }

func (c *checker) buildIndexes() {
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
			if _, exists := c.writePosition[operation]; !exists || c.final[commit.Group][commit.Position] {
				c.writePosition[operation] = commit.Position
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

// checkReads checks that each read saw the acknowledged writes that it must see: those of its
// own session and, depending on the policy, those of other sessions.
func (c *checker) checkReads() {
	for _, read := range c.history.Operations {
		if read.Type != history.Read || read.Outcome != history.OK {
			continue
		}
		value := c.writePosition[read.Value]
		c.requireValueInFinalLog(read)
		if read.Freshness != "any" && read.Freshness != "lag" {
			c.judged(ReadYourWrites)
			c.requireNotOlder(ReadYourWrites, read, value, read.Start, read.Session)
		}
		switch read.Freshness {
		case "current":
			c.judged(Freshness)
			c.requireNotOlder(Freshness, read, value, read.Start, "")
		case "lag":
			c.judged(Freshness)
			c.requireNotOlder(Freshness, read, value, read.Start-read.MaxLag, "")
		}
	}
}

// requireValueInFinalLog requires that the value of a read is in the group's final log. A
// value that only a replaced primary had must not be returned.
func (c *checker) requireValueInFinalLog(read history.Operation) {
	if read.Value == "" {
		return
	}
	c.judged(NoReplacedPrimary)
	for _, commit := range c.commits[read.Value] {
		if c.final[commit.Group][commit.Position] {
			return
		}
	}
	c.violate(NoReplacedPrimary, "read %s by %s at %s through %s saw %s, which is not in the group's final log",
		read.ID, read.Session, read.Start, read.Node, read.Value)
}

// requireNotOlder requires that the value of a read is not older than any write of the record
// that was acknowledged before a time, to one session or, if session is empty, to any.
func (c *checker) requireNotOlder(
	promise Promise, read history.Operation, value position.Position, before time.Duration, session string,
) {
	for _, write := range c.acknowledged[recordKey{read.Group, read.Keys[0]}] {
		if write.End > before {
			return
		}
		if session != "" && write.Session != session {
			continue
		}
		if entry := c.writePosition[write.ID]; value.Less(entry) {
			c.violate(promise, "read %s of %s by %s at %s through %s saw %s (%s) instead of %s (%s), acknowledged at %s",
				read.ID, read.Keys[0], read.Session, read.Start, read.Node, read.Value, value, write.ID, entry, write.End)
			return
		}
	}
}

// checkWrites checks that acknowledged writes are in the final log, that those reported as not
// run were not committed, and that none was committed twice.
func (c *checker) checkWrites() {
	for _, operation := range c.history.Operations {
		if operation.Type == history.Read {
			continue
		}
		commits := c.commits[operation.ID]
		switch operation.Outcome {
		case history.OK:
			c.judged(NoReplacedPrimary)
			c.requireWriteInFinalLog(operation, commits)
		case history.NotRun:
			c.judged(NotRunIsTrue)
			if len(commits) > 0 {
				c.violate(NotRunIsTrue, "%s by %s was reported as not run (%s), but was committed at %s",
					operation.ID, operation.Session, operation.Failure, commits[0].Position)
			}
		}
		c.judged(AtMostOnce)
		if len(commits) > 1 {
			c.violate(AtMostOnce, "%s was committed %d times: at %s, %s",
				operation.ID, len(commits), commits[0].Position, commits[1].Position)
		}
	}
}

// requireWriteInFinalLog requires an acknowledged write to be in the group's final log with
// all its records.
func (c *checker) requireWriteInFinalLog(operation history.Operation, commits []history.Commit) {
	for _, commit := range commits {
		if c.final[commit.Group][commit.Position] {
			if len(commit.Keys) != len(operation.Keys) {
				c.violate(TransactionsApart, "transaction %s wrote %d records in one entry, want %d",
					operation.ID, len(commit.Keys), len(operation.Keys))
			}
			return
		}
	}
	c.violate(NoReplacedPrimary, "%s by %s was acknowledged at %s through %s, but is not in the group's final log",
		operation.ID, operation.Session, operation.End, operation.Node)
}

// checkEntries checks that each log entry contains statements of one operation only.
func (c *checker) checkEntries() {
	for _, commit := range c.history.Commits {
		c.judged(TransactionsApart)
		for _, operation := range commit.Operations[1:] {
			if operation != commit.Operations[0] {
				c.violate(TransactionsApart, "entry %s of %s contains statements of %s and %s",
					commit.Position, commit.Group, commit.Operations[0], operation)
				break
			}
		}
	}
}

// checkAnswers checks that answers are complete and belong to their requests, and that no
// planned stop cut off a request.
func (c *checker) checkAnswers() {
	for _, operation := range c.history.Operations {
		c.judged(StopCutsNothing)
		if operation.CutByStop {
			c.violate(StopCutsNothing, "%s was cut off by the planned stop of %s at %s",
				operation.ID, operation.Node, operation.End)
		}
		if operation.Outcome != history.OK {
			continue
		}
		c.judged(OwnCompleteAnswer)
		if operation.Answered != operation.ID || operation.Truncated {
			c.violate(OwnCompleteAnswer, "%s got the answer of %q, truncated: %t",
				operation.ID, operation.Answered, operation.Truncated)
		}
	}
}

type serverKey struct {
	group  string
	server int
}

// checkLeaving checks that no new work starts on a server from LeavingLimit after it was marked
// as leaving until the mark is removed.
func (c *checker) checkLeaving() {
	marks := map[serverKey][]history.Mark{}
	for _, mark := range c.history.Marks {
		at := serverKey{mark.Group, mark.Server}
		marks[at] = append(marks[at], mark)
	}
	for _, work := range c.history.Works {
		serverMarks := marks[serverKey{work.Group, work.Server}]
		for index, mark := range serverMarks {
			inEffect := index+1 >= len(serverMarks) || work.At < serverMarks[index+1].At
			if !mark.Leaving || work.At < mark.At || !inEffect {
				continue
			}
			c.judged(LeavingGetsNoWork)
			if work.At > c.reachableFrom(mark.At)+LeavingLimit {
				c.violate(LeavingGetsNoWork, "server %d of %s began new work at %s, but was marked as leaving at %s",
					work.Server, work.Group, work.At, mark.At)
			}
		}
	}
}

// reachableFrom returns the time from which a change accepted at a time could reach the whole
// fleet. Isolated parts receive it when their partition ends.
func (c *checker) reachableFrom(at time.Duration) time.Duration {
	from := at
	for _, cut := range c.history.Cuts {
		if cut.From <= from+LeavingLimit && cut.To > from {
			from = cut.To
		}
	}
	return from
}

type runKey struct {
	node    string
	run     int
	service string
}

// checkPolicies checks that policy versions never decrease on a node, even across restarts,
// that no version was replaced twice, and that an accepted version was in force within
// PolicyLimit on every node that was present for that long.
func (c *checker) checkPolicies() {
	last := map[runKey]uint64{}
	steps := map[runKey][]history.InForce{}
	for _, step := range c.history.InForce {
		at := runKey{step.Node, 0, step.Service}
		c.judged(PolicyInForceForward)
		if step.Version < last[at] {
			c.violate(PolicyInForceForward, "%s reverted from version %d of %s to %d at %s",
				step.Node, last[at], step.Service, step.Version, step.At)
		}
		last[at] = max(last[at], step.Version)
		run := runKey{step.Node, step.Run, step.Service}
		steps[run] = append(steps[run], step)
	}
	winners := map[runKey]uint64{}
	for _, accepted := range c.history.Accepted {
		replaced := runKey{service: accepted.Service, run: int(accepted.Replaces)}
		if other, exists := winners[replaced]; exists && other != accepted.Version {
			c.violate(PolicyInForceForward, "versions %d and %d of %s both replaced version %d",
				other, accepted.Version, accepted.Service, accepted.Replaces)
		}
		winners[replaced] = accepted.Version
		for _, presence := range c.history.Presences {
			c.requireInForce(accepted, presence, steps)
		}
	}
}

// requireInForce requires that an accepted version was in force in time on a node that was
// present for long enough.
func (c *checker) requireInForce(
	accepted history.Accepted, presence history.Presence, steps map[runKey][]history.InForce,
) {
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
	c.violate(PolicyInForceForward, "version %d of %s, accepted at %s, was not in force on %s by %s",
		accepted.Version, accepted.Service, accepted.At, presence.Node, due)
}
