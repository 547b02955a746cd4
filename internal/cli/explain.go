package cli

import (
	"os"

	"github.com/pkg/errors"

	"dewknot/internal/lab/explain"
)

// explainCommand tells a story from event logs.
type explainCommand struct {
	Request  string   `xor:"story" required:"" help:"Tell the story of a request, by its id."`
	Server   string   `xor:"story" required:"" help:"Tell what nodes believed of a server, by its id."`
	Failover string   `xor:"story" required:"" help:"Tell the changes of a service's primary."`
	Tenant   string   `xor:"story" required:"" help:"Tell what a tenant's callers were refused, and what their nodes believed of quotas."`
	Logs     []string `arg:"" type:"existingfile" help:"Event logs of the nodes."`
}

// Run reads the logs and writes the story.
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
		return errors.Wrap(err, "open a log; check its path")
	}
	defer func() { _ = file.Close() }()
	return logs.Read(file)
}
