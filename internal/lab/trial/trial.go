// Package trial works out what a policy would change for requests that were
// recorded under another.
package trial

import (
	"sort"

	"dewknot/internal/lab/history"
	"dewknot/internal/postgres/policy"
)

// Row sums up one kind of request.
type Row struct {
	Kind     string
	Requests int
	// Rerouted counts requests that would need other freshness or another role of
	// server.
	Rerouted int
	// Refused counts requests that would be refused and were not; Admitted the reverse.
	Refused, Admitted int
	// TooLate counts requests that were answered after more than the new rule's
	// wait: in the same load they might be refused.
	TooLate int
}

// Compare sums up, by kind, what would change from one table to another.
func Compare(before, after *policy.Table, operations []history.Operation) []Row {
	rows := map[string]*Row{}
	for _, operation := range operations {
		if operation.Group != after.Service {
			continue
		}
		row := rows[operation.Kind]
		if row == nil {
			row = &Row{Kind: operation.Kind}
			rows[operation.Kind] = row
		}
		row.add(before.Rule(operation.Kind), after.Rule(operation.Kind), operation)
	}
	sorted := make([]Row, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Kind < sorted[j].Kind })
	return sorted
}

func (r *Row) add(before, after policy.Rule, operation history.Operation) {
	r.Requests++
	reads := operation.Type == history.Read
	otherFreshness := before.Freshness != after.Freshness || before.MaxLag != after.MaxLag
	switch {
	case after.Refuse && !before.Refuse:
		r.Refused++
	case before.Refuse && !after.Refuse:
		r.Admitted++
	case reads && (otherFreshness || before.Write != after.Write):
		r.Rerouted++
	}
	answered := operation.Outcome == history.OK
	if answered && !after.Refuse && operation.End-operation.Start > after.Wait {
		r.TooLate++
	}
}
