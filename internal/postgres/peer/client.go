package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/framing"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/request"
)

// Times of a link.
const (
	dialTimeout = 500 * time.Millisecond
	// pingInterval is the time between questions for life while streams are open.
	pingInterval = 400 * time.Millisecond
	// silenceLimit is after how long without a frame an open link counts as lost.
	silenceLimit = 1600 * time.Millisecond
	// redialPause is the pause between attempts to reach a peer that is down, and
	// redialAttempts how many are made before a request must ask for more.
	redialPause    = 200 * time.Millisecond
	redialAttempts = 20
)

const readBuffer = 64 << 10

// stream is an open request on a link.
type stream struct {
	frames chan frame
}

// connection is the asking end of one link.
type connection struct {
	*framing.Writer
	conn     net.Conn
	mu       sync.Mutex
	streams  map[uint64]*stream
	next     uint64
	lost     chan struct{}
	cause    error
	lastSeen time.Time
}

// Client reaches one peer. It implements request.Server towards it.
type Client struct {
	id      string
	keys    Keys
	peerID  string
	address string

	mu      sync.Mutex
	current *connection
	// failure is why the last link or attempt ended; nil while the peer is not
	// known to be down. While it is set, redialing goes on aside.
	failure   error
	redialing bool
	closed    bool
}

// NewClient returns a client that dials when it is first used.
func NewClient(id string, keys Keys, peerID, address string) *Client {
	return &Client{id: id, keys: keys, peerID: peerID, address: address}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Close ends the link; requests in progress get a lost link.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.current != nil {
		c.current.fail(errors.New("link closed"))
		c.current = nil
	}
}

// connect returns the open link or dials one. A peer that is known to be down is
// dialed aside: no request waits for a node that is frozen or gone, and the
// listener turns to the stand-by owner at once.
func (c *Client) connect() (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != nil && c.current.alive():
		return c.current, nil
	case c.current != nil:
		c.failure, c.current = c.current.cause, nil
	}
	if c.failure != nil {
		c.redial()
		return nil, c.failure
	}
	connected, err := c.dial()
	if err != nil {
		c.failure = err
		c.redial()
		return nil, err
	}
	c.current = connected
	return connected, nil
}

// redial dials until the peer answers; c.mu is held by the caller.
func (c *Client) redial() {
	if c.redialing || c.closed {
		return
	}
	c.redialing = true
	go func() {
		for attempt := range redialAttempts {
			if attempt > 0 {
				time.Sleep(redialPause)
			}
			connected, err := c.dial()
			if c.redialed(connected, err) {
				return
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.redialing = false
	}()
}

// redialed takes the result of an attempt; it reports whether to stop.
func (c *Client) redialed(connected *connection, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		if err == nil {
			connected.fail(errors.New("link closed"))
		}
		return true
	}
	if err != nil {
		c.failure = err
		return false
	}
	c.current, c.failure, c.redialing = connected, nil, false
	return true
}

func (c *connection) alive() bool {
	select {
	case <-c.lost:
		return false
	default:
		return true
	}
}

func (c *Client) dial() (*connection, error) {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	reader := bufio.NewReaderSize(conn, readBuffer)
	if err := c.handshake(conn, reader); err != nil {
		_ = conn.Close()
		return nil, err
	}
	connected := &connection{Writer: framing.NewWriter(conn), conn: conn, streams: map[uint64]*stream{}, lost: make(chan struct{}), lastSeen: time.Now()}
	go connected.readLoop(reader)
	go connected.watch()
	return connected, nil
}

func (c *Client) handshake(conn net.Conn, reader *bufio.Reader) error {
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	received, err := framing.Read(reader, handshakeBytes)
	if err != nil {
		return err
	}
	asked, err := decodeBody[challenge](received)
	if err != nil {
		return err
	}
	nonce := newNonce()
	out := framing.NewWriter(conn)
	if err := send(out, frameHello, 0, &hello{ID: c.id, Nonce: nonce, Proof: c.keys.Prove(asked.Nonce, []byte(c.id))}); err != nil {
		return err
	}
	if received, err = framing.Read(reader, handshakeBytes); err != nil {
		return err
	}
	answer, err := decodeBody[welcome](received)
	if err != nil {
		return err
	}
	if !c.keys.Accept(answer.Proof, nonce, []byte(answer.ID)) || answer.ID != c.peerID {
		return errors.Errorf("the node at %s does not prove to be %s", c.address, c.peerID)
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// fail ends the link once; every open stream notices.
func (c *connection) fail(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.alive() {
		return
	}
	c.cause = cause
	close(c.lost)
	_ = c.conn.Close()
}

func (c *connection) readLoop(reader *bufio.Reader) {
	for {
		received, err := framing.Read(reader, maxFrameBytes)
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		c.lastSeen = time.Now()
		target := c.streams[received.Stream]
		c.mu.Unlock()
		if target != nil {
			target.deliver(received, c)
		}
	}
}

// deliver hands a frame to its stream. The window of chunks bounds how many can
// be outstanding, so a full channel means that the peer broke the protocol.
func (s *stream) deliver(received frame, from *connection) {
	select {
	case s.frames <- received:
	default:
		from.fail(errors.New("the peer sent more than its window"))
	}
}

// watch closes the link when the peer is silent while streams are open.
func (c *connection) watch() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for {
		select {
		case <-c.lost:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		open, silent := len(c.streams), time.Since(c.lastSeen)
		c.mu.Unlock()
		if open == 0 {
			idleSince = time.Now()
			continue
		}
		if silent > silenceLimit && time.Since(idleSince) > silenceLimit {
			c.fail(errors.Errorf("the peer was silent for %s", silent.Round(time.Millisecond)))
			return
		}
		// A ping that cannot be written shows in the silence.
		go func() { _ = send(c.Writer, framePing, 0, &empty{}) }()
	}
}

func (c *connection) open() (uint64, *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	created := &stream{frames: make(chan frame, windowChunks+2)}
	c.streams[c.next] = created
	return c.next, created
}

func (c *connection) closeStream(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, number)
}

func (c *Client) lostError(sent bool, cause error) error {
	return &request.LinkError{Peer: c.peerID, Sent: sent, Cause: cause}
}

// Submit implements request.Server.
func (c *Client) Submit(ctx context.Context, submitted *request.Request, passOn func([]byte) error) (request.Result, error) {
	connected, err := c.connect()
	if err != nil {
		return request.Result{}, c.lostError(false, err)
	}
	number, opened := connected.open()
	defer connected.closeStream(number)
	if err := send(connected.Writer, frameRequest, number, submitted); err != nil {
		connected.fail(err)
		return request.Result{}, c.lostError(true, err)
	}
	for {
		select {
		case received := <-opened.frames:
			if frameKind(received.Kind) == frameResult {
				result, err := decodeBody[request.Result](received)
				if err != nil {
					return request.Result{}, c.lostError(true, err)
				}
				return *result, nil
			}
			if err := takeChunk(connected, number, received, passOn); err != nil {
				return request.Result{}, c.lostError(true, err)
			}
		case <-connected.lost:
			return request.Result{}, c.lostError(true, connected.cause)
		case <-ctx.Done():
			return request.Result{}, c.lostError(true, ctx.Err())
		}
	}
}

func takeChunk(connected *connection, number uint64, received frame, passOn func([]byte) error) error {
	part, err := decodeBody[chunk](received)
	if err != nil {
		return err
	}
	if err := passOn(part.Data); err != nil {
		return err
	}
	return send(connected.Writer, frameCredit, number, &empty{})
}

// EndSession implements request.Server.
func (c *Client) EndSession(groupName string, session group.SessionID) {
	c.mu.Lock()
	connected := c.current
	c.mu.Unlock()
	if connected != nil && connected.alive() {
		_ = send(connected.Writer, frameEndSession, 0, &endSession{Group: groupName, Session: session})
	}
}

// Cancel implements request.Server.
func (c *Client) Cancel(groupName string, id group.RequestID) {
	c.mu.Lock()
	connected := c.current
	c.mu.Unlock()
	if connected != nil && connected.alive() {
		_ = send(connected.Writer, frameCancel, 0, &cancelRequest{Group: groupName, ID: id})
	}
}

// Sync asks the peer for its state.
func (c *Client) Sync(ctx context.Context, since, membersDigest uint64) (core.SyncState, error) {
	connected, err := c.connect()
	if err != nil {
		return core.SyncState{}, err
	}
	number, opened := connected.open()
	defer connected.closeStream(number)
	if err := send(connected.Writer, frameSync, number, &syncRequest{Since: since, Members: membersDigest}); err != nil {
		return core.SyncState{}, err
	}
	select {
	case received := <-opened.frames:
		answer, err := decodeBody[core.SyncState](received)
		if err != nil {
			return core.SyncState{}, err
		}
		return *answer, nil
	case <-connected.lost:
		return core.SyncState{}, errors.Wrap(connected.cause, "link lost")
	case <-ctx.Done():
		return core.SyncState{}, errors.Wrap(ctx.Err(), "no answer")
	}
}
