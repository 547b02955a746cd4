package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/upstream"
)

const (
	// repeatShare is the share of answers before which an earlier one of the connection is repeated.
	repeatShare = 0.05
	// maxRepeatAge is how many answers ago a repeated answer was first sent, at most.
	maxRepeatAge = 20
)

// answerRepeater is a connection on which the server repeats earlier answers at random.
type answerRepeater struct {
	upstream.Connection
	random *rand.Rand
	given  []upstream.Result
}

// Receive implements upstream.Connection.
func (c *answerRepeater) Receive(kind upstream.OperationKind, deadline time.Time) (upstream.Result, error) {
	if len(c.given) > 0 && c.random.Float64() < repeatShare {
		result := c.given[len(c.given)-1-c.random.IntN(min(len(c.given), maxRepeatAge))]
		return result, nil
	}
	result, err := c.Connection.Receive(kind, deadline)
	if err == nil {
		c.given = append(c.given, result)
	}
	return result, err
}

// TestFleetWithRepeatedAnswers guards against servers' repeated answers that break a promise to
// callers while the primary changes.
func TestFleetWithRepeatedAnswers(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("unfenced %v, seed %d", unfenced, seed), func(t *testing.T) {
				bubbletest.Test(t, func(t *testing.T) {
					const nodes = 5
					fleet := prepareFleet(fleetConfig{nodes: nodes, unfenced: unfenced})
					var mutex sync.Mutex
					connections := uint64(0)
					fleet.dialed = func(connection upstream.Connection) upstream.Connection {
						mutex.Lock()
						defer mutex.Unlock()
						connections++
						return &answerRepeater{Connection: connection, random: rand.New(rand.NewPCG(seed, connections))}
					}
					fleet.startNodes()
					defer fleet.end()
					time.Sleep(10 * time.Second)
					until := time.Now().Add(15 * time.Second)
					var working sync.WaitGroup
					for i := range 3 * nodes {
						caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
						working.Go(func() { caller.Run(until) })
					}
					for range 3 {
						time.Sleep(3 * time.Second)
						crashed := fleet.group.Primary()
						crashed.Crash()
						time.Sleep(time.Second)
						crashed.Restart()
					}
					working.Wait()
					must.Positive(t, fleet.check.WritesAcknowledged())
					must.SliceEmpty(t, fleet.check.Violations)
				})
			})
		}
	}
}
