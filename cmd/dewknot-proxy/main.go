// Command dewknot-proxy runs a node of dewknot on its users' platform. A node serves callers,
// connects to the database servers directly and stores nothing on disk.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"dewknot/internal/daemon"
)

type commands struct {
	Run   runCommand   `cmd:"" help:"Run a node until SIGTERM or SIGINT."`
	Check checkCommand `cmd:"" help:"Check a settings file and show the effective settings."`
}

type runCommand struct {
	Settings string `required:"" env:"DEWKNOT_SETTINGS" help:"Settings file (TOML)."`
}

// Run runs a node until the process receives SIGTERM or SIGINT.
func (c *runCommand) Run() error { return daemon.Run(c.Settings) }

type checkCommand struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

// Run checks the file and prints the effective settings.
func (c *checkCommand) Run() error { return daemon.Check(c.File, os.Stdout) }

func main() {
	var parsed commands
	context := kong.Parse(&parsed, kong.Name("dewknot-proxy"), kong.Description("A node of dewknot, a database proxy with session consistency."))
	if err := context.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "dewknot-proxy:", err)
		os.Exit(1)
	}
}
