package cli

import (
	"fmt"
	"os"
	"runtime"
	"slices"

	"github.com/pkg/errors"

	"dewknot/internal/lab/benchmark"
	"dewknot/internal/lab/capacity"
)

type planCommand struct {
	Size   string `arg:"" type:"existingfile" help:"Size file, such as examples/target.toml."`
	Slopes string `arg:"" type:"existingfile" help:"Slopes file, as written by dewknot measure."`
	Lines  bool   `help:"Also print the slopes."`
}

// Run prints the resources that each role of a node needs at the given size.
func (c *planCommand) Run(env *environment) error {
	size, err := capacity.LoadSize(c.Size)
	if err != nil {
		return err
	}
	slopes, err := capacity.LoadSlopes(c.Slopes)
	if err != nil {
		return err
	}
	capacity.New(size, slopes).Print(env.out)
	if c.Lines {
		env.printf("\nMeasured on: %s\n\n", slopes.Machine)
		slopes.Print(env.out)
	}
	return nil
}

type measureCommand struct {
	Out     string `default:"slopes.toml" type:"path" help:"Slopes file to write or update."`
	Only    string `default:"all" enum:"all,path,callers,status,backend,groups" help:"Part to measure."`
	Callers []int  `default:"1000,2000,4000,6830" help:"Numbers of idle callers to measure."`
}

// Run measures the slopes and writes them to a file. If only a part is measured, the other
// slopes of an existing file are kept.
func (c *measureCommand) Run(env *environment) error {
	progress := func(format string, values ...any) { env.printf(format+"\n", values...) }
	measured, err := c.measure(env, progress)
	if err != nil {
		return err
	}
	slopes := capacity.Slopes{Machine: fmt.Sprintf("%d cores, %s, %s/%s, loopback", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)}
	if _, err := os.Stat(c.Out); err == nil && c.Only != "all" {
		if slopes, err = capacity.LoadSlopes(c.Out); err != nil {
			return errors.Wrap(err, "update slopes; measure all first")
		}
	}
	for _, slope := range measured {
		slopes.Slope = slices.DeleteFunc(slopes.Slope, func(existing capacity.Slope) bool { return existing.Name == slope.Name })
		slopes.Slope = append(slopes.Slope, slope)
		if !slope.Linear() {
			env.printf("not linear: %s, worst error %.0f%%\n", slope.Name, 100*slope.WorstError)
		}
	}
	slices.SortFunc(slopes.Slope, func(first, second capacity.Slope) int {
		return slices.Index(capacity.Names, first.Name) - slices.Index(capacity.Names, second.Name)
	})
	return slopes.Save(c.Out)
}

// measure measures the selected parts.
func (c *measureCommand) measure(env *environment, progress func(string, ...any)) ([]capacity.Slope, error) {
	single := func(slope capacity.Slope, err error) ([]capacity.Slope, error) { return []capacity.Slope{slope}, err }
	parts := []struct {
		name string
		run  func() ([]capacity.Slope, error)
	}{
		{"groups", func() ([]capacity.Slope, error) { return single(benchmark.GroupMachines(progress)) }},
		{"backend", func() ([]capacity.Slope, error) { return single(benchmark.BackendConnections(env.ctx, progress)) }},
		{"callers", func() ([]capacity.Slope, error) { return single(benchmark.IdleCallers(env.ctx, c.Callers, progress)) }},
		{"status", func() ([]capacity.Slope, error) { return benchmark.StatusQueries(progress) }},
		{"path", func() ([]capacity.Slope, error) { return benchmark.Statements(env.ctx, progress) }},
	}
	var all []capacity.Slope
	for _, part := range parts {
		if c.Only != "all" && c.Only != part.name {
			continue
		}
		slopes, err := part.run()
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s", part.name)
		}
		all = append(all, slopes...)
	}
	return all, nil
}

type compareCommand struct {
	Callers    int `default:"8" help:"Number of concurrent callers."`
	Statements int `default:"2000" help:"Statements per caller and round."`
	Rounds     int `default:"3" help:"Number of rounds; each measures every path."`
}

// Run compares the direct connection to a server with the paths through nodes.
func (c *compareCommand) Run(env *environment) error {
	paths, closeAll, err := benchmark.Paths(env.ctx)
	if err != nil {
		return err
	}
	defer closeAll()
	for _, callers := range []int{1, c.Callers} {
		samples, err := benchmark.Compare(env.ctx, paths, callers, c.Statements, c.Rounds)
		if err != nil {
			return err
		}
		env.printf("%d callers\n%-10s %12s %10s %10s %12s %14s\n", callers, "path", "statements/s", "p50", "p99", "added p50", "CPU each")
		for _, sample := range samples {
			env.printf("%-10s %12.0f %10s %10s %12s %14s\n", sample.Path, sample.Rate(), sample.P50, sample.P99, sample.P50-samples[0].P50, sample.CPUPerStatement())
		}
	}
	return nil
}
