package proxy_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/judge"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// plannedStop stops a node while callers of all nodes run transactions without a pause.
type plannedStop struct {
	// nodes is 3 if each node opens its own connections, 7 if nodes own the connections of others.
	nodes int
	// work is how long each statement runs.
	work   time.Duration
	writes bool
	// single is set for single statements in place of transactions.
	single bool
}

// sentCommand is a command of a caller.
type sentCommand struct {
	node           int
	kind           command.Kind
	sent, answered time.Time
	// open is false if the session ended without an answer.
	open bool
}

const (
	// stopCallers is the number of callers of a node.
	stopCallers = 6
	// statementsPerTransaction are, with BEGIN and COMMIT, the commands of a transaction.
	statementsPerTransaction = 10
)

func (p *plannedStop) check(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := prepareFleet(fleetConfig{nodes: p.nodes, workTime: func(requestID string) time.Duration {
			if requestID == "" {
				return 0
			}
			return p.work
		}})
		fleet.startNodes()
		time.Sleep(10 * time.Second)
		var mutex sync.Mutex
		var sent []sentCommand
		var callers sync.WaitGroup
		until := time.Now().Add(14 * time.Second)
		for node := range p.nodes {
			for i := range stopCallers {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * 83 * time.Millisecond)
					commands := p.run(fleet, node, i, until)
					mutex.Lock()
					defer mutex.Unlock()
					sent = append(sent, commands...)
				})
			}
		}
		time.Sleep(6 * time.Second)
		stopped := time.Now()
		fleet.stopNode(0)
		callers.Wait()
		ended, found := fleet.ended.Load(fleet.name(0))
		must.True(t, found)
		fleet.end()
		served := 0
		for _, each := range sent {
			cut := !each.open && each.answered.Sub(each.sent) > 0
			late := each.node == 0 && each.open && each.sent.Before(ended.(time.Time)) && each.answered.After(ended.(time.Time))
			must.False(t, cut || late, must.Sprintf("node %d: a command of kind %d was sent %s after the stop, and has no answer %s later, when the process had ended",
				each.node, each.kind, each.sent.Sub(stopped), each.answered.Sub(each.sent)))
			if each.open {
				served++
			}
		}
		must.Greater(t, 100, served)
		must.SliceEmpty(t, fleet.check.Violations)
	})
}

// run runs transactions or single statements on a node without a pause, and returns its commands.
func (p *plannedStop) run(fleet *simulatedFleet, node, number int, until time.Time) []sentCommand {
	var sent []sentCommand
	var began time.Time
	route := testRoutes["bounded"]
	for serial := 0; time.Now().Before(until); serial++ {
		session := fleet.openOn(node, route.Database)
		if session == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		// A session that is refused ends at once.
		time.Sleep(time.Millisecond)
		for open := true; open && time.Now().Before(until); serial++ {
			name := fmt.Sprintf("caller-%d-%d-%d", node, number, serial)
			began = time.Now()
			open = p.operation(name, func(cmd command.Command) (judge.Answer, bool) {
				fleet.check.RecordRequest(judge.Request{
					ID: cmd.RequestID, Session: name, Tenant: "amber", Route: &route, Began: began, Transaction: p.transactionOf(name),
					Commit:    cmd.Kind == command.Commit,
					Statement: command.Statement{RequestID: cmd.RequestID, Writes: cmd.Kind == command.Write, Text: cmd.Text},
				})
				c := sentCommand{node: node, kind: cmd.Kind, sent: time.Now()}
				var answer judge.Answer
				answer, c.open = session.Ask(cmd)
				c.answered = time.Now()
				sent = append(sent, c)
				return answer, c.open
			}, fleet.check)
		}
		session.Close()
	}
	return sent
}

func (p *plannedStop) transactionOf(name string) string {
	if p.single {
		return ""
	}
	return name
}

// operation runs one transaction or single statement. It reports whether the session continues.
func (p *plannedStop) operation(name string, ask func(command.Command) (judge.Answer, bool), check *judge.Judge) bool {
	kind, text := command.Read, "READ 1"
	if p.writes {
		kind, text = command.Write, "WRITE 1 x"
	}
	commands := []command.Command{{Kind: kind, RequestID: name, Text: text}}
	if !p.single {
		begin := command.Command{Kind: command.BeginReadOnly, RequestID: name + ".b", Text: "BEGIN READ"}
		if p.writes {
			begin = command.Command{Kind: command.Begin, RequestID: name + ".b", Text: "BEGIN"}
		}
		commands = []command.Command{begin}
		for i := range statementsPerTransaction {
			commands = append(commands, command.Command{Kind: kind, RequestID: fmt.Sprintf("%s.%d", name, i), Text: text})
		}
		commands = append(commands, command.Command{Kind: command.Commit, RequestID: name + ".c", Text: "COMMIT"})
	}
	var writes []string
	for _, cmd := range commands {
		if cmd.Kind == command.Write {
			writes = append(writes, cmd.RequestID)
		}
		answer, open := ask(cmd)
		switch {
		case !open:
			return false
		case answer.Failed:
			if answer.NotRun {
				check.RecordNotRun(writes)
			}
			time.Sleep(20 * time.Millisecond)
			return answer.State == upstream.Idle
		}
	}
	check.RecordAcknowledged(writes)
	return true
}

// openOn opens a session on a node, or returns nil if the node does not take it.
func (f *simulatedFleet) openOn(node int, database string) judge.Session {
	f.mutex.Lock()
	listener := f.listeners[node]
	f.mutex.Unlock()
	client := newMemoryClient(database, testTenants["amber"][0])
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
			return memorySession{client}
		}
	case <-client.closed:
	}
	return nil
}

// TestStopAnswersAllCommands guards against commands that a stopping node takes and does not answer: those of
// transactions whose caller sends the next statement at once.
func TestStopAnswersAllCommands(t *testing.T) {
	for _, nodes := range []int{3, fleetOfSeven} {
		for _, work := range []time.Duration{10 * time.Millisecond, 55 * time.Millisecond, 400 * time.Millisecond, 1700 * time.Millisecond} {
			for _, writes := range []bool{false, true} {
				for _, single := range []bool{false, true} {
					if (work == 55*time.Millisecond || (single && !writes)) && !playsAllChanges() {
						continue
					}
					p := &plannedStop{nodes: nodes, work: work, writes: writes, single: single}
					t.Run(fmt.Sprintf("%d nodes, %s, writes %v, single %v", nodes, work, writes, single), p.check)
				}
			}
		}
	}
}
