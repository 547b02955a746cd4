package judge

import (
	"time"
)

// operation is a single statement or the beginning of a transaction that ran.
type operation struct {
	// began is when its caller sent it, ran when a server ran it.
	began time.Time
	ran   time.Time
}

// Allowance is how many operations of a tenant may run in each span of a length, from a
// time on.
type Allowance struct {
	Tenant string
	Span   time.Duration
	Most   int
	From   time.Time
}

// CheckQuota notes a violation if more operations were both sent and run within some span
// than an allowance permits, and returns the most that were.
func (j *Judge) CheckQuota(allowance Allowance) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	operations := j.operations[allowance.Tenant]
	most := 0
	for first := range operations {
		opens := operations[first].began
		if opens.Before(allowance.From) {
			continue
		}
		count := 0
		for i := range operations {
			if !operations[i].began.Before(opens) && operations[i].ran.Sub(opens) < allowance.Span {
				count++
			}
		}
		most = max(most, count)
	}
	if most > allowance.Most {
		j.violate("%d operations of tenant %q ran within %v; %d are allowed", most, allowance.Tenant, allowance.Span, allowance.Most)
	}
	return most
}

// Operations returns how many operations of a tenant ran.
func (j *Judge) Operations(tenant string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.operations[tenant])
}
