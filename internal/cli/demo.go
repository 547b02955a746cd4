package cli

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/logging"
	"dewknot/internal/lab/demo"
)

type demoCommand struct {
	Seconds   int  `default:"20" help:"Duration of the workloads in seconds."`
	Sessions  int  `default:"20" help:"Number of sessions of each service."`
	FirstPort int  `default:"7401" help:"Caller port of the first node; 0 selects free ports."`
	Stay      bool `help:"Keep the nodes running after the workloads."`
	Verbose   bool `help:"Show the nodes' logs."`
}

// Run runs both deployments under failures and checks what callers saw.
func (c *demoCommand) Run(env *environment) error {
	log := zap.NewNop()
	if c.Verbose {
		var err error
		if log, err = logging.New("info", logging.Console); err != nil {
			return err
		}
	}
	running, err := demo.Start(env.ctx, demo.Settings{
		Duration: time.Duration(c.Seconds) * time.Second, Sessions: c.Sessions, FirstPort: c.FirstPort, Log: log, Out: env.out,
	})
	if err != nil {
		return errors.Wrap(err, "start the demo")
	}
	defer running.Fleet.Close()
	env.printf("two services, two groups of three servers, three nodes in three zones\n")
	if err := running.Run(env.ctx); err != nil {
		return err
	}
	if len(running.Report.Violations) > 0 {
		return &violationError{"promises were violated"}
	}
	if c.Stay {
		env.printf("\nconnect with any PostgreSQL client, for example\n  psql 'postgres://passenger@%s/bookings?sslmode=disable'\nstop with Ctrl-C\n", running.Fleet.Nodes[0].Address)
		<-env.ctx.Done()
	} else {
		env.printf("\n'dewknot demo --stay' keeps the nodes running for any PostgreSQL client on port %d\n", c.FirstPort)
	}
	return nil
}
