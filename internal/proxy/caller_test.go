package proxy_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"dewknot/internal/catalog"
	"dewknot/internal/command"
	"dewknot/internal/failure"
	"dewknot/internal/proxy"
	"dewknot/internal/upstream"
)

// memoryClient is the caller's end of a session, in memory.
type memoryClient struct {
	net.Conn
	database    string
	commands    chan command.Command
	replies     chan proxy.Reply
	interrupted chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
	accepted    bool
}

func newMemoryClient(database string) *memoryClient {
	return &memoryClient{
		database: database, commands: make(chan command.Command), replies: make(chan proxy.Reply, 1),
		interrupted: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

func (c *memoryClient) ReadStart(time.Time) (string, error) { return c.database, nil }

func (c *memoryClient) Accept() error {
	c.accepted = true
	return c.Reply(proxy.Reply{})
}

func (c *memoryClient) Refuse(reason *failure.Error) error {
	return c.Reply(proxy.Reply{Failure: reason})
}

func (c *memoryClient) ReadCommand(deadline time.Time) (command.Command, error) {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case received, open := <-c.commands:
		if !open {
			return command.Command{}, io.EOF
		}
		return received, nil
	case <-c.interrupted:
		return command.Command{}, proxy.ErrIdle
	case <-expired:
		return command.Command{}, proxy.ErrIdle
	}
}

func (c *memoryClient) Reply(reply proxy.Reply) error {
	select {
	case c.replies <- reply:
		return nil
	case <-c.closed:
		return io.ErrClosedPipe
	}
}

func (c *memoryClient) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

func (c *memoryClient) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// clientPort adapts memoryClient to proxy.Client, whose Close returns nothing.
type clientPort struct{ *memoryClient }

func (p clientPort) Close() { _ = p.memoryClient.Close() }

// memoryListener hands sessions to a node.
type memoryListener struct {
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{pending: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.pending:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// caller drives sessions with random operations and tells the checker what it was told.
type caller struct {
	name    string
	fleet   *simulatedFleet
	random  *rand.Rand
	check   *checker
	session int
	request int
	values  map[string]string
	served  int
	refused int
	unknown int
}

func (c *caller) run(until time.Time) {
	for time.Now().Before(until) {
		client := c.connect()
		if client == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.session++
		c.values = map[string]string{}
		c.operate(client, until)
		close(client.commands)
		<-client.closed
	}
}

func (c *caller) connect() *memoryClient {
	listener := c.fleet.listener(c.random)
	client := newMemoryClient(databases[c.random.IntN(len(databases))])
	select {
	case listener.pending <- client:
	case <-listener.closed:
		return nil
	case <-time.After(time.Second):
		return nil
	}
	select {
	case reply := <-client.replies:
		if reply.Failure == nil {
			return client
		}
	case <-client.closed:
	}
	return nil
}

// maxOperations bounds the operations of a session.
const maxOperations = 30

func (c *caller) operate(client *memoryClient, until time.Time) {
	route := testRoutes[client.database]
	for range c.random.IntN(maxOperations) + 1 {
		if !time.Now().Before(until) {
			return
		}
		healthy := true
		switch c.random.IntN(10) {
		case 0:
			healthy = c.setValue(client, &route)
		case 1, 2, 3:
			healthy = c.transaction(client, &route)
		case 4, 5:
			healthy = c.single(client, &route, true)
		default:
			healthy = c.single(client, &route, false)
		}
		if !healthy {
			return
		}
		time.Sleep(time.Duration(c.random.IntN(120)) * time.Millisecond)
	}
}

// ask sends a command and returns the reply; false means the session has ended.
func (c *caller) ask(client *memoryClient, asked command.Command) (proxy.Reply, bool) {
	select {
	case client.commands <- asked:
	case <-client.closed:
		return proxy.Reply{}, false
	}
	select {
	case reply := <-client.replies:
		return reply, true
	case <-client.closed:
		select {
		case reply := <-client.replies:
			return reply, true
		default:
			return proxy.Reply{}, false
		}
	}
}

func (c *caller) nextID() string {
	c.request++
	return fmt.Sprintf("%s.%d.%d", c.name, c.session, c.request)
}

func (c *caller) sessionName() string { return fmt.Sprintf("%s.%d", c.name, c.session) }

func (c *caller) setValue(client *memoryClient, _ *catalog.Route) bool {
	name, value := fmt.Sprintf("v%d", c.random.IntN(3)), fmt.Sprint(c.random.IntN(5))
	reply, open := c.ask(client, command.Command{Kind: command.SetValue, RequestID: c.nextID(), Name: name, Value: value})
	if open && reply.Failure == nil {
		c.values[name] = value
	}
	return open
}

func (c *caller) thing() string { return fmt.Sprintf("t%d", c.random.IntN(20)) }

func (c *caller) single(client *memoryClient, route *catalog.Route, writes bool) bool {
	id := c.nextID()
	c.check.begin(id, c.sessionName(), route, time.Now())
	asked := command.Command{Kind: command.Read, RequestID: id, Text: "read " + c.thing()}
	if writes {
		asked = command.Command{Kind: command.Write, RequestID: id, Text: "write " + c.thing() + " " + id}
	}
	reply, open := c.ask(client, asked)
	if !open {
		return false
	}
	c.judge(&reply, []string{id}, writes)
	if reply.Failure == nil && !writes {
		c.checkRows(id, &reply)
	}
	return reply.State == upstream.Idle
}

// judge tells the checker what a final answer promised.
func (c *caller) judge(reply *proxy.Reply, ids []string, wrote bool) {
	switch {
	case reply.Failure == nil:
		c.served++
		if wrote {
			c.check.acknowledged(ids)
		}
	case reply.Failure.Kind.NotRun():
		c.refused++
		c.check.promised(ids)
	default:
		c.unknown++
	}
}

func (c *caller) checkRows(id string, reply *proxy.Reply) {
	if len(reply.Rows) != 2 || reply.Signature != id {
		c.check.mutex.Lock()
		c.check.violate("the answer to %s is signed for %s with %d rows", id, reply.Signature, len(reply.Rows))
		c.check.mutex.Unlock()
		return
	}
	if expected := valuesText(c.values); string(reply.Rows[1]) != expected {
		c.check.mutex.Lock()
		c.check.violate("read %s ran with values %q, the session has %q", id, reply.Rows[1], expected)
		c.check.mutex.Unlock()
	}
}

func valuesText(values map[string]string) string {
	var names []string
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		text.WriteString(name + "=" + values[name] + ";")
	}
	return text.String()
}

// transaction runs a whole transaction.
func (c *caller) transaction(client *memoryClient, route *catalog.Route) bool {
	began := time.Now()
	kind := command.Begin
	if c.random.IntN(3) == 0 {
		kind = command.BeginReadOnly
	}
	if reply, open := c.ask(client, command.Command{Kind: kind, RequestID: c.nextID()}); !open || reply.Failure != nil {
		return open
	}
	var writes []string
	for range c.random.IntN(5) {
		id := c.nextID()
		c.check.begin(id, c.sessionName(), route, began)
		asked := command.Command{Kind: command.Read, RequestID: id, Text: "read " + c.thing()}
		if kind == command.Begin && c.random.IntN(2) == 0 {
			asked = command.Command{Kind: command.Write, RequestID: id, Text: "write " + c.thing() + " " + id}
			writes = append(writes, id)
		}
		reply, open := c.ask(client, asked)
		if !open {
			return false
		}
		if reply.Failure != nil {
			c.judge(&reply, writes, true)
			_, open := c.ask(client, command.Command{Kind: command.Rollback, RequestID: c.nextID()})
			return open
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
	if c.random.IntN(5) == 0 {
		_, open := c.ask(client, command.Command{Kind: command.Rollback, RequestID: c.nextID()})
		return open
	}
	reply, open := c.ask(client, command.Command{Kind: command.Commit, RequestID: c.nextID(), Text: "commit"})
	if open {
		c.judge(&reply, writes, len(writes) > 0)
	}
	return open
}
