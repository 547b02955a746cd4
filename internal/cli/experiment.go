package cli

import (
	"time"

	"dewknot/internal/lab/benchmark"
	"dewknot/internal/lab/experiment"
)

type experimentCommand struct {
	Designs experimentDesigns `cmd:"" help:"Compare designs in a load surge with lagging replicas and an unreachable primary."`
	Shares  experimentShares  `cmd:"" help:"Compare queue disciplines under greedy callers."`
	Owners  experimentOwners  `cmd:"" help:"Measure how long writes stop when a group's owner node is killed or frozen."`
	Nodes   experimentNodes   `cmd:"" help:"Run real nodes on loopback; measure traffic and processor time when idle, and the time until changes are in force."`
}

type experimentDesigns struct {
	Plots string `type:"existingdir" help:"Write a plot for each deployment into this folder."`
}

// Run prints the comparison and draws the plots.
func (c *experimentDesigns) Run(env *environment) error {
	outcomes := experiment.Compare()
	experiment.Print(env.out, outcomes)
	if c.Plots == "" {
		return nil
	}
	for name, deployment := range map[string]string{"shirebound": "shirebound", "gentvaart": "gentvaart results day"} {
		if err := experiment.PlotWrites(c.Plots+"/writes-"+name+".png", deployment, outcomes); err != nil {
			return err
		}
	}
	return nil
}

type experimentShares struct{}

// Run prints the comparison.
func (experimentShares) Run(env *environment) error {
	experiment.PrintShares(env.out, experiment.Shares())
	return nil
}

type experimentNodes struct {
	Nodes   int `default:"30" help:"Number of real nodes in this process."`
	Changes int `default:"50" help:"Number of changes per disturbance."`
}

// Run prints the cost of idle nodes and a row for each disturbance.
func (c *experimentNodes) Run(env *environment) error {
	result, err := benchmark.Nodes(env.ctx, c.Nodes, c.Changes)
	if err != nil {
		return err
	}
	env.printf("%d real nodes, idle: %.0f B/s of datagrams and %.2f%% of a core each\n\n", result.Nodes, result.BytesPerSecond, result.CorePercent)
	env.printf("| disturbance | changes | p50 to the last node | max | later than 8 s |\n|---|---|---|---|---|\n")
	for _, propagation := range result.Propagation {
		env.printf("| %s | %d | %.0f ms | %.0f ms | %d |\n", propagation.Disturbance, c.Changes, propagation.P50.Seconds()*1000, propagation.Max.Seconds()*1000, propagation.Late)
	}
	return nil
}

type experimentOwners struct{}

// Run prints a row for each kind of owner loss.
func (experimentOwners) Run(env *environment) error {
	env.printf("| loss | writes without acknowledgement | violations |\n|---|---|---|\n")
	for _, outcome := range experiment.OwnerLosses() {
		gap := "not resumed"
		if outcome.Resumed {
			gap = outcome.Gap.Round(time.Millisecond).String()
		}
		env.printf("| %s | %s | %d |\n", outcome.Loss, gap, outcome.Violations)
	}
	return nil
}
