// Package judge drives callers against a fleet and judges what they are told by
// what the servers of the stand-in ran. Simulation and soak share it.
package judge

import (
	"fmt"
	"sync"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/catalog"
)

// Judge compares what callers are told with what servers ran. It implements
// managed.Observer and is safe for concurrent use.
type Judge struct {
	mu sync.Mutex
	// requests holds what is known of each request by its id.
	requests map[string]*request
	// operations holds what ran of each tenant, in the order in which it ran.
	operations map[string][]operation
	// commits holds every commit by its position.
	commits map[position.Position]*Commit
	// Violations are the broken promises; read them when all callers are done.
	Violations []string
	// Reads and Writes count what servers ran.
	Reads  int
	Writes int
	// OnLost, if set, is told of commits that a promotion removed.
	OnLost func(position.Position, *Commit)
}

type request struct {
	session string
	// tenant is in whose name the request has to run; empty if any will do.
	tenant    string
	freshness catalog.Freshness
	staleness time.Duration
	began     time.Time
	committed int
	// ran is set once a server ran the request, a read.
	ran bool
	// aside is set once a replaced primary, which went on, committed the request.
	aside bool
	// promised is set once the caller was told that nothing is kept.
	promised bool
}

// Commit is a commit that a server made.
type Commit struct {
	requests []string
	session  string
	// Acknowledged is when its caller was told of success; zero if it was not.
	Acknowledged time.Time
	lost         bool
}

// New returns a judge that has seen nothing.
func New() *Judge {
	return &Judge{requests: map[string]*request{}, operations: map[string][]operation{}, commits: map[position.Position]*Commit{}}
}

// Violate notes a broken promise.
func (j *Judge) Violate(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violate(format, values...)
}

func (j *Judge) violate(format string, values ...any) {
	j.Violations = append(j.Violations, fmt.Sprintf(format, values...))
}

// Asked is a request that a caller is about to send. Statements of a transaction are
// judged from the transaction's beginning.
type Asked struct {
	ID      string
	Session string
	// Tenant is the one that the caller works for; empty where callers need no key.
	Tenant string
	Route  *catalog.Route
	Began  time.Time
}

// Begin notes a request.
func (j *Judge) Begin(asked Asked) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[asked.ID] = &request{
		session: asked.Session, tenant: asked.Tenant, freshness: asked.Route.Freshness, staleness: asked.Route.MaxStaleness, began: asked.Began,
	}
}

// StatementRan implements managed.Observer.
func (j *Judge) StatementRan(run managed.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	request := j.requests[run.RequestID]
	if request == nil || request.tenant == "" {
		return
	}
	if string(run.Principal) != request.tenant {
		j.violate("request %s of tenant %q ran in the name of %q", run.RequestID, request.tenant, run.Principal)
	}
	if run.First {
		j.operations[request.tenant] = append(j.operations[request.tenant], operation{began: request.began, ran: run.At})
	}
}

// Acknowledged notes that a caller was told of success for the writes of some requests.
func (j *Judge) Acknowledged(ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		request := j.requests[id]
		if request.aside {
			j.violate("request %s was acknowledged, but a replaced primary committed it", id)
			continue
		}
		if request.committed == 0 {
			j.violate("request %s was acknowledged, but no server committed it", id)
		}
		for _, commit := range j.commits {
			for _, writer := range commit.requests {
				if writer == id {
					commit.Acknowledged = now
					commit.session = request.session
				}
			}
		}
	}
}

// WritesAcknowledged counts the commits that were acknowledged.
func (j *Judge) WritesAcknowledged() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, commit := range j.commits {
		if !commit.Acknowledged.IsZero() {
			count++
		}
	}
	return count
}

// Promised notes that a caller was told that nothing of some requests is kept.
func (j *Judge) Promised(ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range ids {
		j.requests[id].promised = true
		if j.requests[id].ran {
			j.violate("read %s ran, but its caller was told that it did not", id)
		}
		if j.requests[id].committed > 0 || j.requests[id].aside {
			j.violate("request %s was committed, but its caller was told that nothing is kept", id)
		}
	}
}

// ReadRan implements managed.Observer.
func (j *Judge) ReadRan(id string, at time.Time, has func(position.Position) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Reads++
	request := j.requests[id]
	if request == nil {
		j.violate("a server ran read %q that no caller sent", id)
		return
	}
	request.ran = true
	if request.promised {
		j.violate("read %s ran after its caller was told that it did not", id)
	}
	for place, commit := range j.commits {
		if commit.lost || commit.Acknowledged.IsZero() || has(place) {
			continue
		}
		span := request.staleness
		if request.freshness == catalog.Current {
			span = 0
		}
		own := request.freshness == catalog.ReadYourWrites && commit.session == request.session && commit.Acknowledged.Before(request.began)
		if own || commit.Acknowledged.Before(request.began.Add(-span)) {
			j.violate("read %s (freshness %d) at %v misses commit %v acknowledged %v before it began", id, request.freshness,
				at.Format("05.000"), place, request.began.Sub(commit.Acknowledged))
		}
	}
}

// WritesCommitted implements managed.Observer.
func (j *Judge) WritesCommitted(ids []string, at position.Position) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Writes += len(ids)
	for _, id := range ids {
		request := j.requests[id]
		if request == nil {
			j.violate("a server committed write %q that no caller sent", id)
			continue
		}
		request.committed++
		if request.committed > 1 {
			j.violate("request %s took effect %d times", id, request.committed)
		}
		if request.promised {
			j.violate("request %s was committed after its caller was told that nothing is kept", id)
		}
	}
	j.commits[at] = &Commit{requests: ids}
}

// CommittedAside implements managed.Observer.
func (j *Judge) CommittedAside(ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range ids {
		request := j.requests[id]
		if request == nil {
			j.violate("a replaced primary committed write %q that no caller sent", id)
			continue
		}
		request.aside = true
		if request.promised {
			j.violate("request %s was committed by a replaced primary after its caller was told that nothing is kept", id)
		}
	}
}

// RolledBack implements managed.Observer.
func (j *Judge) RolledBack(at position.Position) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if commit := j.commits[at]; commit != nil {
		commit.lost = true
		if j.OnLost != nil {
			j.OnLost(at, commit)
		}
	}
}

// AcknowledgedLost counts acknowledged commits that a promotion removed.
func (j *Judge) AcknowledgedLost() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, commit := range j.commits {
		if commit.lost && !commit.Acknowledged.IsZero() {
			count++
		}
	}
	return count
}
