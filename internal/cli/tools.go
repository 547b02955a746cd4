package cli

import (
	"fmt"
	"os"
	"runtime"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"dewknot/internal/lab/check"
	"dewknot/internal/lab/history"
	"dewknot/internal/lab/sim"
	"dewknot/internal/lab/trace"
)

type simCommand struct {
	Seeds   uint64 `default:"200" help:"Number of simulated runs, each with its own seed."`
	First   uint64 `default:"0" help:"First seed."`
	Workers int    `default:"0" help:"Concurrent runs; the number of cores if 0."`
	Save    string `type:"path" help:"Write the history of the first run to this file."`
	Trace   string `type:"path" help:"Record a trace of one group's state machine in the first run to this file."`
}

// seedResult is the result of the simulated run with a seed.
type seedResult struct {
	seed   uint64
	report *check.Report
	events uint64
}

// Run simulates fleets under random faults and checks every promise.
func (c *simCommand) Run(env *environment) error {
	if c.Workers <= 0 {
		c.Workers = runtime.NumCPU()
	}
	if c.Trace != "" {
		if err := c.record(); err != nil {
			return err
		}
	}
	started := time.Now()
	results := make([]seedResult, c.Seeds)
	var next atomic.Uint64
	var workers errgroup.Group
	for range c.Workers {
		workers.Go(func() error {
			for env.ctx.Err() == nil {
				index := next.Add(1) - 1
				if index >= c.Seeds {
					return nil
				}
				recorded, result := sim.Run(sim.RandomSettings(c.First + index))
				results[index] = seedResult{c.First + index, check.History(recorded), result.Events}
				if index == 0 && c.Save != "" {
					if err := saveHistory(c.Save, recorded); err != nil {
						return err
					}
				}
			}
			return env.ctx.Err()
		})
	}
	if err := workers.Wait(); err != nil {
		return err
	}
	return reportSeeds(env, results, time.Since(started))
}

// record runs the first seed again and records a trace.
func (c *simCommand) record() error {
	file, err := os.Create(c.Trace)
	if err != nil {
		return errors.Wrap(err, "write trace")
	}
	settings := sim.RandomSettings(c.First)
	settings.Trace = file
	sim.Run(settings)
	return errors.Wrap(file.Close(), "write trace")
}

type replayCommand struct {
	Trace replayTrace `cmd:"" help:"Replay a recorded trace and compare every effect."`
}

type replayTrace struct {
	File     string `arg:"" type:"existingfile" help:"Trace of a group's state machine (dewknot sim --trace) or of a failover state machine."`
	Expect   string `type:"existingfile" help:"File with the expected outcomes, in the format of --outcomes."`
	Outcomes bool   `help:"Print the outcome of each request, or the orders to promote."`
}

// Run replays the trace. A difference is a violation.
func (c *replayTrace) Run(env *environment) error {
	file, err := os.Open(c.File)
	if err != nil {
		return errors.Wrap(err, "read trace")
	}
	defer func() { _ = file.Close() }()
	result, err := trace.Replay(file)
	if err != nil {
		return err
	}
	lines := outcomeLines(result)
	if c.Outcomes {
		env.printf("%s", lines)
	}
	if c.Expect != "" {
		expected, err := os.ReadFile(c.Expect)
		if err != nil {
			return errors.Wrap(err, "read expected outcomes")
		}
		if string(expected) != lines {
			return &violationError{"the outcomes differ from the expected ones; print them with --outcomes"}
		}
	}
	if result.Difference != "" {
		return &violationError{"the replay differs: " + result.Difference}
	}
	if !c.Outcomes {
		env.printf("%d steps, %d requests answered, no difference\n", result.Steps, len(result.Outcomes))
	}
	return nil
}

// outcomeLines returns a line for each outcome and order.
func outcomeLines(result *trace.Result) string {
	var lines strings.Builder
	for _, outcome := range result.Outcomes {
		_, _ = fmt.Fprintf(&lines, "%s %s server %d\n", outcome.Request, outcome.Kind, outcome.Server)
	}
	for _, order := range result.Orders {
		_, _ = fmt.Fprintf(&lines, "order %s token %d\n", order.Target, order.Token)
	}
	return lines.String()
}

func saveHistory(path string, recorded *history.History) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write history")
	}
	if err := recorded.Save(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write history")
}

// reportSeeds prints the first violation of each seed and the sums over all seeds.
func reportSeeds(env *environment, results []seedResult, duration time.Duration) error {
	total := &check.Report{Judged: map[check.Promise]int{}}
	events, failed := uint64(0), 0
	for _, result := range results {
		events += result.events
		if len(result.report.Violations) > 0 {
			failed++
			env.printf("seed %d: %s: %s\n", result.seed, result.report.Violations[0].Promise, result.report.Violations[0].Detail)
		}
		total.Violations = append(total.Violations, result.report.Violations...)
		for promise, count := range result.report.Judged {
			total.Judged[promise] += count
		}
	}
	env.printf("%d seeds, %d events, %s\n", len(results), events, duration.Round(time.Millisecond))
	return reportChecks(env, total, failed)
}

// reportChecks prints a line for each promise. It returns an error if a promise was violated.
func reportChecks(env *environment, report *check.Report, failedRuns int) error {
	for _, promise := range check.All {
		env.printf("  %-26s judged %-9d violations %d\n", promise, report.Judged[promise], report.Count(promise))
	}
	if len(report.Violations) > 0 {
		return &violationError{errors.Errorf("%d violations in %d runs", len(report.Violations), max(failedRuns, 1)).Error()}
	}
	return nil
}

type checkCommand struct {
	History checkHistory `cmd:"" help:"Check a recorded history."`
}

type checkHistory struct {
	File string `arg:"" type:"existingfile" help:"History written by dewknot sim or dewknot load."`
}

// Run checks the history and prints every violation.
func (c *checkHistory) Run(env *environment) error {
	recorded, err := history.LoadFile(c.File)
	if err != nil {
		return err
	}
	report := check.History(recorded)
	sort.SliceStable(report.Violations, func(i, j int) bool { return report.Violations[i].Promise < report.Violations[j].Promise })
	for _, violation := range report.Violations {
		env.printf("%s: %s\n", violation.Promise, violation.Detail)
	}
	return reportChecks(env, report, 1)
}
