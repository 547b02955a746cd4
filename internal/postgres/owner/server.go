// Package owner serves database groups on their owner and standby nodes. It applies the
// effects of each group's machine: it runs requests on pooled connections and polls the
// status of the database servers.
package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/failure"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/request"
)

// Limits of the memory for one answer.
const (
	// chunkBytes is the size at which a part of a read's answer is sent to the listener.
	chunkBytes = 32 << 10
	// maxBufferedBytes is the maximum size of an answer that is buffered until its confirmation.
	maxBufferedBytes = 16 << 20
)

// call is the state of a request in progress.
type call struct {
	request *request.Request
	chunk   func([]byte) error
	// instructions passes Run and Reply effects to the request's goroutine.
	instructions chan group.Effect
	data         []byte // buffered part of the answer
	status       byte
	synced       bool
	chunkSent    bool          // a part of the answer was sent
	mu           sync.Mutex    // guards conn and canceled
	conn         *backend.Conn // the running batch's connection, nil if none
	canceled     bool
}

// Server serves one group.
type Server struct {
	config        *configuration.Group
	log           *zap.Logger
	started       time.Time
	pools         []*backend.Pool
	statusQueries []chan uint64 // number of the pending status query, by server
	ctx           context.Context
	cancel        context.CancelFunc
	done          sync.WaitGroup

	mu        sync.Mutex // guards machine, calls, pinned and wakeTimer
	machine   *group.Machine
	calls     map[group.RequestID]*call
	pinned    map[group.SessionID]*backend.Conn
	wakeTimer *time.Timer

	counters *Counters
}

// NewServer starts serving a group.
func NewServer(
	config *configuration.Group, settings group.Settings, log *zap.Logger, counters *Counters,
) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		config: config, log: log, started: time.Now(), ctx: ctx, cancel: cancel,
		machine: group.New(settings), calls: map[group.RequestID]*call{},
		pinned: map[group.SessionID]*backend.Conn{}, counters: counters,
	}
	for index := range config.Servers {
		server.pools = append(server.pools, backend.NewPool(server.address(index)))
		server.statusQueries = append(server.statusQueries, make(chan uint64, 1))
	}
	server.wakeTimer = time.AfterFunc(time.Hour, func() { server.step(group.Tick{}) })
	for index := range config.Servers {
		server.done.Add(1)
		go server.statusLoop(index)
	}
	server.done.Add(1)
	go server.trimLoop()
	server.step(group.Tick{})
	return server
}

func (s *Server) address(index int) backend.Address {
	database := s.config.Database
	if database == "" {
		database = s.config.Name
	}
	return backend.Address{
		Server: s.config.Servers[index].Address, User: s.config.User, Password: s.config.Password, Database: database,
	}
}

// Close ends all work for the group. Requests in progress fail with a LinkError, so Close
// should only be called after the group has drained or when the node stops at once.
func (s *Server) Close() {
	s.cancel()
	s.wakeTimer.Stop()
	for _, pool := range s.pools {
		pool.CloseAll()
	}
	s.mu.Lock()
	for _, conn := range s.pinned {
		conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

// step passes an event to the machine and applies the effects. The lock is held meanwhile to
// keep their order; it is held briefly, because effects only pass work to other goroutines.
func (s *Server) step(event group.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	now := s.now()
	for _, effect := range s.machine.Step(now, event) {
		s.applyEffect(effect)
	}
	s.wakeTimer.Reset(s.machine.NextWake() - now)
}

func (s *Server) applyEffect(effect group.Effect) {
	switch typed := effect.(type) {
	case group.Run:
		s.instruct(typed.ID, typed)
	case group.Reply:
		s.instruct(typed.ID, typed)
		delete(s.calls, typed.ID)
	case group.Ask:
		select {
		case s.statusQueries[typed.Server] <- typed.Number:
		default: // statusLoop is still busy with a query that has timed out
		}
	case group.Disconnect:
		s.log.Info("owner: server is unfit, closing its connections",
			zap.String("group", s.config.Name), zap.Int("server", typed.Server))
		s.pools[typed.Server].CloseAll()
	case group.Abort:
		s.abort(typed.Session)
	case group.CancelRun:
		s.cancelRun(typed)
	}
}

// instruct passes an effect to its request's goroutine. It doesn't block: the channel has
// capacity for all instructions that can be outstanding, which are one run and one reply.
func (s *Server) instruct(id group.RequestID, effect group.Effect) {
	if current := s.calls[id]; current != nil {
		current.instructions <- effect
	}
}

func (s *Server) abort(session group.SessionID) {
	conn := s.pinned[session]
	if conn == nil {
		return
	}
	delete(s.pinned, session)
	for _, pool := range s.pools {
		pool.Discard(conn)
	}
}

func (s *Server) cancelRun(effect group.CancelRun) {
	current := s.calls[effect.ID]
	if current == nil {
		return
	}
	current.mu.Lock()
	defer current.mu.Unlock()
	current.canceled = true
	if conn := current.conn; conn != nil {
		conn.ExpectCancel()
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
			defer cancel()
			if err := conn.Cancel(ctx); err != nil {
				s.log.Info("owner: cancel request failed", zap.Error(err))
			}
		}()
	}
}

// cancelTimeout is the timeout of sending a cancel request.
const cancelTimeout = time.Second

// instructionCapacity is at least the number of instructions that can be outstanding.
const instructionCapacity = 4

// Submit runs a request; it implements request.Server.
func (s *Server) Submit(
	_ context.Context, submitted *request.Request, chunk func([]byte) error,
) (request.Result, error) {
	current := &call{
		request: submitted, chunk: chunk, instructions: make(chan group.Effect, instructionCapacity),
		status: backend.Idle, synced: true,
	}
	s.mu.Lock()
	if _, duplicate := s.calls[submitted.Info.ID]; duplicate {
		s.mu.Unlock()
		return request.Failed(failure.Protocol, "request number used twice", 0), nil
	}
	s.calls[submitted.Info.ID] = current
	s.mu.Unlock()
	s.step(group.Arrive{Request: submitted.Info})
	for {
		select {
		case instruction := <-current.instructions:
			switch typed := instruction.(type) {
			case group.Run:
				result := s.run(current, typed)
				s.step(group.Finish{ID: typed.ID, Server: typed.Server, Result: result})
			case group.Reply:
				return s.result(current, typed), nil
			}
		case <-s.ctx.Done():
			return request.Result{}, &request.LinkError{Peer: "owner", Sent: true, Cause: s.ctx.Err()}
		}
	}
}

// result makes the result of a request from the machine's reply and the buffered answer.
func (s *Server) result(current *call, reply group.Reply) request.Result {
	s.counters.observe(current.request, reply)
	if reply.Kind != failure.None {
		return request.Failed(reply.Kind, "", reply.RetryAfter)
	}
	return request.Result{
		Status: current.status, Synced: current.synced, Position: reply.Position,
		FromReplica: reply.FromReplica, Data: current.data,
	}
}

// run executes a request on a server's connection.
func (s *Server) run(current *call, instruction group.Run) group.RunResult {
	conn, err := s.connectionFor(instruction)
	if err != nil {
		s.log.Info("owner: no connection",
			zap.String("group", s.config.Name), zap.Int("server", instruction.Server), zap.Error(err))
		return group.RunResult{Outcome: group.NotStarted}
	}
	if !current.setConn(conn) || !s.mayBegin(instruction) {
		s.releaseConnection(instruction, conn, true)
		return group.RunResult{Outcome: group.NotStarted}
	}
	current.data = current.data[:0]
	info := current.request.Info
	buffered := info.MayCommit || instruction.Confirm
	report, err := conn.Run(current.request.Batch, buffered, current.sink(buffered))
	current.setConn(nil)
	if err != nil {
		s.discardConnection(instruction, conn)
		return lostResult(current, report)
	}
	return s.completedResult(current, instruction, conn, report)
}

// setConn sets the connection of the running batch, so that it can be canceled. It reports
// false if the request is already canceled.
func (c *call) setConn(conn *backend.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return !c.canceled
}

func lostResult(current *call, report backend.RunReport) group.RunResult {
	switch {
	case !report.Sent:
		return group.RunResult{Outcome: group.NotStarted}
	case current.chunkSent:
		return group.RunResult{Outcome: group.LostPartway}
	default:
		return group.RunResult{Outcome: group.Lost}
	}
}

// SQLSTATEs with which a server rejects a request before running it (PostgreSQL, appendix A).
const (
	codeReadOnly      = "25006"
	codeTooMany       = "53300"
	codeCannotConnect = "57P03"
)

func (s *Server) completedResult(
	current *call, instruction group.Run, conn *backend.Conn, report backend.RunReport,
) group.RunResult {
	info := current.request.Info
	open := !report.Synced || report.Status != backend.Idle
	mustWrite := report.FirstError == codeReadOnly && info.ReadOnly && !instruction.Pinned &&
		!current.chunkSent && !report.CommandCompleted && !open
	if mustWrite {
		s.releaseConnection(instruction, conn, true)
		return group.RunResult{Outcome: group.MustWrite}
	}
	current.status, current.synced = report.Status, report.Synced
	if open {
		s.pin(current, instruction.Server, conn)
	} else {
		s.releaseConnection(instruction, conn, true)
	}
	return group.RunResult{
		Outcome: group.Completed, TransactionOpen: open,
		Wrote:    info.MayCommit && !open && (report.CommandCompleted || report.FirstError == ""),
		Position: report.Position,
	}
}

// mayBegin reports whether the request may still begin. The machine's decision can be outdated
// once a connection has been acquired.
func (s *Server) mayBegin(instruction group.Run) bool {
	if instruction.Pinned {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.MayBegin(s.now(), instruction.Server)
}

func (s *Server) connectionFor(instruction group.Run) (*backend.Conn, error) {
	if !instruction.Pinned {
		return s.pools[instruction.Server].Acquire(s.ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.pinned[instruction.ID.Session]
	if conn == nil {
		return nil, failure.New(failure.TransactionLost, "its connection was closed")
	}
	return conn, nil
}

// pin keeps a connection for the transaction of its session. If the session has ended
// meanwhile, the connection is closed, which rolls the transaction back.
func (s *Server) pin(current *call, server int, conn *backend.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := current.request.Info.ID
	if s.calls[id] != current {
		delete(s.pinned, id.Session)
		s.pools[server].Discard(conn)
		return
	}
	s.pinned[id.Session] = conn
}

func (s *Server) unpin(session group.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pinned, session)
}

func (s *Server) releaseConnection(instruction group.Run, conn *backend.Conn, clean bool) {
	if instruction.Pinned {
		s.unpin(instruction.ID.Session)
	}
	if clean {
		s.pools[instruction.Server].Release(conn)
	} else {
		s.pools[instruction.Server].Discard(conn)
	}
}

func (s *Server) discardConnection(instruction group.Run, conn *backend.Conn) {
	s.releaseConnection(instruction, conn, false)
}

// sink returns a function that collects the answer. Unless the answer must be buffered until
// the machine releases it, it is sent in parts of at least chunkBytes.
func (c *call) sink(buffered bool) func([]byte) error {
	return func(message []byte) error {
		c.data = append(c.data, message...)
		if len(c.data) > maxBufferedBytes {
			return failure.New(failure.TooLarge, "the answer of a write exceeds what is held until its confirmation")
		}
		if buffered || len(c.data) < chunkBytes {
			return nil
		}
		c.chunkSent = true
		err := c.chunk(c.data)
		c.data = c.data[:0]
		return err
	}
}

// EndSession implements request.Server.
func (s *Server) EndSession(_ string, session group.SessionID) {
	s.step(group.SessionEnd{Session: session})
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, current := range s.calls {
		if id.Session == session {
			delete(s.calls, id)
			current.instructions <- group.Reply{ID: id, Kind: failure.Canceled}
		}
	}
}

// Cancel implements request.Server.
func (s *Server) Cancel(_ string, id group.RequestID) { s.step(group.Cancel{ID: id}) }

// SetAccepting sets whether this node accepts new requests for the group.
func (s *Server) SetAccepting(open bool) { s.step(group.Accept{Open: open}) }

// SetLeaving marks or unmarks a server as leaving, which precedes a planned stop.
func (s *Server) SetLeaving(index int, on bool) { s.step(group.Leaving{Server: index, On: on}) }

// SetFresh sets the time until which new work may begin.
func (s *Server) SetFresh(until time.Time) {
	s.step(group.Fresh{Until: until.Sub(s.started)})
}

// SetLimits sets this node's share of each server's limits.
func (s *Server) SetLimits(slots, connections int) {
	s.step(group.Resize{Slots: slots, Connections: connections})
}

// Status is a group's status on this node, for operators.
type Status struct {
	Servers          []group.ServerView
	Queued           int
	InProgress       int
	OpenTransactions int
}

// Status returns the group's status.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Servers: s.machine.Servers(), Queued: s.machine.Queued(),
		InProgress: s.machine.InProgress(), OpenTransactions: s.machine.OpenTransactions(),
	}
}

func (s *Server) trimLoop() {
	defer s.done.Done()
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			for _, pool := range s.pools {
				pool.Trim()
			}
		}
	}
}

// trimInterval is the interval between checks for idle connections.
const trimInterval = 10 * time.Second
