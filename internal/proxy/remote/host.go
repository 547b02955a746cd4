package remote

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/framing"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/upstream"
)

// Server is a database server as its owner reaches it.
type Server interface {
	// Lend lends a connection of a principal.
	Lend(principal upstream.Principal, deadline time.Time) (*upstream.Lease, error)
	// Silent reports whether the server does not answer this node.
	Silent() bool
	// Behind returns the server's position, and whether it has just been seen to lack
	// another one.
	Behind(floor position.Position) (position.Position, bool)
	// Enter waits for leave to run on the server; Leave ends what was let in.
	Enter(place admission.Request, deadline time.Time) bool
	Leave(class admission.Class, batch *upstream.Batch, result *upstream.Result)
	// Report returns what waits for the server.
	Report() told.Report
	// Proof returns the newest position that covers all commits acknowledged
	// before a time; zero if none is known.
	Proof() (at time.Time, covers position.Position)
}

// Host finds the servers that a node may own.
type Host interface {
	// Owned returns a server, nil if the node does not know it.
	Owned(server string) Server
}

// Owner serves links. It is safe for concurrent use.
type Owner struct {
	host Host

	mu      sync.Mutex
	links   map[*hostLink]struct{}
	leaving bool
}

// NewOwner returns an owner of a host's connections.
func NewOwner(host Host) *Owner { return &Owner{host: host, links: map[*hostLink]struct{}{}} }

// Leave tells all asking nodes to turn to others; what is under way goes on.
func (o *Owner) Leave() {
	o.mu.Lock()
	o.leaving = true
	links := maps.Clone(o.links)
	o.mu.Unlock()
	for l := range links {
		go l.tellLeaving()
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

// Active counts the sessions on which something runs or is open.
func (o *Owner) Active() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	active := 0
	for l := range o.links {
		active += l.active()
	}
	return active
}

// Serve serves a link until its connection ends, and rolls back what is then open.
func (o *Owner) Serve(conn net.Conn) {
	l := &hostLink{
		host: o.host, conn: conn, w: framing.NewWriter(deadlineWriter{conn}), streams: map[uint64]*hostStream{},
	}
	o.mu.Lock()
	o.links[l] = struct{}{}
	leaving := o.leaving
	o.mu.Unlock()
	if leaving {
		l.tellLeaving()
	}
	l.readLoop(bufio.NewReaderSize(conn, readBuffer))
	_ = conn.Close()
	o.mu.Lock()
	delete(o.links, l)
	o.mu.Unlock()
	l.endAll()
}

// hostLink is the owner's end of a link.
type hostLink struct {
	host Host
	conn net.Conn
	w    *framing.Writer

	mu      sync.Mutex
	streams map[uint64]*hostStream
}

// hostStream is a session while a transaction is open or a batch runs. Batches of
// a stream never overlap: its user waits for each answer.
type hostStream struct {
	lease  *upstream.Lease
	values map[string]string
	state  upstream.TransactionState
	// running and closing are guarded by the link's lock: an end that comes
	// while a batch runs waits for it.
	running bool
	closing bool
}

func (l *hostLink) tellLeaving() { _ = l.w.Send(frameLeaving, 0, &empty{}) }

func (l *hostLink) readLoop(r *bufio.Reader) {
	for {
		f, err := framing.Read(r, maxFrameBytes)
		if err != nil {
			return
		}
		switch f.Kind {
		case frameRun:
			asked := new(request)
			if codec.Decode(f.Body, asked) != nil || !asked.acceptable() || !l.take(f.Stream, asked) {
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

// take begins a batch; it reports false if one runs on the stream already.
func (l *hostLink) take(number uint64, asked *request) bool {
	received := time.Now()
	l.mu.Lock()
	stream := l.streams[number]
	if stream != nil && stream.running {
		l.mu.Unlock()
		return false
	}
	if stream == nil {
		stream = &hostStream{values: map[string]string{}}
		l.streams[number] = stream
	}
	stream.running = true
	l.mu.Unlock()
	go func() {
		answered := l.run(stream, asked, received)
		l.finish(number, stream)
		_ = l.w.Send(frameRan, number, answered)
	}()
	return true
}

// finish ends a batch, and the stream if nothing is open on it or it is to end.
func (l *hostLink) finish(number uint64, stream *hostStream) {
	l.mu.Lock()
	stream.running = false
	ends := stream.closing || stream.lease == nil
	if ends {
		delete(l.streams, number)
	}
	l.mu.Unlock()
	if ends {
		stream.end()
	}
}

func (l *hostLink) run(stream *hostStream, asked *request, received time.Time) *response {
	target := l.host.Owned(asked.Server)
	if asked.Open != (stream.lease != nil) {
		// One side believes in a transaction that the other has ended.
		stream.end()
		return &response{Lost: true}
	}
	if target == nil {
		stream.end()
		return &response{Results: notRun(asked.Operations, upstream.Unreached, upstream.Idle)}
	}
	answered := stream.run(target, asked, received)
	if at, covers := target.Proof(); !covers.IsZero() {
		answered.Proof, answered.ProofAge = covers, time.Since(at)
	}
	load := target.Report()
	load.Held = told.Milliseconds(time.Since(received))
	answered.Load = &load
	return answered
}

func notRun(operations []upstream.Operation, outcome upstream.Outcome, state upstream.TransactionState) []upstream.Result {
	results := make([]upstream.Result, len(operations))
	for i := range results {
		results[i] = upstream.Result{Outcome: outcome, State: state}
	}
	return results
}

// end rolls back what is open on a stream, once its batch is over.
func (l *hostLink) end(number uint64) {
	l.mu.Lock()
	stream := l.streams[number]
	if stream == nil || stream.running {
		if stream != nil {
			stream.closing = true
		}
		l.mu.Unlock()
		return
	}
	delete(l.streams, number)
	l.mu.Unlock()
	go stream.end()
}

func (l *hostLink) endAll() {
	l.mu.Lock()
	numbers := slices.Collect(maps.Keys(l.streams))
	l.mu.Unlock()
	for _, number := range numbers {
		l.end(number)
	}
}

// active counts the streams on which something runs or is open.
func (l *hostLink) active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

// end rolls back what is open.
func (s *hostStream) end() {
	if s.lease != nil {
		s.lease.RollBack()
		s.lease = nil
	}
}

// run runs a batch.
func (s *hostStream) run(target Server, asked *request, received time.Time) *response {
	deadline := received.Add(asked.Budget)
	slot := slotOperation(asked.Operations)
	operations := asked.Operations
	if s.lease == nil {
		if at, behind := target.Behind(floorOf(operations)); behind {
			return &response{Results: behindAt(operations, at)}
		}
	}
	if slot >= 0 && !target.Enter(s.place(asked, received), earlier(deadline, received.Add(asked.Ticket.Wait))) {
		return s.refused(target, operations, deadline)
	}
	if s.lease == nil {
		lease, err := target.Lend(asked.Principal, earlier(deadline, time.Now().Add(lendWait)))
		if err != nil {
			if slot >= 0 {
				target.Leave(asked.Ticket.Class, &upstream.Batch{Err: err}, nil)
			}
			return &response{Results: notRun(operations, lendOutcome(target, err), upstream.Idle)}
		}
		s.lease = lease
	}
	return s.runOn(target, operations, slot, asked.Ticket.Class, deadline)
}

// floorOf returns the position that operations need; zero if they need none.
func floorOf(operations []upstream.Operation) position.Position {
	for i := range operations {
		if !operations[i].Floor.IsZero() {
			return operations[i].Floor
		}
	}
	return position.Position{}
}

// behindAt answers operations that did not run, since the server is at an earlier position.
func behindAt(operations []upstream.Operation, at position.Position) []upstream.Result {
	results := notRun(operations, upstream.Behind, upstream.Idle)
	for i := range results {
		results[i].Position = at
	}
	return results
}

// lendWait bounds the wait for a connection.
const lendWait = 150 * time.Millisecond

// runOn runs operations on the stream's connection. If one of them takes a slot, work of
// a class was let in for it.
func (s *hostStream) runOn(target Server, operations []upstream.Operation, slot int, class admission.Class, deadline time.Time) *response {
	plan := s.plan(operations)
	if len(plan.operations) == 0 {
		return &response{Results: plan.visible(nil, len(operations))}
	}
	batch := s.lease.Run(plan.operations, deadline)
	answered := &response{Results: plan.visible(batch.Results, len(operations)), Lost: batch.Err != nil}
	// The connection is given back first: whoever is let in next may use it.
	if slot >= 0 {
		defer func() {
			var result *upstream.Result
			if slot < len(answered.Results) {
				result = &answered.Results[slot]
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
	return answered
}

// refused answers operations for which the server had no slot in time; those
// that take none, such as the end of the transaction, run all the same.
func (s *hostStream) refused(target Server, operations []upstream.Operation, deadline time.Time) *response {
	if s.lease == nil {
		return &response{Results: notRun(operations, upstream.Busy, upstream.Idle)}
	}
	results := notRun(operations, upstream.Busy, s.state)
	for i := range operations {
		if operations[i].Kind != upstream.Rollback {
			continue
		}
		answered := s.runOn(target, operations[i:i+1], -1, 0, deadline)
		if answered.Lost || len(answered.Results) == 0 {
			return &response{Results: results[:i], Lost: true}
		}
		results[i] = answered.Results[0]
	}
	return &response{Results: results}
}

// slotOperation returns the first operation that takes a slot, -1 if there is none.
func slotOperation(operations []upstream.Operation) int {
	for i := range operations {
		if operations[i].Kind.UsesSlot() {
			return i
		}
	}
	return -1
}

// place returns the request's place among the work that waits for the server.
func (s *hostStream) place(asked *request, received time.Time) admission.Request {
	ticket := &asked.Ticket
	return admission.Request{
		Class: ticket.Class, Priority: ticket.Priority, Arrived: received.Add(-ticket.Age), Principal: string(asked.Principal), Holds: s.lease != nil,
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lendOutcome tells what the lack of a connection means.
func lendOutcome(target Server, err error) upstream.Outcome {
	if refusal, refused := upstream.RefusalOf(err); refused {
		if refusal == upstream.ConnectionLimit {
			return upstream.NoConnection
		}
		return refusal
	}
	if (errors.Is(err, upstream.ErrNoConnection) || errors.Is(err, os.ErrDeadlineExceeded)) && !target.Silent() {
		return upstream.NoConnection
	}
	return upstream.Unreached
}

// batchPlan is what runs on a connection for a request's operations.
type batchPlan struct {
	operations []upstream.Operation
	// places holds, for each operation of the request, its place in operations,
	// or -1 if it is answered here.
	places []int
}

// plan leaves session values and prepared statements to what the connection needs.
func (s *hostStream) plan(operations []upstream.Operation) batchPlan {
	var p batchPlan
	for i := range operations {
		operation := &operations[i]
		switch operation.Kind {
		case upstream.ResetSession:
			clear(s.values)
			p.places = append(p.places, -1)
			continue
		case upstream.SetValue:
			s.values[operation.Name] = operation.Value
			p.places = append(p.places, -1)
			continue
		case upstream.PrepareStatement:
			p.places = append(p.places, -1)
			continue
		case upstream.RunStatement:
			p.operations = append(p.operations, s.lease.Adapt(s.values, operation.Statement)...)
		case upstream.Begin, upstream.BeginReadOnly:
			p.operations = append(p.operations, s.lease.Adapt(s.values, nil)...)
		default:
		}
		p.places = append(p.places, len(p.operations))
		p.operations = append(p.operations, *operation)
	}
	return p
}

// visible returns the answers to the request's operations, up to the first that
// was not answered.
func (p *batchPlan) visible(results []upstream.Result, count int) []upstream.Result {
	visible := make([]upstream.Result, 0, count)
	for _, at := range p.places {
		switch {
		case at < 0:
			visible = append(visible, upstream.Result{Outcome: upstream.Succeeded})
		case at < len(results):
			visible = append(visible, results[at])
		default:
			return visible
		}
	}
	return visible
}
