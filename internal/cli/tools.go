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
	Seeds   uint64 `default:"200" help:"How many random runs to make."`
	First   uint64 `default:"0" help:"First seed."`
	Workers int    `default:"0" help:"Runs at a time; all cores if 0."`
	Save    string `type:"path" help:"Write the history of the first seed to this file."`
	Trace   string `type:"path" help:"Record the machine of one group in the first seed to this file."`
}

// verdict is the outcome of one seed.
type verdict struct {
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
	verdicts := make([]verdict, c.Seeds)
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
				verdicts[index] = verdict{c.First + index, check.History(recorded), result.Events}
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
	return reportVerdicts(env, verdicts, time.Since(started))
}

// record runs the first seed once more with a recorder.
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
	File   string `arg:"" type:"existingfile" help:"Trace of a group's machine (dewknot sim --trace) or of a failover machine."`
	Expect string `type:"existingfile" help:"File of stated outcomes: a line a request or order, as this command prints with --outcomes."`
	// Outcomes prints what became of each request.
	Outcomes bool `help:"Print what became of each request, or the orders to promote."`
}

// Run replays the trace; a difference counts as a violation.
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
		stated, err := os.ReadFile(c.Expect)
		if err != nil {
			return errors.Wrap(err, "read stated outcomes")
		}
		if string(stated) != lines {
			return &violationError{"the outcomes differ from the stated ones; see --outcomes"}
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

func reportVerdicts(env *environment, verdicts []verdict, took time.Duration) error {
	total := &check.Report{Judged: map[check.Promise]int{}}
	events, failed := uint64(0), 0
	for _, current := range verdicts {
		events += current.events
		if len(current.report.Violations) > 0 {
			failed++
			env.printf("seed %d: %s: %s\n", current.seed, current.report.Violations[0].Promise, current.report.Violations[0].Detail)
		}
		total.Violations = append(total.Violations, current.report.Violations...)
		for promise, count := range current.report.Judged {
			total.Judged[promise] += count
		}
	}
	env.printf("%d seeds, %d events, %s\n", len(verdicts), events, took.Round(time.Millisecond))
	return reportChecks(env, total, failed)
}

// reportChecks prints a line a promise and fails if one was broken.
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
	History checkHistory `cmd:"" help:"Judge a recorded history."`
}

type checkHistory struct {
	File string `arg:"" type:"existingfile" help:"History written by dewknot sim or dewknot load."`
}

// Run judges the history and lists every violation.
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
