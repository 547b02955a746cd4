// Package policy compiles operators' policy programs to tables of rules.
//
// A policy is a short Starlark program (docs/POLICIES.md). It runs once, when it is
// submitted, with limits on its steps and size, and defines a table of rules. No operator
// code runs while requests are served.
package policy

import (
	"fmt"
	"sort"
	"time"
)

// Freshness is a level of how recent the data of a read must be.
type Freshness uint8

// The levels of freshness, from the strictest.
const (
	// Current: every write acknowledged before the read arrived.
	Current Freshness = iota
	// Session: every write acknowledged in the same session before the read.
	Session
	// Bounded: every write acknowledged longer ago than the rule's MaxLag.
	Bounded
	// Any: the data of any fit server.
	Any
)

// String returns the level's name in policies.
func (f Freshness) String() string {
	return [...]string{"current", "session", "lag", "any"}[f]
}

// Rule defines how one kind of request is served.
type Rule struct {
	Freshness Freshness     `msgpack:"f"`
	MaxLag    time.Duration `msgpack:"l"`
	// Wait is the maximum time that a request waits before it is rejected.
	Wait time.Duration `msgpack:"w"`
	// ReplicaWait is how long a read waits for a replica before the primary may serve it.
	ReplicaWait time.Duration `msgpack:"rw"`
	// Refuse rejects every request of the kind.
	Refuse bool `msgpack:"x"`
	// RetryAfter is the retry delay for callers whose requests are rejected by Refuse.
	RetryAfter time.Duration `msgpack:"ra"`
	// Repeatable allows a write to be sent again if it certainly wasn't run. Retries ignore
	// it, because they send every such write again; it is kept for checkers.
	Repeatable bool `msgpack:"rp"`
	// Write sends the kind to the primary even if its statements look like reads.
	Write bool `msgpack:"wr"`
}

// String describes the rule in diffs and reviews.
func (r Rule) String() string {
	if r.Refuse {
		return fmt.Sprintf("refuse, retry after %s", r.RetryAfter)
	}
	text := r.Freshness.String()
	if r.Freshness == Bounded {
		text += fmt.Sprintf("(%s)", r.MaxLag)
	}
	text += fmt.Sprintf(", wait %s, replica wait %s", r.Wait, r.ReplicaWait)
	if r.Write {
		text += ", write"
	}
	if !r.Repeatable {
		text += ", not repeatable"
	}
	return text
}

// Table is a compiled policy for one service.
type Table struct {
	Service string          `msgpack:"s"`
	Default Rule            `msgpack:"d"`
	Kinds   map[string]Rule `msgpack:"k"`
	// Shares maps a caller (user name) to its weight. Other callers have weight 1.
	Shares map[string]int `msgpack:"h"`
}

// Defaults for policies that don't set a wait or replica wait.
const (
	defaultWait        = 2 * time.Second
	defaultReplicaWait = 100 * time.Millisecond
)

// DefaultRule returns the rule of services without a policy.
func DefaultRule() Rule {
	return Rule{Freshness: Current, Wait: defaultWait, ReplicaWait: defaultReplicaWait}
}

// DefaultTable returns the table of a service without a policy.
func DefaultTable(service string) *Table {
	return &Table{Service: service, Default: DefaultRule()}
}

// Rule returns the rule for a kind, or the default rule.
func (t *Table) Rule(kind string) Rule {
	if rule, ok := t.Kinds[kind]; ok {
		return rule
	}
	return t.Default
}

// Weight returns a caller's weight.
func (t *Table) Weight(caller string) int {
	if weight, ok := t.Shares[caller]; ok {
		return weight
	}
	return 1
}

// Diff describes the changes from one table to another, one line for each.
func Diff(before, after *Table) []string {
	var lines []string
	if before.Default != after.Default {
		lines = append(lines, fmt.Sprintf("default: %s -> %s", before.Default, after.Default))
	}
	for _, kind := range union(before.Kinds, after.Kinds) {
		oldRule, newRule := before.Rule(kind), after.Rule(kind)
		if oldRule != newRule {
			lines = append(lines, fmt.Sprintf("kind %s: %s -> %s", kind, oldRule, newRule))
		}
	}
	for _, caller := range union(before.Shares, after.Shares) {
		if before.Weight(caller) != after.Weight(caller) {
			lines = append(lines, fmt.Sprintf("share %s: %d -> %d", caller, before.Weight(caller), after.Weight(caller)))
		}
	}
	return lines
}

func union[V any](first, second map[string]V) []string {
	var names []string
	for name := range first {
		names = append(names, name)
	}
	for name := range second {
		if _, duplicate := first[name]; !duplicate {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
