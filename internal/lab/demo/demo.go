// Package demo runs the two example deployments in one process, injects faults and checks the
// consistency of the recorded history.
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

// Demo is a running deployment and the results of its workloads.
type Demo struct {
	settings      Settings
	Fleet         *fleet.Fleet
	started       time.Time
	results       []*load.Result
	primaryLostAt time.Duration
	stopping      [nodeCount]atomic.Bool
	mu            sync.Mutex // guards the fleet's nodes while one is replaced
	Report        *check.Report
}

const (
	nodeCount = 3
	// electionDelay is how long the simulated groups take to elect a new primary.
	electionDelay = time.Second
	// thinkTime is the mean pause between requests of a session.
	thinkTime = 40 * time.Millisecond
	// requestTimeout is the time after which a caller gives up on a request.
	requestTimeout = 8 * time.Second
)

// Start starts the deployment and submits the policies.
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

// Run runs the workloads, injects the faults, checks the history and prints the results.
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
		d.injectFaults(ctx)
	}()
	finished := make(chan struct{})
	go func() {
		running.Wait()
		close(finished)
	}()
	d.showProgress(finished)
	return d.checkHistory()
}

func (d *Demo) loadSettings(workload load.Workload, seed uint64) load.Settings {
	return load.Settings{
		Nodes: make([]string, nodeCount), Workload: workload, Sessions: d.settings.Sessions, Think: thinkTime, Duration: d.settings.Duration,
		Seed: seed, Timeout: requestTimeout, Started: d.started, NodeAddress: d.nodeAddress,
		StoppingNode: func(index int) bool { return d.stopping[index].Load() },
	}
}

func (d *Demo) nodeAddress(index int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Fleet.Nodes[index].Address
}

func (d *Demo) logf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.settings.Out, "%6.1fs  "+format+"\n", append([]any{time.Since(d.started).Seconds()}, values...)...)
}

// injectFaults makes the replicas of the bookings group lag, isolates its primary, and later
// restarts a node.
func (d *Demo) injectFaults(ctx context.Context) {
	third := d.settings.Duration / 3
	bookings := d.Fleet.Databases["bookings"]
	if !pause.For(ctx, third) {
		return
	}
	primary := bookings.Leader()
	for index := range 3 {
		d.setFault(bookings, index, database.FaultLag, true, 200*time.Millisecond)
	}
	d.logf("bookings: replicas now apply the log 200 ms late")
	d.primaryLostAt = time.Since(d.started)
	d.setFault(bookings, primary, database.FaultCut, true, 0)
	d.logf("bookings: primary %d is isolated from its group but still accepts connections", primary)
	if !pause.For(ctx, third/2) {
		return
	}
	d.setFault(bookings, primary, database.FaultCut, false, 0)
	for index := range 3 {
		d.setFault(bookings, index, database.FaultLag, true, 0)
	}
	d.logf("bookings: faults ended")
	d.replaceNode(nodeCount - 1)
}

func (d *Demo) setFault(group *database.Group, server int, fault database.Fault, on bool, amount time.Duration) {
	if err := group.SetFault(server, fault, on, amount); err != nil {
		d.logf("cannot inject the fault: %v", err)
	}
}

// replaceNode drains a node, stops it and starts it again.
func (d *Demo) replaceNode(index int) {
	d.logf("node%d: planned stop", index+1)
	d.stopping[index].Store(true)
	stopped := d.Fleet.Nodes[index]
	stopped.Drain()
	stopped.Operators.Close()
	stopped.Close()
	d.stopping[index].Store(false)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.Fleet.StartNode(index); err != nil {
		d.logf("node%d: restart failed: %v", index+1, err)
		return
	}
	d.logf("node%d: restarted", index+1)
}

func (d *Demo) showProgress(finished chan struct{}) {
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-finished:
			return
		case <-ticker.C:
			d.logf("%d requests answered", d.results[0].Count()+d.results[1].Count())
		}
	}
}

// checkHistory collects the servers' logs, checks the promises and prints the results.
func (d *Demo) checkHistory() error {
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
	d.printMetrics(recorded)
	for _, violation := range d.Report.Violations[:min(maxShownViolations, len(d.Report.Violations))] {
		_, _ = fmt.Fprintf(d.settings.Out, "VIOLATION %s: %s\n", violation.Promise, violation.Detail)
	}
	return nil
}

// maxShownViolations is the maximum number of violations that are printed.
const maxShownViolations = 10

func (d *Demo) printMetrics(recorded *history.History) {
	replica, primary := uint64(0), uint64(0)
	for _, current := range d.Fleet.Nodes {
		replica += current.OwnerCounters.ReadsByReplica.Load()
		primary += current.OwnerCounters.ReadsByPrimary.Load()
	}
	_, _ = fmt.Fprintf(d.settings.Out, "\nreads served by replicas: %.1f%% (counted by owners that are still running)\n", 100*float64(replica)/float64(max(replica+primary, 1)))
	if gap, ok := measure.FailoverGap(recorded.Operations, "bookings", d.primaryLostAt); ok && d.primaryLostAt > 0 {
		_, _ = fmt.Fprintf(d.settings.Out, "failover gap: %s, including the group's election delay of %s\n", gap.Round(time.Millisecond), electionDelay)
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
