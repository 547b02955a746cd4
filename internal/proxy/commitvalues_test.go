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

// TestCommitRunsWithTheSessionValues guards against a COMMIT that runs with the session values of the
// statement before it, although another one was acknowledged since.
func TestCommitRunsWithTheSessionValues(t *testing.T) {
	for _, nodes := range []int{fewNodes, manyNodes} {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := newFleet(nodes, 0, nothingBroken)
			time.Sleep(5 * time.Second)
			random := rand.New(rand.NewPCG(1, 1))
			for i := range 4 {
				session, route := fleet.connect(random, testTenants["amber"][0])
				must.NotNil(t, session)
				transaction := fmt.Sprintf("b%d", i)
				record := func(statement command.Statement, commit bool, values string) {
					fleet.check.RecordRequest(judge.Request{
						ID: statement.RequestID, Session: transaction, Tenant: "amber", Route: route, Began: time.Now(),
						Statement: statement, Commit: commit, Values: values, Transaction: transaction,
					})
				}
				ask := func(cmd command.Command) {
					answer, open := session.Ask(cmd)
					must.True(t, open && !answer.Failed, must.Sprint(cmd.Text))
				}
				read, commit := fmt.Sprintf("r%d", i), fmt.Sprintf("c%d", i)
				record(command.Statement{RequestID: read, Text: "READ t"}, false, "")
				record(command.Statement{RequestID: commit, Text: "COMMIT"}, true, "tone=low;")
				ask(command.Command{Kind: command.Begin, RequestID: transaction, Text: "BEGIN"})
				ask(command.Command{Kind: command.Read, RequestID: read, Text: "READ t"})
				ask(command.Command{Kind: command.SetValue, RequestID: "s", Name: "tone", Value: "low", Text: "SET tone low"})
				ask(command.Command{Kind: command.Commit, RequestID: commit, Text: "COMMIT"})
				session.Close()
			}
			fleet.end()
			must.SliceEmpty(t, fleet.check.Violations)
		})
	}
}
