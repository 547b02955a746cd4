package upstream

import (
	"slices"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
)

// maxPadding is the largest number of operations that are added to others.
const maxPadding = 4

// padding is an operation without an effect on callers. Its name differs from those that ServerName
// returns.
var padding = Operation{Kind: PrepareStatement, Name: "p", Definition: command.PreparedStatement{Shape: "p"}}

// pad returns operations with others that tell their answers from earlier ones: behind a BEGIN at the
// end, one that shows whether the server accepted the transaction.
func (l *Lease) pad(operations []Operation) []Operation {
	switch {
	case l.Remote():
		return operations
	case isProbe(operations):
		return l.padProbe(operations)
	case operations[0].Kind.controls():
		return l.padControl(operations[0])
	case operations[len(operations)-1].Kind.begins():
		return append(slices.Clone(operations), padding)
	default:
		return operations
	}
}

// unpad returns the results of operations without those of their padding.
func unpad(results []Result, operations []Operation) []Result {
	switch {
	case len(results) == len(operations):
		return results
	case isProbe(operations):
		return probeResults(results, len(operations))
	default:
		return results[:len(operations)]
	}
}

// accepted reports whether a server accepts the operation unless a transaction has failed.
func (o *Operation) accepted() bool {
	return o.Kind == PrepareStatement && o.Name == padding.Name || o.Kind == BeginReadOnly && o.MinimumPosition.IsZero()
}

// begins reports whether the operation begins a transaction.
func (k OperationKind) begins() bool { return k == Begin || k == BeginReadOnly }

// isProbe reports whether operations end with a transaction that is begun only to learn whether the
// server is the primary.
func isProbe(operations []Operation) bool {
	last := len(operations) - 1
	return last > 0 && operations[last-1].Kind == Begin && operations[last].Kind == Rollback
}

// padProbe returns the operations of a probe with a varying number of operations between them.
// Without signed answers, only its length distinguishes a probe's answers from those of an earlier
// one.
func (l *Lease) padProbe(operations []Operation) []Operation {
	count := 1 + l.probes%maxPadding
	l.probes++
	last := len(operations) - 1
	padded := make([]Operation, 0, len(operations)+count)
	padded = append(padded, operations[:last]...)
	for range count {
		padded = append(padded, padding)
	}
	return append(padded, operations[last])
}

// padControl returns an operation that controls the server, which is alone in its batch, with a
// varying number of operations and an empty transaction behind it, which ends the answers of every
// such batch.
func (l *Lease) padControl(operation Operation) []Operation {
	// A rolled back server's positions go down.
	l.newest = position.Position{}
	count := l.probes % maxPadding
	l.probes++
	padded := []Operation{operation}
	for range count {
		padded = append(padded, padding)
	}
	return append(padded, Operation{Kind: BeginReadOnly}, Operation{Kind: Rollback})
}

// probeResults returns the results of the operations of a probe without those of its padding. At least
// one answer is no copy, so the newest position is not older than the probe.
func probeResults(results []Result, operations int) []Result {
	begin := &results[operations-2]
	for i := range results {
		begin.Position = position.Max(begin.Position, results[i].Position)
	}
	return append(results[:operations-1:operations-1], results[len(results)-1])
}

// confirm checks that an error after another one was the answer to the last statement, not a copy
// of the first: otherwise, the statement's own answer comes before those to further operations.
func (l *Lease) confirm(deadline time.Time) error {
	l.unconfirmed = false
	markers := slices.Repeat([]Operation{padding}, maxPadding)
	if err := l.Send(markers, deadline); err != nil {
		return err
	}
	for i := range markers {
		if _, err := l.receive(&markers[i], deadline); err != nil {
			return err
		}
	}
	return nil
}
