package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// acked is a write that a client was told to be done.
type acked struct {
	id        string
	sent, got time.Time
	// server is the one that signed it.
	server string
}

// clients write, each in a session of its own, and move to the next node when a session ends.
type clients struct {
	mu    sync.Mutex
	acked []acked
	// sent are the times of all requests.
	sent []time.Time
	stop chan struct{}
	done sync.WaitGroup
}

func startClients(f *fleet, database string, count int) *clients {
	c := &clients{stop: make(chan struct{})}
	for i := range count {
		c.done.Add(1)
		go c.run(f, database, i)
	}
	return c
}

func (c *clients) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

func (c *clients) run(f *fleet, database string, client int) {
	defer c.done.Done()
	written := 0
	for session := 0; !c.stopped(); session++ {
		n := f.nodes[(client+session)%len(f.nodes)]
		c.session(n, database, client, &written)
		time.Sleep(50 * time.Millisecond)
	}
}

// served returns how many requests were sent between two times, and how many of them were served.
func (c *clients) served(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.sent {
		if !at.Before(from) && at.Before(to) {
			sent++
		}
	}
	for _, a := range c.acked {
		if !a.sent.Before(from) && a.sent.Before(to) {
			served++
		}
	}
	return sent, served
}

// session writes until the connection ends, an answer takes longer than 2 s, or the clients stop.
func (c *clients) session(n *node, database string, client int, written *int) {
	connection, err := net.DialTimeout("tcp4", n.front, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	_ = connection.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(connection, "START %s u%d\r\n", database, client)
	if line, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return
	}
	for !c.stopped() {
		*written++
		id := fmt.Sprintf("c%02dw%06d", client, *written)
		sent := time.Now()
		c.mu.Lock()
		c.sent = append(c.sent, sent)
		c.mu.Unlock()
		record.add("sent", fmt.Sprintf("%s to %s", id, n.name))
		_ = connection.SetDeadline(sent.Add(2 * time.Second))
		_, _ = fmt.Fprintf(connection, "QUERY %s WRITE t%d d%s\r\n", id, client, id)
		answer := ""
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				record.add("answered", id+" nothing: "+err.Error())
				return
			}
			if strings.HasPrefix(line, "READY") {
				break
			}
			answer = strings.TrimSpace(line)
		}
		got := time.Now()
		record.add("answered", id+" "+answer)
		if words := strings.Split(answer, "."); strings.HasPrefix(answer, "DONE w.") {
			c.mu.Lock()
			c.acked = append(c.acked, acked{id, sent, got, words[1]})
			c.mu.Unlock()
			time.Sleep(40 * time.Millisecond)
			continue
		}
		time.Sleep(60 * time.Millisecond)
	}
}
