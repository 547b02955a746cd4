package owner

import (
	"context"
	"time"

	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/group"
)

// statusTimeout is the timeout of one status query, dialing included.
const statusTimeout = 500 * time.Millisecond

// statusLoop serves the Ask effects for one server on a dedicated connection.
func (s *Server) statusLoop(index int) {
	defer s.done.Done()
	var conn *backend.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-s.ctx.Done():
			return
		case number := <-s.statusQueries[index]:
			conn = s.queryStatus(index, number, conn)
		}
	}
}

// queryStatus sends one status query. It returns the connection, or nil if it failed.
func (s *Server) queryStatus(index int, number uint64, conn *backend.Conn) *backend.Conn {
	deadline := time.Now().Add(statusTimeout)
	if conn == nil {
		ctx, cancel := context.WithDeadline(s.ctx, deadline)
		dialed, err := backend.Dial(ctx, s.address(index))
		cancel()
		if err != nil {
			s.step(group.StatusFailure{Server: index, Ask: number})
			return nil
		}
		conn = dialed
	}
	report, err := conn.Status(deadline)
	if err != nil {
		conn.Close()
		s.step(group.StatusFailure{Server: index, Ask: number})
		return nil
	}
	s.step(group.StatusAnswer{Server: index, Ask: number, Report: report})
	return conn
}
