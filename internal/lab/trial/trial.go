// Package trial compares two policies: it computes what the new one would change for requests that
// were recorded under the old one.
package trial

import (
	"sort"

	"dewknot/internal/lab/history"
	"dewknot/internal/postgres/policy"
)

// Row summarizes the requests of a kind.
type Row struct {
	Kind     string
	Requests int
	// Rerouted counts reads that would need a different freshness or a different server role.
	Rerouted int
	// Refused counts requests that only the new policy refuses, Admitted those that only the old
	// one refuses.
	Refused, Admitted int
	// TooLate counts answered requests that took longer than the new rule's wait. They might be
	// rejected under the same load.
	TooLate int
}

// Compare returns, sorted by kind, what would change from one policy table to another.
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
	isRead := operation.Type == history.Read
	otherFreshness := before.Freshness != after.Freshness || before.MaxLag != after.MaxLag
	switch {
	case after.Refuse && !before.Refuse:
		r.Refused++
	case before.Refuse && !after.Refuse:
		r.Admitted++
	case isRead && (otherFreshness || before.Write != after.Write):
		r.Rerouted++
	}
	succeeded := operation.Outcome == history.OK
	if succeeded && !after.Refuse && operation.End-operation.Start > after.Wait {
		r.TooLate++
	}
}
