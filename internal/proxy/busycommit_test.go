package proxy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/command"
)

// TestCommitOnABusyServerHasAKnownOutcome: a server that is busy for a moment must not lead to
// transactions that are lost, or whose outcome is unknown.
func TestCommitOnABusyServerHasAKnownOutcome(t *testing.T) {
	for name, busyAt := range map[string]command.Kind{"statement": command.Write, "commit": command.Commit} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := newFleet(3, 0, nothingBroken)
				defer fleet.end()
				time.Sleep(10 * time.Second)
				client := newMemoryClient("current", testTenants["amber"][0])
				fleet.listeners[0].pending <- client
				must.Nil(t, (<-client.replies).Failure)
				session := memorySession{client}
				defer session.Close()
				for _, each := range []command.Command{
					{Kind: command.Begin, RequestID: "b", Text: "BEGIN"},
					{Kind: command.Read, RequestID: "r", Text: "READ 1"},
					{Kind: command.Write, RequestID: "w", Text: "WRITE 1 x"},
					{Kind: command.Commit, RequestID: "c", Text: "COMMIT"},
				} {
					if each.Kind == busyAt {
						fleet.group.Primary().SetBusy(time.Now().Add(100 * time.Millisecond))
					}
					answer, open := session.Ask(each)
					must.True(t, open)
					must.False(t, answer.Failed, must.Sprintf("%s, not run: %v", each.Text, answer.NotRun))
				}
			})
		})
	}
}
