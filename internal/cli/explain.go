package cli

import (
	"os"

	"github.com/pkg/errors"

	"dewknot/internal/lab/explain"
)

// explainCommand prints an explanation from event logs.
type explainCommand struct {
	Request  string   `xor:"story" required:"" help:"Explain a request, by its id."`
	Server   string   `xor:"story" required:"" help:"Show the nodes' views of a server, by its id."`
	Failover string   `xor:"story" required:"" help:"Show the changes of a service's primary."`
	Tenant   string   `xor:"story" required:"" help:"Show a tenant's rejected requests and the nodes' quota state."`
	Logs     []string `arg:"" type:"existingfile" help:"Event logs of the nodes."`
}

// Run reads the logs and prints the explanation.
func (c *explainCommand) Run(env *environment) error {
	logs := &explain.Logs{}
	for _, path := range c.Logs {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	switch {
	case c.Request != "":
		return logs.Request(env.out, c.Request)
	case c.Server != "":
		return logs.Server(env.out, c.Server)
	case c.Tenant != "":
		return logs.Tenant(env.out, c.Tenant)
	default:
		return logs.Failover(env.out, c.Failover)
	}
}

func readLog(logs *explain.Logs, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open an event log; check its path")
	}
	defer func() { _ = file.Close() }()
	return logs.Read(file)
}
