// Package owner carries out a group machine's effects: it holds the connection
// pools of the groups that this node serves, asks the servers for their status
// and runs requests.
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

// Limits on what is held in memory for one answer.
const (
	// chunkBytes is the size from which a read's answer is passed on in parts.
	chunkBytes = 32 << 10
	// maxHeldBytes bounds an answer that is held back until its confirmation.
	maxHeldBytes = 16 << 20
)

// call is a request inside this node.
type call struct {
	request *request.Request
	chunk   func([]byte) error
	// instructions carries Run and Reply effects to the request's goroutine.
	instructions chan group.Effect
	data         []byte
	status       byte
	synced       bool
	passedOn     bool
	mu           sync.Mutex
	conn         *backend.Conn // while a run uses it
	canceled     bool
}

// Server serves one group.
type Server struct {
	config  *configuration.Group
	log     *zap.Logger
	started time.Time
	pools   []*backend.Pool
	asks    []chan uint64
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex // guards machine, calls, pinned and wake
	machine *group.Machine
	calls   map[group.RequestID]*call
	pinned  map[group.SessionID]*backend.Conn
	wake    *time.Timer

	counters *Counters
}

// NewServer starts serving a group.
func NewServer(config *configuration.Group, settings group.Settings, log *zap.Logger, counters *Counters) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		config: config, log: log, started: time.Now(), ctx: ctx, cancel: cancel,
		machine: group.New(settings), calls: map[group.RequestID]*call{},
		pinned: map[group.SessionID]*backend.Conn{}, counters: counters,
	}
	for index := range config.Servers {
		server.pools = append(server.pools, backend.NewPool(server.address(index)))
		server.asks = append(server.asks, make(chan uint64, 1))
	}
	server.wake = time.AfterFunc(time.Hour, func() { server.step(group.Tick{}) })
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

// Close ends all work for the group. Requests in progress get no result from
// here; close only what has drained, or a node that goes down at once.
func (s *Server) Close() {
	s.cancel()
	s.wake.Stop()
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

// step applies an event and carries out its effects. Effects only hand work to
// other goroutines, so that holding the lock keeps their order at little cost.
func (s *Server) step(event group.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	now := s.now()
	for _, effect := range s.machine.Step(now, event) {
		s.carryOut(effect)
	}
	s.wake.Reset(s.machine.NextWake() - now)
}

func (s *Server) carryOut(effect group.Effect) {
	switch typed := effect.(type) {
	case group.Run:
		s.instruct(typed.ID, typed)
	case group.Reply:
		s.instruct(typed.ID, typed)
		delete(s.calls, typed.ID)
	case group.Ask:
		select {
		case s.asks[typed.Server] <- typed.Number:
		default: // the loop is busy with a question that has timed out
		}
	case group.Disconnect:
		s.log.Info("owner: server is unfit, closing its connections", zap.String("group", s.config.Name), zap.Int("server", typed.Server))
		s.pools[typed.Server].CloseAll()
	case group.Abort:
		s.abort(typed.Session)
	case group.CancelRun:
		s.cancelRun(typed)
	}
}

// instruct hands an effect to its request's goroutine. The channel has room for
// every instruction that can be outstanding: one run and one reply.
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
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
			defer cancel()
			if err := conn.Cancel(ctx); err != nil {
				s.log.Info("owner: cancel request failed", zap.Error(err))
			}
		}()
	}
}

// cancelTimeout bounds sending a cancel request.
const cancelTimeout = time.Second

// instructionRoom is the greatest number of instructions outstanding at a time.
const instructionRoom = 4

// Submit runs a request; it implements request.Server.
func (s *Server) Submit(_ context.Context, submitted *request.Request, chunk func([]byte) error) (request.Result, error) {
	current := &call{request: submitted, chunk: chunk, instructions: make(chan group.Effect, instructionRoom), status: backend.Idle, synced: true}
	s.mu.Lock()
	if _, twice := s.calls[submitted.Info.ID]; twice {
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

// result combines the machine's verdict with the answer held for it.
func (s *Server) result(current *call, reply group.Reply) request.Result {
	s.counters.observe(current.request, reply)
	if reply.Kind != failure.None {
		return request.Failed(reply.Kind, "", reply.RetryAfter)
	}
	return request.Result{
		Status: current.status, Synced: current.synced, Position: reply.Position, FromReplica: reply.FromReplica, Data: current.data,
	}
}

// run executes a request on a server's connection.
func (s *Server) run(current *call, instruction group.Run) group.RunResult {
	conn, err := s.connectionFor(instruction)
	if err != nil {
		s.log.Info("owner: no connection", zap.String("group", s.config.Name), zap.Int("server", instruction.Server), zap.Error(err))
		return group.RunResult{Outcome: group.NotStarted}
	}
	if !current.use(conn) || !s.mayBegin(instruction) {
		s.giveBack(instruction, conn, true)
		return group.RunResult{Outcome: group.NotStarted}
	}
	current.data = current.data[:0]
	info := current.request.Info
	held := info.MayCommit || instruction.Confirm
	report, err := conn.Run(current.request.Batch, held, current.sink(held))
	current.use(nil)
	if err != nil {
		s.dropConnection(instruction, conn)
		return lostResult(current, report)
	}
	return s.completed(current, instruction, conn, report)
}

// use notes the connection that a run uses; it reports false when the request
// was canceled before.
func (c *call) use(conn *backend.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return !c.canceled
}

func lostResult(current *call, report backend.RunReport) group.RunResult {
	switch {
	case !report.Sent:
		return group.RunResult{Outcome: group.NotStarted}
	case current.passedOn:
		return group.RunResult{Outcome: group.LostPartway}
	default:
		return group.RunResult{Outcome: group.Lost}
	}
}

// SQLSTATEs with which a server refuses before running (PostgreSQL, appendix A).
const (
	codeReadOnly      = "25006"
	codeTooMany       = "53300"
	codeCannotConnect = "57P03"
)

func (s *Server) completed(current *call, instruction group.Run, conn *backend.Conn, report backend.RunReport) group.RunResult {
	info := current.request.Info
	open := !report.Synced || report.Status != backend.Idle
	mustWrite := report.FirstError == codeReadOnly && info.ReadOnly && !instruction.Pinned && !current.passedOn && !report.CommandCompleted && !open
	if mustWrite {
		s.giveBack(instruction, conn, true)
		return group.RunResult{Outcome: group.MustWrite}
	}
	current.status, current.synced = report.Status, report.Synced
	if open {
		s.keep(current, instruction.Server, conn)
	} else {
		s.giveBack(instruction, conn, true)
	}
	return group.RunResult{
		Outcome: group.Completed, TransactionOpen: open,
		Wrote: info.MayCommit && !open && (report.CommandCompleted || report.FirstError == ""), Position: report.Position,
	}
}

// mayBegin reports whether the machine's decision to begin new work still holds.
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

// keep holds a connection for its session's transaction. If the session ended
// meanwhile, the connection is closed, which rolls the transaction back.
func (s *Server) keep(current *call, server int, conn *backend.Conn) {
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

func (s *Server) giveBack(instruction group.Run, conn *backend.Conn, clean bool) {
	if instruction.Pinned {
		s.unpin(instruction.ID.Session)
	}
	if clean {
		s.pools[instruction.Server].Release(conn)
	} else {
		s.pools[instruction.Server].Discard(conn)
	}
}

func (s *Server) dropConnection(instruction group.Run, conn *backend.Conn) {
	s.giveBack(instruction, conn, false)
}

// sink collects the answer. It is passed on in parts once it is large, unless it
// must be held until the machine releases it.
func (c *call) sink(held bool) func([]byte) error {
	return func(message []byte) error {
		c.data = append(c.data, message...)
		if len(c.data) > maxHeldBytes {
			return failure.New(failure.TooLarge, "the answer of a write exceeds what is held until its confirmation")
		}
		if held || len(c.data) < chunkBytes {
			return nil
		}
		c.passedOn = true
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

// SetAccepting opens or closes the group for new requests here.
func (s *Server) SetAccepting(open bool) { s.step(group.Accept{Open: open}) }

// SetLeaving marks a server for a planned stop.
func (s *Server) SetLeaving(index int, on bool) { s.step(group.Leaving{Server: index, On: on}) }

// SetFresh tells until when new work may begin.
func (s *Server) SetFresh(until time.Time) {
	s.step(group.Fresh{Until: until.Sub(s.started)})
}

// SetLimits changes this node's share of each server's limits.
func (s *Server) SetLimits(slots, connections int) {
	s.step(group.Resize{Slots: slots, Connections: connections})
}

// Status is what operators see of a group at its owner.
type Status struct {
	Servers          []group.ServerView
	Queued           int
	InProgress       int
	OpenTransactions int
}

// Status returns the group's state.
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

// trimInterval is the time between looks for idle connections.
const trimInterval = 10 * time.Second
