package judge

import (
	"time"
)

// operation is a single statement or the first statement of a transaction.
type operation struct {
	// began is when the caller began the operation, ran when a server ran it.
	began time.Time
	ran   time.Time
}

// Allowance limits a tenant's operations to MaxOperations in every window of length Period that
// starts at From or later.
type Allowance struct {
	Tenant        string
	Period        time.Duration
	MaxOperations int
	From          time.Time
}

// CheckQuota records a violation if more operations than allowed began and ran within one
// window. It returns the maximum number of operations in a window.
func (j *Judge) CheckQuota(allowance Allowance) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	operations := j.operations[allowance.Tenant]
	highest := 0
	for first := range operations {
		start := operations[first].began
		if start.Before(allowance.From) {
			continue
		}
		count := 0
		for i := range operations {
			if !operations[i].began.Before(start) && operations[i].ran.Sub(start) < allowance.Period {
				count++
			}
		}
		highest = max(highest, count)
	}
	if highest > allowance.MaxOperations {
		j.recordViolation("%d operations of tenant %q ran within %v; %d are allowed",
			highest, allowance.Tenant, allowance.Period, allowance.MaxOperations)
	}
	return highest
}

// Operations returns the number of a tenant's operations that ran.
func (j *Judge) Operations(tenant string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.operations[tenant])
}
