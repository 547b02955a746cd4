package managed_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// statements is the number of statements whose answers are repeated.
const statements = 20

// TestServersRepeatAnswers: a stand-in must repeat answers of all kinds, also in the middle of others, in
// the same order each time.
func TestServersRepeatAnswers(t *testing.T) {
	first := repeatedAnswers(t)
	must.Eq(t, first, repeatedAnswers(t))
	counts := map[string]int{}
	for _, received := range first {
		counts[received]++
	}
	// The answer to the opening of the connection is not among those received but as a copy.
	must.Positive(t, counts["no result"])
	must.Greater(t, 1, counts["0  0 rows"], must.Sprint("answers to BEGIN"))
	repeated := 0
	for received, count := range counts {
		if strings.HasPrefix(received, "0 r") && count > 1 {
			repeated++
		}
	}
	must.Greater(t, statements/2, repeated)
	interrupted := 0
	for received, count := range counts {
		var signature, rows int
		if _, err := fmt.Sscanf(received, "0 r%d %d rows", &signature, &rows); err == nil && rows != 2 {
			interrupted += count
		}
	}
	must.Positive(t, interrupted)
}

// repeatedAnswers returns what a connection receives from a server that repeats all answers.
func repeatedAnswers(t *testing.T) (received []string) {
	bubbletest.Test(t, func(t *testing.T) {
		group := managed.NewGroup(managed.Settings{
			Name: "bookings", Zones: []string{"a"}, Slots: 4, Queue: 4, Connections: 4, StatementTime: time.Millisecond,
		}, noopObserver{}, func(managed.Entry) {})
		server := group.Primary()
		server.RepeatOneOf(1, 7)
		dialer := &managed.Dialer{Groups: map[string]*managed.Group{"bookings": group}, SendsCopies: true}
		connection, _, err := dialer.Dial(context.Background(), upstream.Target{Address: server.ID(), Service: "bookings", Server: server.ID()})
		must.NoError(t, err)
		operations := []upstream.Operation{{Kind: upstream.Begin}}
		for i := range statements {
			id := fmt.Sprintf("r%d", i)
			operations = append(operations, upstream.Operation{
				Kind: upstream.RunStatement, RequestID: id, Statement: &command.Statement{RequestID: id, Text: "READ a"},
			})
		}
		operations = append(operations, upstream.Operation{Kind: upstream.Commit, RequestID: "c"})
		receive := func(kind upstream.OperationKind) {
			for !connection.Alive() {
				result, err := connection.Receive(kind, time.Now().Add(time.Second))
				if errors.Is(err, upstream.ErrNoResult) {
					received = append(received, "no result")
					continue
				}
				must.NoError(t, err)
				received = append(received, fmt.Sprintf("%d %s %d rows", result.Outcome, result.Signature, len(result.Rows)))
			}
		}
		for i := range operations {
			must.NoError(t, connection.Send(operations[i:i+1], time.Time{}))
			time.Sleep(50 * time.Millisecond)
			receive(operations[i].Kind)
		}
		time.Sleep(time.Second)
		receive(upstream.Commit)
		connection.Close()
	})
	return received
}
