// Package cli is dewknot's command line.
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
	// ExitOK: the command did what was asked.
	ExitOK = 0
	// ExitFailure: the command failed; the message names the remedy.
	ExitFailure = 1
	// ExitViolation: a checker found a promise broken.
	ExitViolation = 2
	// ExitUsage: the command line cannot be used.
	ExitUsage = 64
)

// violationError makes a command end with ExitViolation.
type violationError struct{ message string }

// Error implements the error interface.
func (e *violationError) Error() string { return e.message }

// environment is what commands need of their surroundings.
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
	Demo       demoCommand       `cmd:"" help:"Run both example deployments under failures and judge what callers saw."`
	Load       loadCommand       `cmd:"" help:"Drive nodes with a workload and judge what callers saw."`
	Sim        simCommand        `cmd:"" help:"Simulate fleets under random faults and check every promise."`
	Replay     replayCommand     `cmd:"" help:"Replay recorded traces."`
	Check      checkCommand      `cmd:"" help:"Judge recorded histories."`
	Experiment experimentCommand `cmd:"" help:"Compare designs in the simulator."`
	Plan       planCommand       `cmd:"" help:"Work out what each role needs at a size, from measured slopes."`
	Measure    measureCommand    `cmd:"" help:"Measure the slopes that plan needs."`
	Compare    compareCommand    `cmd:"" help:"Compare the ways through nodes with a direct connection."`
	Explain    explainCommand    `cmd:"" help:"Tell the story of a request, server or failover from event logs."`
	Timeline   timelineCommand   `cmd:"" help:"Draw how requests ended over time, with takeovers and outages, from event logs."`
	Rounds     roundsCommand     `cmd:"" help:"Show measured rounds of the journal."`
	Version    versionCommand    `cmd:"" help:"Show version and build."`
}

const description = `A database proxy with session consistency.

Nodes stand between callers and PostgreSQL-speaking database groups. Operators'
policies say how fresh an answer must be, what may wait and what is refused.

Exit codes: 0 done, 1 failed, 2 a promise was found broken, 64 wrong usage.`

// Run parses the arguments, runs the command and returns the exit code.
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

// Run prints what the binary was built from.
func (versionCommand) Run(env *environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary holds no build information; build it with 'go build'")
	}
	revision, changed := "unknown", ""
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value
		case "vcs.modified":
			if setting.Value == "true" {
				changed = ", with changes"
			}
		}
	}
	env.printf("dewknot %s, revision %s%s, %s\n", info.Main.Version, revision, changed, info.GoVersion)
	return nil
}
