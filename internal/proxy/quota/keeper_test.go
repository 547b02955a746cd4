package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/urgency"
)

// recorder is a Sender that keeps the last request.
type recorder struct{ last *Request }

// SendTokens implements Sender.
func (r *recorder) SendTokens(_ string, m *Message) { r.last = m.Request }

// TestTokenGoesToRemainingWaiter checks that a token goes to the urgent operation, or to the less
// urgent one if the urgent one has timed out.
func TestTokenGoesToRemainingWaiter(t *testing.T) {
	for _, urgentTimesOut := range []bool{false, true} {
		bubbletest.Test(t, func(t *testing.T) {
			sent := new(recorder)
			k := NewKeeper(Config{Node: "n", Address: "n", Incarnation: 1, Started: time.Now(), Limits: unitLimits}, sent)
			k.SetFleet(Fleet{Nodes: 2, Home: Region{Allocators: [][]string{{"allocator"}}}})
			var granted [urgency.Levels]bool
			take := func(level urgency.Level, maxWait time.Duration) {
				go func() { _, _, granted[level] = k.Take("t", level, time.Now().Add(maxWait)) }()
				synctest.Wait()
			}
			take(2, time.Second)
			take(0, 50*time.Millisecond)
			if urgentTimesOut {
				time.Sleep(100 * time.Millisecond)
			}
			k.Receive("allocator", &Message{Reply: &Reply{
				Sequence: sent.last.Sequence, Grants: []Grant{{Tenant: "t", Count: 1, TTL: time.Second, RetryAfter: time.Second}},
			}})
			synctest.Wait()
			must.Eq(t, !urgentTimesOut, granted[0])
			must.Eq(t, urgentTimesOut, granted[2])
		})
	}
}
