// Package judge runs callers against a fleet and checks the answers that they receive against
// what the servers of package managed ran. The simulation and the soak test use it.
package judge

import (
	"fmt"
	"sync"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
)

// Judge checks callers' answers against what servers ran. It implements managed.Observer and
// is safe for concurrent use.
type Judge struct {
	mu sync.Mutex
	// requests holds the state of each request by its ID.
	requests map[string]*requestState
	// operations holds the operations of each tenant in the order in which they ran.
	operations map[string][]operation
	// commits holds every commit by its position.
	commits map[position.Position]*Commit
	// owners holds the callers' transaction, or the single request, of each transaction of a server.
	owners map[int]string
	// transactions holds the servers' transaction of each transaction of a caller.
	transactions map[string]int
	// Violations describes the broken promises. It may be read once all callers are done.
	Violations []string
	// Reads counts the reads that servers ran, Writes the writes that they committed.
	Reads  int
	Writes int
	// OnLost, if set, is called for each commit that a promotion removed.
	OnLost func(position.Position, *Commit)
}

type requestState struct {
	session string
	// tenant is the tenant in whose name the request must run; empty if callers need no key.
	tenant    string
	freshness catalog.Freshness
	staleness time.Duration
	began     time.Time
	// statement is what the caller sent, and values are the session values acknowledged before.
	statement command.Statement
	commit    bool
	values    string
	// transaction identifies the caller's transaction; it is empty for a single statement.
	transaction string
	// given holds the signed answers of servers.
	given     []givenAnswer
	committed int
	// ran is set once a server has run the request, if it is a read.
	ran bool
	// committedByReplaced is set once a replaced primary that still runs has committed the
	// request.
	committedByReplaced bool
	// reportedNotRun is set once the caller has received an answer which states that the
	// request had no effect.
	reportedNotRun bool
}

// Commit is a commit of a server.
type Commit struct {
	requests []string
	session  string
	// Acknowledged is when the caller received the acknowledgement; zero before.
	Acknowledged time.Time
	lost         bool
}

// New returns an empty Judge.
func New() *Judge {
	return &Judge{
		requests: map[string]*requestState{}, operations: map[string][]operation{},
		commits: map[position.Position]*Commit{}, owners: map[int]string{}, transactions: map[string]int{},
	}
}

// RecordViolation records a broken promise.
func (j *Judge) RecordViolation(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordViolation(format, values...)
}

func (j *Judge) recordViolation(format string, values ...any) {
	j.Violations = append(j.Violations, fmt.Sprintf(format, values...))
}

// Request is a request that a caller is about to send.
type Request struct {
	ID      string
	Session string
	// Tenant is the caller's tenant; empty if callers need no key.
	Tenant string
	Route  *catalog.Route
	// Statement is what is sent. If it is prepared, it has the caller's definition and no text.
	Statement command.Statement
	// Commit is set for a COMMIT.
	Commit bool
	// Values are the session values that were acknowledged to the caller, see managed.ValuesText.
	Values string
	// Transaction identifies the transaction; it is empty for a single statement.
	Transaction string
	// Began is when the request began; for a statement of a transaction, when the transaction
	// began.
	Began time.Time
}

// RecordRequest records a request before it is sent.
func (j *Judge) RecordRequest(sent Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[sent.ID] = &requestState{
		session: sent.Session, tenant: sent.Tenant,
		freshness: sent.Route.Freshness, staleness: sent.Route.MaxStaleness, began: sent.Began,
		statement: sent.Statement, commit: sent.Commit, values: sent.Values, transaction: sent.Transaction,
	}
}

// RecordAcknowledged records that the writes of some requests were acknowledged to their
// caller.
func (j *Judge) RecordAcknowledged(ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		request := j.requests[id]
		if request.committedByReplaced {
			j.recordViolation("request %s was acknowledged, but a replaced primary committed it", id)
			continue
		}
		if request.committed == 0 {
			j.recordViolation("request %s was acknowledged, but no server committed it", id)
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

// WritesAcknowledged returns the number of acknowledged commits.
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

// RecordNotRun records that a caller has received an answer which states that some requests had
// no effect.
func (j *Judge) RecordNotRun(ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range ids {
		j.requests[id].reportedNotRun = true
		if j.requests[id].ran {
			j.recordViolation("read %s ran, but was reported as not run", id)
		}
		if j.requests[id].committed > 0 || j.requests[id].committedByReplaced {
			j.recordViolation("request %s was committed, but was reported as not run", id)
		}
	}
}

// ReadRan implements managed.Observer.
func (j *Judge) ReadRan(id string, at time.Time, contains func(position.Position) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Reads++
	request := j.requests[id]
	if request == nil {
		j.recordViolation("a server ran read %q that no caller sent", id)
		return
	}
	request.ran = true
	if request.reportedNotRun {
		j.recordViolation("read %s ran after it was reported as not run", id)
	}
	for committedAt, commit := range j.commits {
		if commit.lost || commit.Acknowledged.IsZero() || contains(committedAt) {
			continue
		}
		maxStaleness := request.staleness
		if request.freshness == catalog.Current {
			maxStaleness = 0
		}
		ownWrite := request.freshness == catalog.ReadYourWrites && commit.session == request.session &&
			commit.Acknowledged.Before(request.began)
		if ownWrite || commit.Acknowledged.Before(request.began.Add(-maxStaleness)) {
			j.recordViolation("read %s (freshness %d) at %v misses commit %v acknowledged %v before it began",
				id, request.freshness, at.Format("05.000"), committedAt, request.began.Sub(commit.Acknowledged))
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
			j.recordViolation("a server committed write %q that no caller sent", id)
			continue
		}
		request.committed++
		if request.committed > 1 {
			j.recordViolation("request %s was committed %d times", id, request.committed)
		}
		if request.reportedNotRun {
			j.recordViolation("request %s was committed after it was reported as not run", id)
		}
	}
	j.commits[at] = &Commit{requests: ids}
}

// CommittedOnReplaced implements managed.Observer.
func (j *Judge) CommittedOnReplaced(ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range ids {
		request := j.requests[id]
		if request == nil {
			j.recordViolation("a replaced primary committed write %q that no caller sent", id)
			continue
		}
		request.committedByReplaced = true
		if request.reportedNotRun {
			j.recordViolation("request %s was committed by a replaced primary after it was reported as not run", id)
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

// AcknowledgedLost returns the number of acknowledged commits that a promotion removed.
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
