package owner

import (
	"context"
	"time"

	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/group"
)

// statusTimeout bounds one status question, dialing included.
const statusTimeout = 500 * time.Millisecond

// statusLoop answers Ask effects for one server on a connection of its own.
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
		case number := <-s.asks[index]:
			conn = s.askOnce(index, number, conn)
		}
	}
}

// askOnce asks one question and returns the connection if it is still good.
func (s *Server) askOnce(index int, number uint64, conn *backend.Conn) *backend.Conn {
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
