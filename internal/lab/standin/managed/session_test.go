package managed_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/position"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

type noopObserver struct{}

func (noopObserver) StatementRan(managed.Run)                                {}
func (noopObserver) AnswerGiven(string, string, [][]byte)                    {}
func (noopObserver) ReadRan(string, time.Time, func(position.Position) bool) {}
func (noopObserver) WritesCommitted([]string, position.Position)             {}
func (noopObserver) RolledBack(position.Position)                            {}
func (noopObserver) CommittedOnReplaced([]string)                            {}

// TestBusyRejectionsDuringReplication guards against a data race: a rejection carries the position
// that replication changes at the same time. Only the race detector can see it.
func TestBusyRejectionsDuringReplication(t *testing.T) {
	group := managed.NewGroup(managed.Settings{
		Name: "bookings", Zones: []string{"a", "b"}, Slots: 4, Queue: 4, Connections: 4,
	}, noopObserver{}, func(managed.Entry) {})
	dialer := &managed.Dialer{Groups: map[string]*managed.Group{"bookings": group}}
	run := func(server *managed.Server, operations func(i int) upstream.Operation) upstream.Result {
		connection, _, err := dialer.Dial(context.Background(), upstream.Target{Address: server.ID(), Service: "bookings", Server: server.ID()})
		must.NoError(t, err)
		defer connection.Close()
		var last upstream.Result
		for i := range 200 {
			operation := operations(i)
			must.NoError(t, connection.Send([]upstream.Operation{operation}, time.Time{}))
			last, err = connection.Receive(operation.Kind, time.Now().Add(10*time.Second))
			must.NoError(t, err)
		}
		return last
	}
	group.Server(1).SetBusy(time.Now().Add(time.Hour))
	var working sync.WaitGroup
	working.Go(func() {
		written := run(group.Primary(), func(i int) upstream.Operation {
			return upstream.Operation{Kind: upstream.RunStatement, Statement: &command.Statement{
				RequestID: fmt.Sprint(i), Writes: true, Text: fmt.Sprintf("WRITE seat %d", i),
			}}
		})
		must.Eq(t, upstream.Succeeded, written.Outcome)
	})
	working.Go(func() {
		rejected := run(group.Server(1), func(int) upstream.Operation { return upstream.Operation{Kind: upstream.ReportStatus} })
		must.Eq(t, upstream.Busy, rejected.Outcome)
	})
	working.Wait()
}
