package remote

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/framing"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/upstream"
)

// Server is a database server as its owner accesses it.
type Server interface {
	// Acquire returns a connection of a principal.
	Acquire(principal upstream.Principal, deadline time.Time) (*upstream.Lease, error)
	// Silent reports whether the server does not answer this node.
	Silent() bool
	// Behind returns the server's position, and whether it was recently seen to lack the minimum
	// position.
	Behind(minimum position.Position) (position.Position, bool)
	// Enter waits for a slot on the server until the deadline and reports whether it got one. Leave
	// gives the slot back.
	Enter(work admission.Request, deadline time.Time) bool
	Leave(class admission.Class, batch *upstream.Batch, result *upstream.Result)
	// Report returns the current load report on the server.
	Report() loadreport.Report
	// Proof returns the newest known position that covers all commits acknowledged before a time;
	// zero if none is known.
	Proof() (at time.Time, covers position.Position)
}

// Host finds the servers that a node may own.
type Host interface {
	// Owned returns a server, or nil if the node does not know it.
	Owned(server string) Server
}

// Owner serves links of other nodes. It is safe for concurrent use.
type Owner struct {
	host Host

	mu      sync.Mutex
	links   map[*hostLink]struct{}
	leaving bool
	// aborting is set once open transactions are rolled back.
	aborting atomic.Bool
}

// NewOwner returns an owner of a host's connections.
func NewOwner(host Host) *Owner { return &Owner{host: host, links: map[*hostLink]struct{}{}} }

// AnnounceLeaving asks all linked nodes to use other owners for new work. Running work continues.
func (o *Owner) AnnounceLeaving() {
	o.mu.Lock()
	o.leaving = true
	links := maps.Clone(o.links)
	o.mu.Unlock()
	for l := range links {
		go l.sendLeaving()
	}
}

// Abort rolls back the open transactions and refuses all further work. Running batches continue.
func (o *Owner) Abort() {
	o.aborting.Store(true)
	o.mu.Lock()
	links := maps.Clone(o.links)
	o.mu.Unlock()
	for l := range links {
		l.endAll()
	}
}

// Close ends all links.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for l := range o.links {
		_ = l.conn.Close()
	}
}

// Active counts the sessions with a running batch or an open transaction.
func (o *Owner) Active() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	active := 0
	for l := range o.links {
		active += l.active()
	}
	return active
}

// Serve serves a link until its connection ends, and then rolls back its open transactions.
func (o *Owner) Serve(conn net.Conn) {
	l := &hostLink{
		host: o.host, aborting: &o.aborting, conn: conn, w: newWriter(conn), streams: map[uint64]*hostStream{},
	}
	o.mu.Lock()
	o.links[l] = struct{}{}
	leaving := o.leaving
	o.mu.Unlock()
	if leaving {
		l.sendLeaving()
	}
	l.readLoop(bufio.NewReaderSize(conn, readBufferBytes))
	_ = conn.Close()
	o.mu.Lock()
	delete(o.links, l)
	o.mu.Unlock()
	l.endAll()
}

// hostLink is the owner's end of a link.
type hostLink struct {
	host Host
	// aborting is that of the owner.
	aborting *atomic.Bool
	conn     net.Conn
	w        *framing.Writer

	mu      sync.Mutex
	streams map[uint64]*hostStream
}

// hostStream is a session with an open transaction or a running batch. Batches of a stream never
// overlap because its user waits for each response.
type hostStream struct {
	lease  *upstream.Lease
	values map[string]string
	state  upstream.TransactionState
	// running and closing are guarded by the link's mutex. closing is set if the stream has to end
	// after the running batch.
	running bool
	closing bool
}

func (l *hostLink) sendLeaving() { _ = l.w.Send(frameLeaving, 0, &empty{}) }

func (l *hostLink) readLoop(r *bufio.Reader) {
	for {
		f, err := framing.Read(r, maxFrameBytes)
		if err != nil {
			return
		}
		switch f.Kind {
		case frameRequest:
			req := new(request)
			if codec.Decode(f.Body, req) != nil || !req.valid() || !l.startBatch(f.Stream, req) {
				return
			}
		case frameEnd:
			l.end(f.Stream)
		case framePing:
			_ = l.w.Send(framePong, 0, &empty{})
		default:
			return
		}
	}
}

// startBatch starts a batch. It returns false if one is already running on the stream.
func (l *hostLink) startBatch(streamID uint64, req *request) bool {
	received := time.Now()
	l.mu.Lock()
	stream := l.streams[streamID]
	if stream != nil && stream.running {
		l.mu.Unlock()
		return false
	}
	if stream == nil {
		stream = &hostStream{values: map[string]string{}}
		l.streams[streamID] = stream
	}
	stream.running = true
	l.mu.Unlock()
	go func() {
		resp := l.run(stream, req, received)
		l.finish(streamID, stream)
		l.respond(streamID, resp)
	}()
	return true
}

// respond sends a response. If it is too large for a frame, its results are lost.
func (l *hostLink) respond(streamID uint64, resp *response) {
	var tooLarge *framing.TooLargeError
	if errors.As(l.w.Send(frameResponse, streamID, resp), &tooLarge) {
		_ = l.w.Send(frameResponse, streamID, &response{Lost: true})
	}
}

// finish ends a batch, and also the stream if it has no open transaction or has to end.
func (l *hostLink) finish(streamID uint64, stream *hostStream) {
	l.mu.Lock()
	stream.running = false
	ends := stream.closing || stream.lease == nil
	if ends {
		delete(l.streams, streamID)
	}
	l.mu.Unlock()
	if ends {
		stream.end()
	}
}

func (l *hostLink) run(stream *hostStream, req *request, received time.Time) *response {
	if l.aborting.Load() {
		// The rollback of an open transaction makes it certain that nothing of it is kept.
		stream.end()
		return &response{Results: notRun(req.Operations, upstream.Unreached, upstream.Idle)}
	}
	target := l.host.Owned(req.Server)
	if req.Open != (stream.lease != nil) {
		// One side assumes a transaction that the other one has ended.
		stream.end()
		return &response{Lost: true}
	}
	if target == nil {
		stream.end()
		return &response{Results: notRun(req.Operations, upstream.Unreached, upstream.Idle)}
	}
	resp := stream.run(target, req, received)
	if at, covers := target.Proof(); !covers.IsZero() {
		resp.Proof, resp.ProofAge = covers, time.Since(at)
	}
	load := target.Report()
	load.OwnerDelay = loadreport.Milliseconds(time.Since(received))
	resp.Load = &load
	return resp
}

func notRun(operations []upstream.Operation, outcome upstream.Outcome, state upstream.TransactionState) []upstream.Result {
	results := make([]upstream.Result, len(operations))
	for i := range results {
		results[i] = upstream.Result{Outcome: outcome, State: state}
	}
	return results
}

// end rolls back a stream's transaction, after its running batch if there is one.
func (l *hostLink) end(streamID uint64) {
	l.mu.Lock()
	stream := l.streams[streamID]
	if stream == nil || stream.running {
		if stream != nil {
			stream.closing = true
		}
		l.mu.Unlock()
		return
	}
	delete(l.streams, streamID)
	l.mu.Unlock()
	go stream.end()
}

func (l *hostLink) endAll() {
	l.mu.Lock()
	streamIDs := slices.Collect(maps.Keys(l.streams))
	l.mu.Unlock()
	for _, streamID := range streamIDs {
		l.end(streamID)
	}
}

// active counts the streams with a running batch or an open transaction.
func (l *hostLink) active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

// end rolls back an open transaction.
func (s *hostStream) end() {
	if s.lease != nil {
		s.lease.RollBack()
		s.lease = nil
	}
}

// run runs a batch if the server has the minimum position, a slot and a connection for it.
func (s *hostStream) run(target Server, req *request, received time.Time) *response {
	deadline := received.Add(req.Budget)
	slot := slotOperation(req.Operations)
	operations := req.Operations
	if s.lease == nil {
		if at, behind := target.Behind(minimumPosition(operations)); behind {
			return &response{Results: behindResults(operations, at)}
		}
	}
	if slot >= 0 && !target.Enter(s.admissionRequest(req, received), earlier(deadline, received.Add(req.Ticket.Wait))) {
		return s.reject(target, operations, deadline)
	}
	if s.lease == nil {
		lease, err := target.Acquire(req.Principal, earlier(deadline, time.Now().Add(acquireTimeout)))
		if err != nil {
			if slot >= 0 {
				target.Leave(req.Ticket.Class, &upstream.Batch{Err: err}, nil)
			}
			return &response{Results: notRun(operations, acquireOutcome(target, err), upstream.Idle)}
		}
		s.lease = lease
	}
	return s.runOn(target, operations, slot, req.Ticket.Class, deadline)
}

// minimumPosition returns the position that operations require; zero if they require none.
func minimumPosition(operations []upstream.Operation) position.Position {
	for i := range operations {
		if !operations[i].MinimumPosition.IsZero() {
			return operations[i].MinimumPosition
		}
	}
	return position.Position{}
}

// behindResults returns the results of operations that did not run because the server's position is
// too old.
func behindResults(operations []upstream.Operation, at position.Position) []upstream.Result {
	results := notRun(operations, upstream.Behind, upstream.Idle)
	for i := range results {
		results[i].Position = at
	}
	return results
}

// acquireTimeout bounds the wait for a connection.
const acquireTimeout = 150 * time.Millisecond

// runOn runs operations on the stream's connection. If slot is not negative, it is the index of the
// operation for which work of a class has entered the server, and runOn ends that work.
func (s *hostStream) runOn(target Server, operations []upstream.Operation, slot int, class admission.Class, deadline time.Time) *response {
	plan := s.plan(operations)
	if len(plan.operations) == 0 {
		return &response{Results: plan.requestResults(nil, len(operations))}
	}
	batch := s.lease.Run(plan.operations, deadline)
	resp := &response{Results: plan.requestResults(batch.Results, len(operations)), Lost: batch.Err != nil}
	// This runs after the connection is returned, so that the next admitted work can use it.
	if slot >= 0 {
		defer func() {
			var result *upstream.Result
			if slot < len(resp.Results) {
				result = &resp.Results[slot]
			}
			target.Leave(class, &batch, result)
		}()
	}
	switch {
	case batch.Err != nil:
		s.lease.Discard()
		s.lease = nil
	case batch.Last().State == upstream.Idle:
		s.lease.Return()
		s.lease = nil
	default:
		s.state = batch.Last().State
	}
	return resp
}

// reject returns the results of operations for which there was no slot in time. Rollbacks need no
// slot and run nevertheless.
func (s *hostStream) reject(target Server, operations []upstream.Operation, deadline time.Time) *response {
	if s.lease == nil {
		return &response{Results: notRun(operations, upstream.Busy, upstream.Idle)}
	}
	results := notRun(operations, upstream.Busy, s.state)
	for i := range operations {
		if operations[i].Kind != upstream.Rollback {
			continue
		}
		resp := s.runOn(target, operations[i:i+1], -1, 0, deadline)
		if resp.Lost || len(resp.Results) == 0 {
			return &response{Results: results[:i], Lost: true}
		}
		results[i] = resp.Results[0]
	}
	return &response{Results: results}
}

// slotOperation returns the index of the first operation that uses a slot, or -1.
func slotOperation(operations []upstream.Operation) int {
	for i := range operations {
		if operations[i].Kind.UsesSlot() {
			return i
		}
	}
	return -1
}

// admissionRequest returns the request for a slot on the server.
func (s *hostStream) admissionRequest(req *request, received time.Time) admission.Request {
	ticket := &req.Ticket
	return admission.Request{
		Class: ticket.Class, Priority: ticket.Priority, Arrived: received.Add(-ticket.Age), Principal: string(req.Principal), HasConnection: s.lease != nil,
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// acquireOutcome returns the outcome of operations for which no connection was acquired.
func acquireOutcome(target Server, err error) upstream.Outcome {
	if rejection, rejected := upstream.RefusalOf(err); rejected {
		if rejection == upstream.ConnectionLimit {
			return upstream.NoConnection
		}
		return rejection
	}
	if (errors.Is(err, upstream.ErrNoConnection) || errors.Is(err, os.ErrDeadlineExceeded)) && !target.Silent() {
		return upstream.NoConnection
	}
	return upstream.Unreached
}

// batchPlan holds the operations to run on a connection for a request.
type batchPlan struct {
	operations []upstream.Operation
	// indexes maps each operation of the request to its index in operations, or to -1 if it needs
	// no answer of the server.
	indexes []int
}

// plan records session values, and adds only the values and prepared statements that the connection
// lacks.
func (s *hostStream) plan(operations []upstream.Operation) batchPlan {
	var p batchPlan
	for i := range operations {
		operation := &operations[i]
		switch operation.Kind {
		case upstream.ResetSession:
			clear(s.values)
			p.indexes = append(p.indexes, -1)
			continue
		case upstream.SetValue:
			s.values[operation.Name] = operation.Value
			p.indexes = append(p.indexes, -1)
			continue
		case upstream.PrepareStatement:
			p.indexes = append(p.indexes, -1)
			continue
		case upstream.RunStatement:
			p.operations = append(p.operations, s.lease.Adapt(s.values, operation.Statement)...)
		case upstream.Begin, upstream.BeginReadOnly, upstream.Commit:
			p.operations = append(p.operations, s.lease.Adapt(s.values, nil)...)
		default:
		}
		p.indexes = append(p.indexes, len(p.operations))
		p.operations = append(p.operations, *operation)
	}
	return p
}

// requestResults returns the results of the request's operations, up to the first without an
// answer.
func (p *batchPlan) requestResults(results []upstream.Result, count int) []upstream.Result {
	answered := make([]upstream.Result, 0, count)
	for _, index := range p.indexes {
		switch {
		case index < 0:
			answered = append(answered, upstream.Result{Outcome: upstream.Succeeded})
		case index < len(results):
			answered = append(answered, results[index])
		default:
			return answered
		}
	}
	return answered
}
