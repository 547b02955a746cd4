package proxy_test

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/lab/judge"
	"dewknot/internal/proxy"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
)

// memoryClient is an in-memory proxy.Client. It is also the caller's side of the session.
type memoryClient struct {
	net.Conn
	database    string
	key         string
	commands    chan command.Command
	replies     chan proxy.Reply
	interrupted chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
	accepted    bool
}

func newMemoryClient(database, key string) *memoryClient {
	return &memoryClient{
		database: database, key: key, commands: make(chan command.Command), replies: make(chan proxy.Reply, 1),
		interrupted: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

func (c *memoryClient) ReadStart(time.Time) (proxy.Start, error) {
	return proxy.Start{Database: c.database, Key: catalog.DigestKey(c.key)}, nil
}

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

// memoryListener passes in-memory sessions to a node.
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

// Ask implements judge.Session.
func (c *memoryClient) Ask(request command.Command) (judge.Answer, bool) {
	select {
	case c.commands <- request:
	case <-c.closed:
		return judge.Answer{}, false
	}
	select {
	case reply := <-c.replies:
		return answerOf(&reply), true
	case <-c.closed:
		select {
		case reply := <-c.replies:
			return answerOf(&reply), true
		default:
			return judge.Answer{}, false
		}
	}
}

func answerOf(reply *proxy.Reply) judge.Answer {
	answer := judge.Answer{Rows: reply.Rows, State: reply.State}
	answer.Signature, _, _ = strings.Cut(reply.Signature, uniqueSuffix)
	if reply.Failure != nil {
		answer.Failed, answer.NotRun = true, reply.Failure.Kind.NotRun()
		answer.UnknownStatement = reply.Failure.Kind == failure.UnknownStatement
	}
	return answer
}

// memorySession is the caller's side of a session. Close ends it from that side.
type memorySession struct{ *memoryClient }

// Close implements judge.Session.
func (s memorySession) Close() {
	close(s.commands)
	<-s.closed
}

// caller returns a caller of the fleet. Its name determines its tenant.
func (f *simulatedFleet) caller(name string, random *rand.Rand) *judge.Caller {
	tenant := tenantOf(name)
	return judge.NewCaller(judge.CallerConfig{
		Name: name, Tenant: tenant, Random: random, Judge: f.check,
		Connect: func(random *rand.Rand) (judge.Session, *catalog.Route) {
			return f.connect(random, testTenants[tenant][0])
		},
	})
}

func (f *simulatedFleet) connect(random *rand.Rand, key string) (judge.Session, *catalog.Route) {
	listener := f.listener(random)
	client := newMemoryClient(databases[random.IntN(len(databases))], key)
	select {
	case listener.pending <- client:
	case <-listener.closed:
		return nil, nil
	case <-time.After(time.Second):
		return nil, nil
	}
	select {
	case reply := <-client.replies:
		if reply.Failure == nil {
			route := testRoutes[client.database]
			return memorySession{client}, &route
		}
	case <-client.closed:
	}
	return nil, nil
}
