package cli

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/lab/check"
	"dewknot/internal/lab/history"
	"dewknot/internal/lab/load"
	"dewknot/internal/lab/measure"
	"dewknot/internal/lab/standin/database"
)

type loadCommand struct {
	Nodes       []string      `required:"" help:"Caller addresses of the nodes."`
	Workload    string        `default:"shirebound" enum:"shirebound,gentvaart" help:"Kind of workload."`
	Group       string        `help:"Database group, instead of the workload's default."`
	Sessions    int           `default:"20" help:"Number of sessions. Each session moves between the nodes."`
	Think       time.Duration `default:"40ms" help:"Mean pause between the requests of a session."`
	Duration    time.Duration `default:"20s" help:"Duration of the run."`
	Seed        uint64        `default:"1" help:"Seed of the random choices."`
	Password    string        `help:"Password of the workload's user."`
	Timeout     time.Duration `default:"8s" help:"Timeout of a request."`
	Control     string        `help:"Control address of the stand-in group. The history is then checked against the group's logs."`
	Save        string        `type:"path" help:"Write the history to this file."`
	PlannedStop []string      `help:"Intervals in which a node is stopped as planned, as node:from:to, such as 3:8s:14s."`
	Lost        time.Duration `help:"Time from the start at which the primary fails, for measuring the failover gap."`
}

// plannedStop is an interval in which a node is stopped as planned, from the start of the run.
type plannedStop struct {
	node     int
	from, to time.Duration
}

func parsePlannedStops(texts []string) ([]plannedStop, error) {
	const parts = 3
	var stops []plannedStop
	for _, text := range texts {
		fields := strings.Split(text, ":")
		if len(fields) != parts {
			return nil, errors.Errorf("planned stop %q is not of the form node:from:to", text)
		}
		node, nodeErr := strconv.Atoi(fields[0])
		from, fromErr := time.ParseDuration(fields[1])
		to, toErr := time.ParseDuration(fields[2])
		if nodeErr != nil || fromErr != nil || toErr != nil {
			return nil, errors.Errorf("planned stop %q is not of the form node:from:to, such as 3:8s:14s", text)
		}
		stops = append(stops, plannedStop{node - 1, from, to})
	}
	return stops, nil
}

// Run sends requests to the nodes. With a control address it checks the recorded history.
func (c *loadCommand) Run(env *environment) error {
	stops, err := parsePlannedStops(c.PlannedStop)
	if err != nil {
		return err
	}
	workload := load.Shirebound()
	if c.Workload == "gentvaart" {
		workload = load.Gentvaart()
	}
	if c.Group != "" {
		workload.Group = c.Group
	}
	started := time.Now()
	settings := load.Settings{
		Nodes: c.Nodes, Workload: workload, Sessions: c.Sessions, Think: c.Think, Duration: c.Duration, Seed: c.Seed,
		Password: c.Password, Timeout: c.Timeout, Started: started,
		StoppingNode: func(index int) bool {
			now := time.Since(started)
			for _, stop := range stops {
				if stop.node == index && now >= stop.from && now < stop.to {
					return true
				}
			}
			return false
		},
	}
	if err := load.Prepare(env.ctx, settings); err != nil {
		return err
	}
	result := &load.Result{}
	load.Run(env.ctx, settings, result)
	recorded := history.New()
	recorded.Operations = result.Operations
	measure.Summarize(recorded.Operations, 0, 2*c.Duration).Print(env.out)
	if gap, ok := measure.FailoverGap(recorded.Operations, workload.Group, c.Lost); ok && c.Lost > 0 {
		env.printf("failover gap: %s\n", gap.Round(time.Millisecond))
	}
	if c.Control == "" {
		return nil
	}
	return c.checkHistory(env, recorded, workload.Group)
}

// checkHistory checks the recorded history against the logs of the stand-in group.
func (c *loadCommand) checkHistory(env *environment, recorded *history.History, group string) error {
	client := database.NewClient(c.Control)
	primary, servers, err := client.Leader()
	if err != nil {
		return err
	}
	logs := make([][]database.LoggedTransaction, servers)
	for server := range logs {
		if logs[server], err = client.Log(server); err != nil {
			return err
		}
	}
	load.CollectCommits(recorded, group, primary, logs)
	if c.Save != "" {
		if err := saveHistory(c.Save, recorded); err != nil {
			return err
		}
	}
	report := check.History(recorded)
	for index, violation := range report.Violations {
		if index == 20 {
			env.printf("... and %d more\n", len(report.Violations)-index)
			break
		}
		env.printf("VIOLATION %s: %s\n", violation.Promise, violation.Detail)
	}
	return reportChecks(env, report, 1)
}

type faultCommand struct {
	Control string        `default:"127.0.0.1:6100" help:"Control address of the stand-in group."`
	Server  string        `default:"primary" help:"Number of the server, or primary."`
	Kind    string        `arg:"" enum:"cut,pause,kill,lag,switchover" help:"Kind of fault: cut, pause, kill, lag or switchover."`
	Off     bool          `help:"End the fault."`
	Amount  time.Duration `help:"Replication lag."`
}

// Run starts or ends a fault of a stand-in database server.
func (c *faultCommand) Run(_ *environment) error {
	return database.NewClient(c.Control).SetFault(c.Server, database.Fault(c.Kind), !c.Off, c.Amount)
}

type storeFaultCommand struct {
	Store  string        `default:"127.0.0.1:6000" help:"Address of the stand-in platform."`
	Kind   string        `arg:"" enum:"down,slow,lose-answer" help:"Kind of fault: down, slow or lose-answer."`
	Off    bool          `help:"End the fault."`
	Amount time.Duration `help:"Delay of answers."`
	Count  int           `default:"1" help:"Number of answers to lose."`
}

// Run starts or ends a fault of the stand-in platform.
func (c *storeFaultCommand) Run(_ *environment) error {
	amount := c.Amount.String()
	if c.Kind == "lose-answer" {
		amount = fmt.Sprint(c.Count)
	}
	return postFault(c.Store, c.Kind, !c.Off, amount)
}
