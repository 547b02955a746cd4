package managed_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// rollbackObserver keeps the commits that were rolled back.
type rollbackObserver struct {
	noopObserver
	mutex      sync.Mutex
	rolledBack []position.Position
}

func (o *rollbackObserver) RolledBack(at position.Position) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.rolledBack = append(o.rolledBack, at)
}

func (o *rollbackObserver) commits() []position.Position {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.rolledBack)
}

// TestCommitsLostWithALogAreReported: a commit that only a server without its log had must count as rolled
// back once another one is promoted, and not before; one that the other server has must not.
func TestCommitsLostWithALogAreReported(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		observer := &rollbackObserver{}
		group := managed.NewGroup(managed.Settings{
			Name: "bookings", Zones: []string{"a", "b"}, Slots: 4, Queue: 4, Connections: 4,
		}, observer, func(managed.Entry) {})
		dialer := &managed.Dialer{Groups: map[string]*managed.Group{"bookings": group}}
		first, second := group.Server(0), group.Server(1)
		write := func(id string) {
			connection, _, err := dialer.Dial(context.Background(), upstream.Target{Address: first.ID(), Service: "bookings", Server: first.ID()})
			must.NoError(t, err)
			defer connection.Close()
			must.NoError(t, connection.Send([]upstream.Operation{{Kind: upstream.RunStatement, RequestID: id, Statement: &command.Statement{
				RequestID: id, Writes: true, Text: "WRITE seat " + id,
			}}}, time.Time{}))
			_, err = connection.Receive(upstream.RunStatement, time.Now().Add(time.Second))
			must.NoError(t, err)
			time.Sleep(time.Second)
		}
		write("w1")
		second.SetReceiveBlocked(true)
		write("w2")
		first.Crash()
		first.RestartEmpty()
		must.SliceEmpty(t, observer.commits())
		must.True(t, group.Order(second.ID(), 1))
		time.Sleep(time.Second)
		must.Eq(t, []position.Position{{Term: 1, Offset: 2}}, observer.commits())
	})
}
