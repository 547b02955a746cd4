package peer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/request"
)

// echoServer answers each request with its own messages, in chunks and after a random delay,
// so that answers arrive out of order.
type echoServer struct {
	mu    sync.Mutex
	ended []group.SessionID
	block chan struct{} // if set, requests wait until it is closed
}

func (e *echoServer) Submit(
	ctx context.Context, submitted *request.Request, chunk func([]byte) error,
) (request.Result, error) {
	if e.block != nil {
		select {
		case <-e.block:
		case <-ctx.Done():
			return request.Result{}, &request.LinkError{Sent: true}
		}
	}
	time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
	for range submitted.Info.ID.Number % 30 {
		if err := chunk(submitted.Batch.Messages); err != nil {
			return request.Result{}, &request.LinkError{Sent: true, Cause: err}
		}
	}
	return request.Result{Data: submitted.Batch.Messages}, nil
}

func (e *echoServer) EndSession(_ string, session group.SessionID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = append(e.ended, session)
}

// requireEnded waits until count sessions have ended.
func (e *echoServer) requireEnded(t *testing.T, count int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		ended := len(e.ended)
		e.mu.Unlock()
		if ended == count {
			return
		}
	}
	t.Fatalf("timeout: the number of ended sessions is not %d", count)
}

func (e *echoServer) Cancel(string, group.RequestID) {}

func (e *echoServer) AnswerSync(since, _ uint64) core.SyncState {
	return core.SyncState{Complete: since + 1}
}

func startListener(t *testing.T, served *echoServer, keys Keys) *Listener {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", "b", keys, served, served, zap.NewNop())
	must.NoError(t, err)
	t.Cleanup(listener.Close)
	return listener
}

var testKeys = Keys{"new-key-0123456789", "old-key-0123456789"}

func newTestRequest(number uint64) *request.Request {
	return &request.Request{
		Group: "g",
		Info: group.Request{
			ID: group.RequestID{Session: group.SessionID{Listener: 1, Session: number}, Number: number},
		},
		Batch: backend.Batch{Messages: fmt.Appendf(nil, "request %d;", number)},
	}
}

// Guards against chunks that reach the wrong request when many requests share a link.
func TestStreamsDoNotMix(t *testing.T) {
	listener := startListener(t, &echoServer{}, testKeys)
	client := NewClient("a", Keys{"old-key-0123456789"}, "b", listener.Address())
	_, err := client.Sync(context.Background(), 1, 2)
	must.Error(t, err) // the listener's proof uses the new key, which this client doesn't have
	client = NewClient("a", testKeys, "b", listener.Address())
	defer client.Close()
	var all sync.WaitGroup
	for number := uint64(1); number <= 300; number++ {
		all.Add(1)
		go func() {
			defer all.Done()
			var got bytes.Buffer
			result, err := client.Submit(context.Background(), newTestRequest(number), func(part []byte) error {
				_, err := got.Write(part)
				return err
			})
			must.NoError(t, err)
			_, _ = got.Write(result.Data)
			want := bytes.Repeat(fmt.Appendf(nil, "request %d;", number), int(number%30)+1)
			must.Eq(t, string(want), got.String())
		}()
	}
	all.Wait()
	state, err := client.Sync(context.Background(), 41, 0)
	must.NoError(t, err)
	must.Eq(t, 42, state.Complete)
}

// Guards against a lost link that is reported as not sent, or that leaves sessions open at
// the server.
func TestLostLink(t *testing.T) {
	served := &echoServer{block: make(chan struct{})}
	listener := startListener(t, served, testKeys)
	client := NewClient("a", testKeys, "b", listener.Address())
	failure := make(chan error, 1)
	go func() {
		_, err := client.Submit(context.Background(), newTestRequest(7), func([]byte) error { return nil })
		failure <- err
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		client.mu.Lock()
		connected := client.current
		client.mu.Unlock()
		if connected != nil {
			break
		}
	}
	time.Sleep(20 * time.Millisecond)
	client.Close()
	var lost *request.LinkError
	must.True(t, errors.As(<-failure, &lost))
	must.True(t, lost.Sent)
	served.requireEnded(t, 1)
}

// Guards against sessions that stay open after their peer was removed from the membership.
func TestDropEndsSessionsOfPeer(t *testing.T) {
	served := &echoServer{}
	listener := startListener(t, served, testKeys)
	client := NewClient("a", testKeys, "b", listener.Address())
	defer client.Close()
	_, err := client.Submit(context.Background(), newTestRequest(3), func([]byte) error { return nil })
	must.NoError(t, err)
	listener.Drop("c")
	_, err = client.Submit(context.Background(), newTestRequest(5), func([]byte) error { return nil })
	must.NoError(t, err)
	listener.Drop("a")
	served.requireEnded(t, 2)
}

// Guards against accepting a peer without the key, and against malformed frames that
// disturb other links.
func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	listener := startListener(t, &echoServer{}, testKeys)
	untrusted := NewClient("a", Keys{"another-key-0123456"}, "b", listener.Address())
	_, err := untrusted.Submit(context.Background(), newTestRequest(1), nil)
	var refused *request.LinkError
	must.True(t, errors.As(err, &refused))
	must.False(t, refused.Sent)
	for _, garbage := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff, 1}, bytes.Repeat([]byte{7}, 5000)} {
		conn, err := net.Dial("tcp", listener.Address())
		must.NoError(t, err)
		_, _ = conn.Write(garbage)
		_ = conn.Close()
	}
	trusted := NewClient("a", testKeys, "b", listener.Address())
	defer trusted.Close()
	result, err := trusted.Submit(context.Background(), newTestRequest(1), func([]byte) error { return nil })
	must.NoError(t, err)
	must.Eq(t, "request 1;", string(result.Data))
}

// Guards against panics on malformed frame bodies.
func FuzzFrameBodies(f *testing.F) {
	f.Add([]byte{0x93, 0xa1, 'g', 0x90, 0x90})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeBody[request.Request](frame{Body: data})
		_, _ = decodeBody[request.Result](frame{Body: data})
		_, _ = decodeBody[core.SyncState](frame{Body: data})
	})
}
