package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/operator"
)

// patience bounds waiting for what must come; no verdict depends on how long it takes.
const patience = 20 * time.Second

func change(operation string, replaces uint64) administration.Change {
	return administration.Change{Operation: operation, Author: "ann", Replaces: replaces}
}

func client(f *Fleet, index int) *operator.Client {
	return operator.NewClient(f.Nodes[index].Settings.Operator)
}

// A policy submitted through one node's operator address decides on every node; a
// conflicting one is told the winner.
func TestPolicyThroughOperators(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	source := `
service("bookings")
kind("yearly_report", refuse = True, retry_after = "1h")
`
	outcome, err := client(f, 0).SubmitPolicy(ctx, "bookings", operator.PolicyChange{Change: change("one", 0), Source: source})
	must.NoError(t, err)
	must.True(t, outcome.InForce)
	must.NoError(t, Wait(patience, func() bool {
		fleet, err := client(f, 1).Fleet(ctx)
		if err != nil || len(fleet.Nodes) < len(f.Nodes) {
			return false
		}
		for _, status := range fleet.Nodes {
			if status.Policies["bookings"] < outcome.Version {
				return false
			}
		}
		return true
	}))
	for index := range f.Nodes {
		_, err = connect(t, f, index, "ann").Exec(ctx, "/*kind='yearly_report'*/ SELECT 1")
		refused := requireCode(t, err, "42501")
		must.Eq(t, "retry after 3600000 ms", refused.Detail)
	}
	_, err = client(f, 2).SubmitPolicy(ctx, "bookings", operator.PolicyChange{Change: change("two", 0), Source: source})
	var conflict *administration.Error
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, administration.Conflict, conflict.Kind)
	must.Eq(t, outcome.Version, conflict.WinnerVersion)
	_, err = client(f, 0).SubmitPolicy(ctx, "bookings", operator.PolicyChange{Change: change("three", outcome.Version), Source: "service("})
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, administration.Invalid, conflict.Kind)
}

// A server that is marked gets no new work once the owners know, and reads go on.
func TestLeavingServerGetsNoWork(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	const leaving = 1
	address := f.Databases["bookings"].Addresses()[leaving]
	_, err := client(f, 0).Mark(ctx, operator.MarkChange{Change: change("mark", 0), Group: "bookings", Server: address, Leaving: true})
	must.NoError(t, err)
	must.NoError(t, Wait(patience, func() bool {
		known := 0
		for _, node := range f.Nodes {
			group, held := node.Status().Groups["bookings"]
			if held && !group.Servers[leaving].Leaving {
				return false
			}
			if node.View().Config.LeavingServers["bookings/"+address] {
				known++
			}
		}
		return known == len(f.Nodes)
	}))
	before := f.Databases["bookings"].WorkStarted(leaving)
	for index := range f.Nodes {
		conn := connect(t, f, index, "ann")
		for range 40 {
			var one int64
			must.NoError(t, conn.QueryRow(ctx, "SELECT 1").Scan(&one))
		}
	}
	must.Eq(t, before, f.Databases["bookings"].WorkStarted(leaving))
}

// A change of primary under callers loses no acknowledged write, and writes resume.
func TestCutPrimary(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	conn := connect(t, f, 0, "ann")
	_, err := conn.Exec(ctx, "CREATE TABLE seats (id INTEGER PRIMARY KEY)")
	must.NoError(t, err)
	group := f.Databases["bookings"]
	cut := group.Leader()
	must.NoError(t, group.SetFault(cut, "cut", true, 0))
	acknowledged := []int{}
	id := 0
	must.NoError(t, Wait(patience, func() bool {
		id++
		if _, err := conn.Exec(ctx, "INSERT INTO seats VALUES ($1)", id); err == nil {
			acknowledged = append(acknowledged, id)
		}
		return len(acknowledged) == 5
	}))
	must.NoError(t, group.SetFault(cut, "cut", false, 0))
	must.NotEq(t, cut, group.Leader())
	reader := connect(t, f, 2, "ann")
	for _, id := range acknowledged {
		var found int64
		must.NoError(t, reader.QueryRow(ctx, "SELECT id FROM seats WHERE id = $1", id).Scan(&found))
	}
}
