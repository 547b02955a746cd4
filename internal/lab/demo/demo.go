// Package demo runs both deployments of the brief in one process, breaks things
// midway and judges what the callers saw.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewknot/examples"
	"dewknot/internal/lab/check"
	"dewknot/internal/lab/fleet"
	"dewknot/internal/lab/history"
	"dewknot/internal/lab/load"
	"dewknot/internal/lab/measure"
	"dewknot/internal/lab/standin/database"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/pause"
)

// Settings describe a demo.
type Settings struct {
	Duration time.Duration
	Sessions int
	// FirstPort is the caller port of the first node.
	FirstPort int
	Log       *zap.Logger
	Out       io.Writer
}

// Demo is a running deployment and what is known of it.
type Demo struct {
	settings Settings
	Fleet    *fleet.Fleet
	started  time.Time
	results  []*load.Result
	lostAt   time.Duration
	stopping [nodeCount]atomic.Bool
	mu       sync.Mutex // guards the fleet's nodes while one is replaced
	Report   *check.Report
}

const (
	nodeCount = 3
	// electionDelay is the stand-in groups' own time to change their primary.
	electionDelay = time.Second
	// think is the mean pause of a session.
	think = 40 * time.Millisecond
	// requestTimeout is when a caller gives up.
	requestTimeout = 8 * time.Second
)

// Start brings the deployment up and submits the policies.
func Start(ctx context.Context, settings Settings) (*Demo, error) {
	bookings, exams := fleet.DefaultDatabase("bookings"), fleet.DefaultDatabase("exams")
	bookings.ElectionDelay, exams.ElectionDelay = electionDelay, electionDelay
	bookings.StatementTime, exams.StatementTime = time.Millisecond, time.Millisecond
	exams.Slots, exams.Connections = 10, 100
	running, err := fleet.Start(fleet.Settings{
		Nodes: nodeCount, Zones: []string{"leicester", "york", "bristol"}, FirstPort: settings.FirstPort, Log: settings.Log,
		Groups: []database.Settings{bookings, exams},
	})
	if err != nil {
		return nil, err
	}
	created := &Demo{settings: settings, Fleet: running}
	for service, source := range map[string][]byte{"bookings": examples.Shirebound, "exams": examples.Gentvaart} {
		change := administration.Change{Operation: "demo-" + service, Author: "demo"}
		if _, err := running.Nodes[0].Administration().SubmitPolicy(ctx, service, source, change); err != nil {
			running.Close()
			return nil, err
		}
	}
	return created, fleet.Wait(5*time.Second, created.policiesInForce)
}

func (d *Demo) policiesInForce() bool {
	for _, current := range d.Fleet.Nodes {
		if len(current.View().Config.Policies) < len(d.Fleet.Databases) {
			return false
		}
	}
	return true
}

// Run drives the workloads, causes the failures and judges the history.
func (d *Demo) Run(ctx context.Context) error {
	d.started = time.Now()
	var running sync.WaitGroup
	for index, workload := range []load.Workload{load.Shirebound(), load.Gentvaart()} {
		result := &load.Result{}
		d.results = append(d.results, result)
		settings := d.loadSettings(workload, uint64(index))
		if err := load.Prepare(ctx, settings); err != nil {
			return err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			load.Run(ctx, settings, result)
		}()
	}
	running.Add(1)
	go func() {
		defer running.Done()
		d.breakThings(ctx)
	}()
	finished := make(chan struct{})
	go func() {
		running.Wait()
		close(finished)
	}()
	d.showProgress(finished)
	return d.judge()
}

func (d *Demo) loadSettings(workload load.Workload, seed uint64) load.Settings {
	return load.Settings{
		Nodes: make([]string, nodeCount), Workload: workload, Sessions: d.settings.Sessions, Think: think, Duration: d.settings.Duration,
		Seed: seed, Timeout: requestTimeout, Started: d.started, NodeAddress: d.nodeAddress,
		StoppingNode: func(index int) bool { return d.stopping[index].Load() },
	}
}

func (d *Demo) nodeAddress(index int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Fleet.Nodes[index].Address
}

func (d *Demo) note(format string, values ...any) {
	_, _ = fmt.Fprintf(d.settings.Out, "%6.1fs  "+format+"\n", append([]any{time.Since(d.started).Seconds()}, values...)...)
}

// breakThings lets replicas fall behind, cuts off the primary of the bookings
// group and stops a node as planned.
func (d *Demo) breakThings(ctx context.Context) {
	third := d.settings.Duration / 3
	bookings := d.Fleet.Databases["bookings"]
	if !pause.For(ctx, third) {
		return
	}
	primary := bookings.Leader()
	for index := range 3 {
		d.cause(bookings, index, database.FaultLag, true, 200*time.Millisecond)
	}
	d.note("bookings: replicas apply 200 ms late")
	d.lostAt = time.Since(d.started)
	d.cause(bookings, primary, database.FaultCut, true, 0)
	d.note("bookings: primary %d is cut off from its group and still accepts connections", primary)
	if !pause.For(ctx, third/2) {
		return
	}
	d.cause(bookings, primary, database.FaultCut, false, 0)
	for index := range 3 {
		d.cause(bookings, index, database.FaultLag, true, 0)
	}
	d.note("bookings: healed")
	d.replaceNode(nodeCount - 1)
}

func (d *Demo) cause(group *database.Group, server int, fault database.Fault, on bool, amount time.Duration) {
	if err := group.SetFault(server, fault, on, amount); err != nil {
		d.note("fault failed: %v", err)
	}
}

// replaceNode stops a node as planned and starts it again.
func (d *Demo) replaceNode(index int) {
	d.note("node%d: planned stop", index+1)
	d.stopping[index].Store(true)
	stopped := d.Fleet.Nodes[index]
	stopped.Drain()
	stopped.Operators.Close()
	stopped.Close()
	d.stopping[index].Store(false)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.Fleet.StartNode(index); err != nil {
		d.note("node%d does not start again: %v", index+1, err)
		return
	}
	d.note("node%d: replaced", index+1)
}

func (d *Demo) showProgress(finished chan struct{}) {
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-finished:
			return
		case <-ticker.C:
			d.note("%d requests answered", d.results[0].Count()+d.results[1].Count())
		}
	}
}

// judge gathers the servers' logs, checks the promises and prints the table.
func (d *Demo) judge() error {
	recorded := history.New()
	for _, result := range d.results {
		recorded.Operations = append(recorded.Operations, result.Operations...)
	}
	for name, group := range d.Fleet.Databases {
		logs := make([][]database.LoggedTransaction, len(group.Addresses()))
		for server := range logs {
			logs[server] = group.Log(server)
		}
		load.CollectCommits(recorded, name, group.Leader(), logs)
	}
	d.Report = check.History(recorded)
	summary := measure.Summarize(recorded.Operations, 0, 2*d.settings.Duration)
	_, _ = fmt.Fprintln(d.settings.Out)
	summary.Print(d.settings.Out)
	d.printMeasures(recorded)
	for _, violation := range d.Report.Violations[:min(shownViolations, len(d.Report.Violations))] {
		_, _ = fmt.Fprintf(d.settings.Out, "VIOLATION %s: %s\n", violation.Promise, violation.Detail)
	}
	return nil
}

// shownViolations is how many violations are printed in full.
const shownViolations = 10

func (d *Demo) printMeasures(recorded *history.History) {
	replica, primary := uint64(0), uint64(0)
	for _, current := range d.Fleet.Nodes {
		replica += current.OwnerCounters.ReadsByReplica.Load()
		primary += current.OwnerCounters.ReadsByPrimary.Load()
	}
	_, _ = fmt.Fprintf(d.settings.Out, "\nreads served by replicas: %.1f%% (at the owners still running)\n", 100*float64(replica)/float64(max(replica+primary, 1)))
	if gap, ok := measure.FailoverGap(recorded.Operations, "bookings", d.lostAt); ok && d.lostAt > 0 {
		_, _ = fmt.Fprintf(d.settings.Out, "failover gap: %s, of which %s are the group's own change of primary\n", gap.Round(time.Millisecond), electionDelay)
	}
	_, _ = fmt.Fprintln(d.settings.Out, "promises:")
	for _, promise := range check.All {
		judged := d.Report.Judged[promise]
		if judged == 0 {
			_, _ = fmt.Fprintf(d.settings.Out, "  %-26s not judged by this run\n", promise)
			continue
		}
		_, _ = fmt.Fprintf(d.settings.Out, "  %-26s judged %-7d violations %d\n", promise, judged, d.Report.Count(promise))
	}
}
