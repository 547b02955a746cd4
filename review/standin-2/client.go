package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// reply is the answer to a client's message.
type reply struct {
	signature string
	code      string
	rows      []string
	state     string
	// err is set if the connection ended, or went silent, without a complete answer.
	err error
}

func (r *reply) done() bool { return r.err == nil && r.code == "" }

// client is a session with a node.
type client struct {
	world  *World
	name   string
	node   *Node
	conn   net.Conn
	reader *bufio.Reader
}

// requestSerial numbers the requests.
var requestSerial atomic.Uint64

func newRequest() string { return fmt.Sprintf("q%08x", requestSerial.Add(1)) }

var errNotReady = errors.New("no READY")

// startTimeout is how long a client waits for READY.
const startTimeout = 2 * time.Second

// open starts a session with a node for a database, of a client that needs no key.
func (w *World) open(name string, node *Node, database string) (*client, error) {
	return w.openAs(name, name, node, database)
}

// openAs starts a session with a node for a database. who is the client's key, if it needs one.
func (w *World) openAs(name, who string, node *Node, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", node.callers, startTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{world: w, name: name, node: node, conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	if _, err = fmt.Fprintf(conn, "START %s %s\r\n", database, who); err != nil {
		c.close()
		return nil, err
	}
	line, err := readWireLine(c.reader)
	if err != nil || !strings.HasPrefix(line, "READY") {
		c.close()
		w.record.Add("%s at %s: %q %v after START", name, node.name, line, err)
		return nil, errNotReady
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a message and waits for its answer until the deadline.
func (c *client) query(id, text string, timeout time.Duration) reply {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	c.world.record.Add("%s sends %s %.40s to %s", c.name, id, text, c.node.name)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{err: err}
	}
	var answer reply
	for {
		line, err := readWireLine(c.reader)
		if err != nil {
			c.world.record.Add("%s gets no complete answer to %s: %v", c.name, id, err)
			return reply{err: err}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			answer.rows = append(answer.rows, rest)
		case "DONE":
			answer.signature = rest
		case "ERR":
			answer.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			answer.state, _, _ = strings.Cut(rest, " ")
			c.world.record.Add("%s gets for %s: done=%s error=%s state=%s", c.name, id, answer.signature, answer.code, answer.state)
			return answer
		}
	}
}

// acknowledged holds the writes that clients were told to be committed.
type acknowledged struct {
	mu     sync.Mutex
	writes []acknowledgedWrite
}

type acknowledgedWrite struct {
	request string
	at      time.Time
}

func (a *acknowledged) add(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writes = append(a.writes, acknowledgedWrite{request, time.Now()})
}

func (a *acknowledged) all() []acknowledgedWrite {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]acknowledgedWrite(nil), a.writes...)
}
