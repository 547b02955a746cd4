package proxy_test

import (
	"fmt"
	"sync"
	"time"

	"dewknot/internal/catalog"
	"dewknot/internal/position"
)

// checker judges what callers are told against what servers ran.
type checker struct {
	mutex sync.Mutex
	// requests holds what is known of each request by its id.
	requests map[string]*requestRecord
	// commits holds every commit by its position.
	commits    map[position.Position]*commitRecord
	violations []string
	reads      int
	writes     int
	// onLost, if set, is told of commits that a promotion removed.
	onLost func(position.Position, *commitRecord)
}

type requestRecord struct {
	session   string
	freshness catalog.Freshness
	staleness time.Duration
	began     time.Time
	committed int
	// promised is set once the caller was told that nothing is kept.
	promised bool
}

type commitRecord struct {
	requests     []string
	session      string
	acknowledged time.Time
	lost         bool
}

func newChecker() *checker {
	return &checker{requests: map[string]*requestRecord{}, commits: map[position.Position]*commitRecord{}}
}

func (c *checker) violate(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// begin notes a request that a caller is about to send. Statements of a
// transaction are judged from the transaction's beginning.
func (c *checker) begin(id, session string, route *catalog.Route, began time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests[id] = &requestRecord{session: session, freshness: route.Freshness, staleness: route.MaxStaleness, began: began}
}

// acknowledged notes that a caller was told of success for the writes of some requests.
func (c *checker) acknowledged(ids []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for _, id := range ids {
		request := c.requests[id]
		if request.committed == 0 {
			c.violate("request %s was acknowledged, but no server committed it", id)
		}
		for _, commit := range c.commits {
			for _, writer := range commit.requests {
				if writer == id {
					commit.acknowledged = now
					commit.session = request.session
				}
			}
		}
	}
}

// promised notes that a caller was told that nothing of some requests is kept.
func (c *checker) promised(ids []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, id := range ids {
		c.requests[id].promised = true
		if c.requests[id].committed > 0 {
			c.violate("request %s was committed, but its caller was told that nothing is kept", id)
		}
	}
}

// ReadRan implements managed.Observer.
func (c *checker) ReadRan(id string, at time.Time, has func(position.Position) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reads++
	request := c.requests[id]
	if request == nil {
		c.violate("a server ran read %q that no caller sent", id)
		return
	}
	for place, commit := range c.commits {
		if commit.lost || commit.acknowledged.IsZero() || has(place) {
			continue
		}
		span := request.staleness
		if request.freshness == catalog.Current {
			span = 0
		}
		own := request.freshness == catalog.ReadYourWrites && commit.session == request.session && commit.acknowledged.Before(request.began)
		if own || commit.acknowledged.Before(request.began.Add(-span)) {
			c.violate("read %s (freshness %d) at %v misses commit %v acknowledged %v before it began", id, request.freshness,
				at.Format("05.000"), place, request.began.Sub(commit.acknowledged))
		}
	}
}

// WritesCommitted implements managed.Observer.
func (c *checker) WritesCommitted(ids []string, at position.Position) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes += len(ids)
	for _, id := range ids {
		request := c.requests[id]
		if request == nil {
			c.violate("a server committed write %q that no caller sent", id)
			continue
		}
		request.committed++
		if request.committed > 1 {
			c.violate("request %s took effect %d times", id, request.committed)
		}
		if request.promised {
			c.violate("request %s was committed after its caller was told that nothing is kept", id)
		}
	}
	c.commits[at] = &commitRecord{requests: ids}
}

// RolledBack implements managed.Observer.
func (c *checker) RolledBack(at position.Position) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if commit := c.commits[at]; commit != nil {
		commit.lost = true
		if c.onLost != nil {
			c.onLost(at, commit)
		}
	}
}

// acknowledgedLost counts acknowledged commits that a promotion removed.
func (c *checker) acknowledgedLost() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, commit := range c.commits {
		if commit.lost && !commit.acknowledged.IsZero() {
			count++
		}
	}
	return count
}
