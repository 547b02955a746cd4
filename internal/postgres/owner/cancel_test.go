package owner

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/request"
)

// idleServer accepts sessions of the PostgreSQL protocol and answers nothing after their start.
func idleServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				protocol := pgproto3.NewBackend(conn, conn)
				if _, err := protocol.ReceiveStartupMessage(); err != nil {
					return
				}
				protocol.Send(&pgproto3.AuthenticationOk{})
				protocol.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
				protocol.Send(&pgproto3.ReadyForQuery{TxStatus: backend.Idle})
				_ = protocol.Flush()
			}()
		}
	}()
	return listener.Addr().String()
}

// TestLateCancelReachesNobodyElse: a cancel request may arrive after the statement has ended. The
// connection must not be given to another caller then, whose statement would be canceled.
func TestLateCancelReachesNobodyElse(t *testing.T) {
	for _, canceled := range []bool{false, true} {
		pool := backend.NewPool(backend.Address{Server: idleServer(t), User: "u", Database: "d"})
		t.Cleanup(pool.CloseAll)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		conn, err := pool.Acquire(ctx)
		must.NoError(t, err)
		id := group.RequestID{Number: 1}
		current := &call{request: &request.Request{}}
		server := &Server{pools: []*backend.Pool{pool}, ctx: ctx, log: zap.NewNop(), calls: map[group.RequestID]*call{id: current}}
		must.True(t, current.setConn(conn))
		if canceled {
			server.cancelRun(group.CancelRun{ID: id})
		}
		current.setConn(nil)
		server.completedResult(current, group.Run{ID: id}, conn, backend.RunReport{Synced: true, Status: backend.Idle})
		_, idle, _ := pool.Stats()
		must.Eq(t, !canceled, idle == 1)
	}
}
