// Package cli implements the commands of dewknot.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailure: the command failed; the message names the remedy.
	ExitFailure = 1
	// ExitViolation: a check found that a promise was violated.
	ExitViolation = 2
	// ExitUsage: the command line is invalid.
	ExitUsage = 64
)

// violationError makes a command end with ExitViolation.
type violationError struct{ message string }

// Error implements the error interface.
func (e *violationError) Error() string { return e.message }

// environment holds the context and the output of a command.
type environment struct {
	ctx context.Context
	out io.Writer
}

func (e *environment) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(e.out, format, values...)
}

type commands struct {
	Node       nodeCommand       `cmd:"" help:"Run a node of the proxy."`
	Standin    standinCommand    `cmd:"" help:"Run a stand-in for a database group or for the platform."`
	Policy     policyCommand     `cmd:"" help:"Check, submit, review and compare policies."`
	Machine    machineCommand    `cmd:"" help:"Mark nodes and servers for a planned stop."`
	Group      groupCommand      `cmd:"" help:"Configure database groups."`
	User       userCommand       `cmd:"" help:"Configure callers' credentials."`
	Status     statusCommand     `cmd:"" help:"Show the state of the fleet."`
	Demo       demoCommand       `cmd:"" help:"Run both example deployments under failures and check what callers saw."`
	Load       loadCommand       `cmd:"" help:"Run a workload against nodes and check what callers saw."`
	Sim        simCommand        `cmd:"" help:"Simulate fleets under random faults and check every promise."`
	Replay     replayCommand     `cmd:"" help:"Replay recorded traces."`
	Check      checkCommand      `cmd:"" help:"Check recorded histories."`
	Experiment experimentCommand `cmd:"" help:"Compare designs in the simulator."`
	Plan       planCommand       `cmd:"" help:"Compute the resources that each role needs at a size, from measured slopes."`
	Measure    measureCommand    `cmd:"" help:"Measure the slopes for the plan command."`
	Compare    compareCommand    `cmd:"" help:"Compare the paths through nodes with a direct connection."`
	Explain    explainCommand    `cmd:"" help:"Explain a request, server, failover or tenant from event logs."`
	Timeline   timelineCommand   `cmd:"" help:"Plot the outcomes of requests over time, with takeovers and outages, from event logs."`
	Rounds     roundsCommand     `cmd:"" help:"Show the measured rounds in journal entries."`
	Version    versionCommand    `cmd:"" help:"Show the version and build information."`
}

const description = `A database proxy with session consistency.

Nodes proxy requests of callers to groups of PostgreSQL databases. Operators'
policies define how fresh answers must be, and which requests wait or are rejected.

Exit codes: 0 success, 1 failure, 2 a promise was violated, 64 invalid usage.`

// Run parses the arguments, runs the command and returns its exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed := commands{}
	exit := -1
	parser, err := kong.New(&parsed, kong.Name("dewknot"), kong.Description(description), kong.Writers(out, errOut),
		kong.UsageOnError(), kong.Exit(func(code int) { exit = code }), kong.DefaultEnvars("DEWKNOT"))
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "dewknot:", err)
		return ExitUsage
	}
	context, err := parser.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "dewknot: %v; see dewknot --help\n", err)
		return ExitUsage
	}
	return exitCode(errOut, context.Run(&environment{ctx: ctx, out: out}))
}

func exitCode(errOut io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "dewknot:", err)
	var violation *violationError
	if errors.As(err, &violation) {
		return ExitViolation
	}
	return ExitFailure
}

type versionCommand struct{}

// Run prints the version, revision and Go version of the binary.
func (versionCommand) Run(env *environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary has no build information; build it with 'go build'")
	}
	revision, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value
		case "vcs.modified":
			if setting.Value == "true" {
				modified = ", modified"
			}
		}
	}
	env.printf("dewknot %s, revision %s%s, %s\n", info.Main.Version, revision, modified, info.GoVersion)
	return nil
}
