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

// Timeouts and intervals of a link.
const (
	dialTimeout = 500 * time.Millisecond
	// pingInterval is the interval between pings while streams are open.
	pingInterval = 400 * time.Millisecond
	// silenceTimeout is the time without a frame after which a link with open streams is lost.
	silenceTimeout = 1600 * time.Millisecond
	// redialInterval is the interval between attempts to reach a peer that is down. After
	// redialAttempts they end until the next request.
	redialInterval = 200 * time.Millisecond
	redialAttempts = 20
)

const readBufferBytes = 64 << 10

// stream receives the frames of an open request.
type stream struct {
	frames chan frame
}

// clientLink is the requesting end of a link.
type clientLink struct {
	*framing.Writer
	conn     net.Conn
	mu       sync.Mutex
	streams  map[uint64]*stream
	next     uint64
	lost     chan struct{}
	cause    error
	lastSeen time.Time
}

// Client sends requests to one peer. It implements request.Server and is safe for concurrent use.
type Client struct {
	id      string
	keys    Keys
	peerID  string
	address string

	mu      sync.Mutex
	current *clientLink
	// downErr is the error of the last link or dial attempt; nil if the peer isn't known to
	// be down.
	downErr   error
	redialing bool // a background goroutine dials
	closed    bool
}

// NewClient returns a client that dials on first use.
func NewClient(id string, keys Keys, peerID, address string) *Client {
	return &Client{id: id, keys: keys, peerID: peerID, address: address}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Close closes the link. Requests in progress fail with a LinkError.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.current != nil {
		c.current.fail(errors.New("link closed"))
		c.current = nil
	}
}

// connect returns the open link or dials one. A peer that is known to be down is dialed in
// the background, so that requests don't wait for it and the listener can use the standby
// owner without delay.
func (c *Client) connect() (*clientLink, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != nil && c.current.alive():
		return c.current, nil
	case c.current != nil:
		c.downErr, c.current = c.current.cause, nil
	}
	if c.downErr != nil {
		c.redial()
		return nil, c.downErr
	}
	connected, err := c.dial()
	if err != nil {
		c.downErr = err
		c.redial()
		return nil, err
	}
	c.current = connected
	return connected, nil
}

// redial dials in the background until the peer answers. The caller must hold c.mu.
func (c *Client) redial() {
	if c.redialing || c.closed {
		return
	}
	c.redialing = true
	go func() {
		for attempt := range redialAttempts {
			if attempt > 0 {
				time.Sleep(redialInterval)
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

// redialed stores the result of a dial attempt. It reports whether redialing is done.
func (c *Client) redialed(connected *clientLink, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		if err == nil {
			connected.fail(errors.New("link closed"))
		}
		return true
	}
	if err != nil {
		c.downErr = err
		return false
	}
	c.current, c.downErr, c.redialing = connected, nil, false
	return true
}

func (c *clientLink) alive() bool {
	select {
	case <-c.lost:
		return false
	default:
		return true
	}
}

func (c *Client) dial() (*clientLink, error) {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	if err := c.handshake(conn, reader); err != nil {
		_ = conn.Close()
		return nil, err
	}
	connected := &clientLink{
		Writer: framing.NewWriter(conn), conn: conn, streams: map[uint64]*stream{},
		lost: make(chan struct{}), lastSeen: time.Now(),
	}
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
	challenged, err := decodeBody[challenge](received)
	if err != nil {
		return err
	}
	nonce := newNonce()
	out := framing.NewWriter(conn)
	if err := send(out, frameHello, 0, &hello{
		ID: c.id, Nonce: nonce, Proof: c.keys.Prove(challenged.Nonce, []byte(c.id)),
	}); err != nil {
		return err
	}
	if received, err = framing.Read(reader, handshakeBytes); err != nil {
		return err
	}
	answer, err := decodeBody[welcome](received)
	if err != nil {
		return err
	}
	if !c.keys.Verify(answer.Proof, nonce, []byte(answer.ID)) || answer.ID != c.peerID {
		return errors.Errorf("the node at %s did not prove that it is %s", c.address, c.peerID)
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear deadline")
}

// fail closes the link with an error; all open streams end. Later calls have no effect.
func (c *clientLink) fail(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.alive() {
		return
	}
	c.cause = cause
	close(c.lost)
	_ = c.conn.Close()
}

func (c *clientLink) readLoop(reader *bufio.Reader) {
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

// deliver passes a frame to its stream. The window bounds the chunks in flight, so a full
// channel is a protocol violation of the peer.
func (s *stream) deliver(received frame, from *clientLink) {
	select {
	case s.frames <- received:
	default:
		from.fail(errors.New("the peer exceeded its window of chunks"))
	}
}

// watch pings the peer while streams are open and closes the link if the peer is silent.
func (c *clientLink) watch() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	lastIdle := time.Now()
	for {
		select {
		case <-c.lost:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		openStreams, silence := len(c.streams), time.Since(c.lastSeen)
		c.mu.Unlock()
		if openStreams == 0 {
			lastIdle = time.Now()
			continue
		}
		if silence > silenceTimeout && time.Since(lastIdle) > silenceTimeout {
			c.fail(errors.Errorf("no frame from the peer for %s", silence.Round(time.Millisecond)))
			return
		}
		// A failed write is detected by the silence timeout.
		go func() { _ = send(c.Writer, framePing, 0, &empty{}) }()
	}
}

func (c *clientLink) open() (uint64, *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	created := &stream{frames: make(chan frame, windowChunks+2)}
	c.streams[c.next] = created
	return c.next, created
}

func (c *clientLink) closeStream(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, number)
}

func (c *Client) linkError(sent bool, cause error) error {
	return &request.LinkError{Peer: c.peerID, Sent: sent, Cause: cause}
}

// Submit implements request.Server.
func (c *Client) Submit(
	ctx context.Context, submitted *request.Request, forward func([]byte) error,
) (request.Result, error) {
	connected, err := c.connect()
	if err != nil {
		return request.Result{}, c.linkError(false, err)
	}
	number, opened := connected.open()
	defer connected.closeStream(number)
	if err := send(connected.Writer, frameRequest, number, submitted); err != nil {
		connected.fail(err)
		return request.Result{}, c.linkError(true, err)
	}
	for {
		select {
		case received := <-opened.frames:
			if frameKind(received.Kind) == frameResult {
				result, err := decodeBody[request.Result](received)
				if err != nil {
					return request.Result{}, c.linkError(true, err)
				}
				return *result, nil
			}
			if err := handleChunk(connected, number, received, forward); err != nil {
				return request.Result{}, c.linkError(true, err)
			}
		case <-connected.lost:
			return request.Result{}, c.linkError(true, connected.cause)
		case <-ctx.Done():
			return request.Result{}, c.linkError(true, ctx.Err())
		}
	}
}

func handleChunk(connected *clientLink, number uint64, received frame, forward func([]byte) error) error {
	part, err := decodeBody[chunk](received)
	if err != nil {
		return err
	}
	if err := forward(part.Data); err != nil {
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

// Sync requests the peer's state.
func (c *Client) Sync(ctx context.Context, since, membersDigest uint64) (core.SyncState, error) {
	connected, err := c.connect()
	if err != nil {
		return core.SyncState{}, err
	}
	number, opened := connected.open()
	defer connected.closeStream(number)
	if err := send(connected.Writer, frameSync, number, &syncRequest{
		Since: since, Members: membersDigest,
	}); err != nil {
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
