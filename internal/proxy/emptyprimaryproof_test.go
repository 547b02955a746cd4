package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/judge"
	"dewknot/internal/proxy/command"
)

// TestWriteOnAPrimaryWithoutItsLogProvesNothing guards against a write's answer that is taken for the
// current position of the service although the primary restarted without its log: reads that may be
// stale would then miss commits that are older than they may miss.
func TestWriteOnAPrimaryWithoutItsLogProvesNothing(t *testing.T) {
	for delay := range 20 {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := newFleet(fewNodes, 0, nothingBroken)
			time.Sleep(8 * time.Second)
			random := rand.New(rand.NewPCG(1, uint64(delay)))
			session, route := fleet.connect(random, testTenants["amber"][0])
			for route.Database != "bounded" {
				session.Close()
				session, route = fleet.connect(random, testTenants["amber"][0])
			}
			requests := 0
			ask := func(kind command.Kind, text string) {
				requests++
				id := fmt.Sprintf("r%d", requests)
				fleet.check.RecordRequest(judge.Request{
					ID: id, Session: "s", Tenant: "amber", Route: route, Began: time.Now(),
					Statement: command.Statement{RequestID: id, Text: text, Writes: kind == command.Write},
				})
				answer, open := session.Ask(command.Command{Kind: kind, RequestID: id, Text: text})
				if open && !answer.Failed && kind == command.Write {
					fleet.check.RecordAcknowledged([]string{id})
				}
			}
			ask(command.Write, "WRITE t x")
			time.Sleep(time.Second)
			for i := range fleet.group.Running() {
				fleet.group.Server(i).SetReceiveBlocked(true)
			}
			ask(command.Write, "WRITE t y")
			ask(command.Write, "WRITE t z")
			time.Sleep(time.Second)
			restarted := fleet.group.Primary()
			restarted.Crash()
			time.Sleep(100 * time.Millisecond)
			restarted.RestartEmpty()
			time.Sleep(time.Duration(delay) * time.Millisecond)
			ask(command.Write, "WRITE t u")
			for range 4 {
				ask(command.Read, "READ t")
			}
			session.Close()
			fleet.end()
			must.SliceEmpty(t, fleet.check.Violations, must.Sprintf("write %d ms after the restart", delay))
		})
	}
}
