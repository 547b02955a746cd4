package proxy

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
)

// scriptedClient returns the given results of reads in order, then ErrIdle.
type scriptedClient struct {
	reads   []error
	read    int
	replies int
}

func (c *scriptedClient) ReadStart(time.Time) (Start, error) { return Start{Database: "database"}, nil }

func (c *scriptedClient) Accept() error { return nil }

func (c *scriptedClient) Refuse(*failure.Error) error { return nil }

func (c *scriptedClient) ReadCommand(time.Time) (command.Command, error) {
	if c.read == len(c.reads) {
		return command.Command{}, ErrIdle
	}
	err := c.reads[c.read]
	c.read++
	return command.Command{Kind: command.SetValue, RequestID: "1", Name: "a", Value: "b"}, err
}

func (c *scriptedClient) Reply(Reply) error {
	c.replies++
	return nil
}

func (c *scriptedClient) Interrupt() {}

func (c *scriptedClient) Close() {}

func serveScript(t *testing.T, closing, aborting bool, reads ...error) *scriptedClient {
	t.Helper()
	node := New(Options{DrainBound: time.Second}, Ports{},
		eventlog.New(io.Discard, eventlog.Config{Node: "node", LinesPerSecond: 100}))
	node.catalog.ApplyConfiguration(&catalog.Configuration{
		Version: 1, Routes: map[string]catalog.Route{"database": {Database: "database"}},
	})
	node.closing.Store(closing)
	node.aborting.Store(aborting)
	client := &scriptedClient{reads: reads}
	node.serve(client)
	return client
}

// TestCommandThatCameBeforeTheCloseIsServed guards against a planned stop that loses a command that
// has arrived but was not read yet.
func TestCommandThatCameBeforeTheCloseIsServed(t *testing.T) {
	must.Eq(t, 1, serveScript(t, true, false, ErrIdle, nil).replies)
	must.Eq(t, 2, serveScript(t, true, false, nil, ErrIdle, nil).replies)
	must.Eq(t, 0, serveScript(t, true, false, ErrIdle, ErrIdle, nil).replies)
}

// TestNoFinalReadWhileAborting guards against a planned stop that reads commands after it
// has begun to roll back transactions.
func TestNoFinalReadWhileAborting(t *testing.T) {
	must.Eq(t, 0, serveScript(t, true, true, ErrIdle, nil).replies)
}

// TestInterruptDoesNotEndSession guards against interrupts that close sessions without a planned
// stop.
func TestInterruptDoesNotEndSession(t *testing.T) {
	must.Eq(t, 2, serveScript(t, false, false, ErrIdle, nil, ErrIdle, nil, io.EOF).replies)
}
