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

// TestTokensPassToWhoStillWaits: the one token that comes is the urgent operation's, though
// another has waited for longer; once the urgent one has given up, the other takes it.
func TestTokensPassToWhoStillWaits(t *testing.T) {
	for _, givesUp := range []bool{false, true} {
		bubbletest.Test(t, func(t *testing.T) {
			sent := new(recorder)
			k := NewKeeper(Config{Node: "n", Address: "n", Life: 1, Started: time.Now(), Limits: unitLimits}, sent)
			k.SetFleet(Fleet{Nodes: 2, Home: Region{Allocators: [][]string{{"allocator"}}}})
			var granted [urgency.Levels]bool
			take := func(level urgency.Level, patience time.Duration) {
				go func() { _, _, granted[level] = k.Take("t", level, time.Now().Add(patience)) }()
				synctest.Wait()
			}
			take(2, time.Second)
			take(0, 50*time.Millisecond)
			if givesUp {
				time.Sleep(100 * time.Millisecond)
			}
			k.Receive("allocator", &Message{Reply: &Reply{
				Sequence: sent.last.Sequence, Grants: []Grant{{Tenant: "t", Count: 1, Life: time.Second, Dry: time.Second}},
			}})
			synctest.Wait()
			must.Eq(t, !givesUp, granted[0])
			must.Eq(t, givesUp, granted[2])
		})
	}
}
