// Command dewknot-proxy is a node of dewknot on its users' platform: it serves
// callers, reaches the database servers directly and keeps nothing on disk.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"dewknot/internal/daemon"
)

// commands are the program's commands.
type commands struct {
	Run   runCommand   `cmd:"" help:"Run a node until it is told to stop."`
	Check checkCommand `cmd:"" help:"Check a settings file and show what is in force."`
}

// runCommand runs the node.
type runCommand struct {
	Settings string `required:"" env:"DEWKNOT_SETTINGS" help:"Settings file (TOML)."`
}

// Run runs the node.
func (c *runCommand) Run() error { return daemon.Run(c.Settings) }

// checkCommand checks a settings file.
type checkCommand struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

// Run checks the file.
func (c *checkCommand) Run() error { return daemon.Check(c.File, os.Stdout) }

func main() {
	var parsed commands
	context := kong.Parse(&parsed, kong.Name("dewknot-proxy"), kong.Description("A node of dewknot, a database proxy with session consistency."))
	if err := context.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "dewknot-proxy:", err)
		os.Exit(1)
	}
}
