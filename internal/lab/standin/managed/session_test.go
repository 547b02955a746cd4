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

type silentObserver struct{}

func (silentObserver) StatementRan(managed.Run)                                {}
func (silentObserver) ReadRan(string, time.Time, func(position.Position) bool) {}
func (silentObserver) WritesCommitted([]string, position.Position)             {}
func (silentObserver) RolledBack(position.Position)                            {}
func (silentObserver) CommittedAside([]string)                                 {}

// TestRefusalsOfABusyServer asks a busy replica for its status while the
// primary's commits reach it. The race detector judges it: a refusal carries the
// position that replication changes.
func TestRefusalsOfABusyServer(t *testing.T) {
	group := managed.NewGroup(managed.Settings{
		Name: "bookings", Zones: []string{"a", "b"}, Slots: 4, Queue: 4, Connections: 4,
	}, silentObserver{}, func(managed.Entry) {})
	dialer := &managed.Dialer{Groups: map[string]*managed.Group{"bookings": group}}
	ask := func(server *managed.Server, operations func(i int) upstream.Operation) upstream.Result {
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
		written := ask(group.Primary(), func(i int) upstream.Operation {
			return upstream.Operation{Kind: upstream.RunStatement, Statement: &command.Statement{
				RequestID: fmt.Sprint(i), Writes: true, Text: fmt.Sprintf("WRITE seat %d", i),
			}}
		})
		must.Eq(t, upstream.Succeeded, written.Outcome)
	})
	working.Go(func() {
		refused := ask(group.Server(1), func(int) upstream.Operation { return upstream.Operation{Kind: upstream.ReportStatus} })
		must.Eq(t, upstream.Busy, refused.Outcome)
	})
	working.Wait()
}
