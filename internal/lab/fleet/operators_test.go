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

// waitTimeout is the timeout of all waits. The tests don't check durations.
const waitTimeout = 20 * time.Second

func change(operation string, replaces uint64) administration.Change {
	return administration.Change{Operation: operation, Author: "ann", Replaces: replaces}
}

func client(f *Fleet, index int) *operator.Client {
	return operator.NewClient(f.Nodes[index].Settings.Operator)
}

// A policy submitted through one node's operator address must apply on every node. A conflicting
// change must be rejected with the winning version, an invalid one as invalid.
func TestPolicyAppliesOnAllNodes(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	source := `
service("bookings")
kind("yearly_report", refuse = True, retry_after = "1h")
`
	outcome, err := client(f, 0).SubmitPolicy(ctx, "bookings", operator.PolicyChange{Change: change("one", 0), Source: source})
	must.NoError(t, err)
	must.True(t, outcome.InForce)
	must.NoError(t, Wait(waitTimeout, func() bool {
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

// A server marked as leaving must get no new work once all nodes know it, while reads continue.
func TestLeavingServerGetsNoWork(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	const leaving = 1
	address := f.Databases["bookings"].Addresses()[leaving]
	_, err := client(f, 0).Mark(ctx, operator.MarkChange{Change: change("mark", 0), Group: "bookings", Server: address, Leaving: true})
	must.NoError(t, err)
	must.NoError(t, Wait(waitTimeout, func() bool {
		known := 0
		for _, node := range f.Nodes {
			group, found := node.Status().Groups["bookings"]
			if found && !group.Servers[leaving].Leaving {
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

// A change of primary under load must not lose acknowledged writes, and writes must resume.
func TestPrimaryChangeLosesNoWrites(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	conn := connect(t, f, 0, "ann")
	_, err := conn.Exec(ctx, "CREATE TABLE seats (id INTEGER PRIMARY KEY)")
	must.NoError(t, err)
	group := f.Databases["bookings"]
	isolated := group.Leader()
	must.NoError(t, group.SetFault(isolated, "cut", true, 0))
	acknowledged := []int{}
	id := 0
	must.NoError(t, Wait(waitTimeout, func() bool {
		id++
		if _, err := conn.Exec(ctx, "INSERT INTO seats VALUES ($1)", id); err == nil {
			acknowledged = append(acknowledged, id)
		}
		return len(acknowledged) == 5
	}))
	must.NoError(t, group.SetFault(isolated, "cut", false, 0))
	must.NotEq(t, isolated, group.Leader())
	reader := connect(t, f, 2, "ann")
	for _, id := range acknowledged {
		var found int64
		must.NoError(t, reader.QueryRow(ctx, "SELECT id FROM seats WHERE id = $1", id).Scan(&found))
	}
}
