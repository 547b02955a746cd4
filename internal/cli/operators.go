package cli

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"os"
	"os/user"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"dewknot/internal/lab/history"
	"dewknot/internal/lab/trial"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/credential"
	"dewknot/internal/postgres/operator"
	"dewknot/internal/postgres/policy"
)

// nodeFlags are the flags of commands that call a node.
type nodeFlags struct {
	Node string `default:"127.0.0.1:7004" help:"Operator address of any node."`
}

func (f nodeFlags) client() *operator.Client { return operator.NewClient(f.Node) }

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	nodeFlags
	As        string `help:"Author of the change; the login name if empty."`
	Operation string `help:"Identifier of the change; use the same one to retry a change after a lost answer."`
	Note      string `help:"Reason for the change."`
}

// change returns a change by the author. Its operation is random if no flag sets it.
func (f changeFlags) change(replaces uint64) administration.Change {
	author := f.As
	if author == "" {
		if current, err := user.Current(); err == nil {
			author = current.Username
		}
	}
	operation := f.Operation
	if operation == "" {
		var random [8]byte
		_, _ = rand.Read(random[:]) // crypto/rand.Read never fails
		operation = hex.EncodeToString(random[:])
	}
	return administration.Change{Operation: operation, Author: author, Note: f.Note, Replaces: replaces}
}

// reportOutcome prints whether a change to a subject is in force or needs a review.
func reportOutcome(env *environment, subject string, outcome administration.Outcome, change administration.Change, err error) error {
	if err != nil {
		return errors.Wrapf(err, "%s (operation %s)", subject, change.Operation)
	}
	if outcome.InForce {
		env.printf("%s: accepted as version %d\n", subject, outcome.Version)
	} else {
		env.printf("%s: waits for review as version %d\n", subject, outcome.Version)
	}
	return nil
}

type policyCommand struct {
	Check   policyCheck   `cmd:"" help:"Check a policy program offline and show its rules."`
	Diff    policyDiff    `cmd:"" help:"Show the differences of a policy from the one in force."`
	Try     policyTry     `cmd:"" help:"Show which requests of a recorded history a policy would treat differently."`
	Submit  policySubmit  `cmd:"" help:"Submit a policy, replacing the version in force."`
	Review  policyReview  `cmd:"" help:"Show, and with --approve put in force, the policy that waits for review."`
	Show    policyShow    `cmd:"" help:"Show the policy in force."`
	History policyHistory `cmd:"" help:"Show the recorded changes of a policy."`
	Status  policyStatus  `cmd:"" help:"Show the version in force on every node."`
}

func compileFile(path string) (*policy.Table, []byte, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read policy")
	}
	table, err := policy.Compile(path, source)
	return table, source, err
}

type policyCheck struct {
	File string `arg:"" type:"existingfile" help:"Policy program."`
}

// Run compiles the program and prints its rules.
func (c *policyCheck) Run(env *environment) error {
	table, _, err := compileFile(c.File)
	if err != nil {
		return err
	}
	env.printf("service %s\ndefault: %s\n", table.Service, table.Default)
	for _, kind := range slices.Sorted(maps.Keys(table.Kinds)) {
		env.printf("kind %s: %s\n", kind, table.Kinds[kind])
	}
	for _, caller := range slices.Sorted(maps.Keys(table.Shares)) {
		env.printf("share %s: %d\n", caller, table.Shares[caller])
	}
	return nil
}

type policyDiff struct {
	nodeFlags
	File string `arg:"" type:"existingfile" help:"Policy program."`
}

// Run prints the differences of a program from the policy in force.
func (c *policyDiff) Run(env *environment) error {
	table, _, err := compileFile(c.File)
	if err != nil {
		return err
	}
	state, err := c.client().Policy(env.ctx, table.Service)
	if err != nil {
		return err
	}
	before := state.Policy.Table
	if before == nil {
		before = policy.DefaultTable(table.Service)
	}
	lines := policy.Diff(before, table)
	env.printf("service %s, against version %d: %d changes\n", table.Service, state.Version, len(lines))
	for _, line := range lines {
		env.printf("  %s\n", line)
	}
	return nil
}

type policyTry struct {
	File    string `arg:"" type:"existingfile" help:"Policy program."`
	History string `arg:"" type:"existingfile" help:"History written by dewknot load or dewknot sim."`
	Against string `type:"existingfile" help:"Policy program to compare with; the default rule if not given."`
}

// Run prints, by kind of request, how many recorded requests would be treated differently.
func (c *policyTry) Run(env *environment) error {
	table, _, err := compileFile(c.File)
	if err != nil {
		return err
	}
	before := policy.DefaultTable(table.Service)
	if c.Against != "" {
		if before, _, err = compileFile(c.Against); err != nil {
			return err
		}
	}
	recorded, err := history.LoadFile(c.History)
	if err != nil {
		return err
	}
	rows := trial.Compare(before, table, recorded.Operations)
	env.printf("%-22s %9s %9s %9s %9s %9s\n", "kind", "requests", "routed", "rejected", "admitted", "too late")
	for _, row := range rows {
		env.printf("%-22s %9d %9d %9d %9d %9d\n", row.Kind, row.Requests, row.Rerouted, row.Refused, row.Admitted, row.TooLate)
	}
	env.printf("routed: different freshness or server role; too late: answered, but after the new wait limit\n")
	return nil
}

type policySubmit struct {
	changeFlags
	File     string  `arg:"" type:"existingfile" help:"Policy program."`
	Replaces *uint64 `help:"Version that the policy replaces; the one in force if not given."`
}

// Run submits the policy.
func (c *policySubmit) Run(env *environment) error {
	table, source, err := compileFile(c.File)
	if err != nil {
		return err
	}
	replaces := uint64(0)
	if c.Replaces != nil {
		replaces = *c.Replaces
	} else {
		state, err := c.client().Policy(env.ctx, table.Service)
		if err != nil {
			return err
		}
		replaces = state.Version
	}
	change := c.change(replaces)
	outcome, err := c.client().SubmitPolicy(env.ctx, table.Service, operator.PolicyChange{Change: change, Source: string(source)})
	return reportOutcome(env, "policy "+table.Service, outcome, change, err)
}

type policyReview struct {
	changeFlags
	Service string `arg:"" help:"Service."`
	Approve uint64 `help:"Approve the proposal with this version."`
}

// Run shows the proposal that waits for review or approves it.
func (c *policyReview) Run(env *environment) error {
	if c.Approve > 0 {
		change := c.change(c.Approve)
		outcome, err := c.client().ApprovePolicy(env.ctx, c.Service, change)
		return reportOutcome(env, "policy "+c.Service, outcome, change, err)
	}
	proposal, err := c.client().Proposal(env.ctx, c.Service)
	if err != nil {
		return err
	}
	if proposal.Version == 0 {
		env.printf("no policy of service %s waits for review\n", c.Service)
		return nil
	}
	env.printf("proposal version %d by %s, replaces version %d\n%s\n", proposal.Version, proposal.Policy.Author, proposal.Policy.Replaces, proposal.Policy.Source)
	return nil
}

type policyShow struct {
	nodeFlags
	Service string `arg:"" help:"Service."`
}

// Run prints the policy in force.
func (c *policyShow) Run(env *environment) error {
	state, err := c.client().Policy(env.ctx, c.Service)
	if err != nil {
		return err
	}
	if state.Version == 0 {
		env.printf("service %s has no policy; the default is in force: %s\n", c.Service, policy.DefaultRule())
		return nil
	}
	env.printf("# version %d by %s\n%s\n", state.Version, state.Policy.Author, state.Policy.Source)
	return nil
}

type policyHistory struct {
	nodeFlags
	Service string `arg:"" help:"Service."`
}

// Run prints the recorded changes of a policy.
func (c *policyHistory) Run(env *environment) error {
	state, err := c.client().Policy(env.ctx, c.Service)
	if err != nil {
		return err
	}
	for _, operation := range state.Policy.Operations {
		env.printf("%s  %-16s replaced %d  operation %s  %s\n", operation.At.Format("2006-01-02 15:04:05"), operation.Author, operation.Version, operation.ID, operation.Note)
	}
	return nil
}

type policyStatus struct {
	nodeFlags
}

// Run prints the policy versions of each node.
func (c *policyStatus) Run(env *environment) error {
	fleet, err := c.client().Fleet(env.ctx)
	if err != nil {
		return err
	}
	for _, status := range fleet.Nodes {
		env.printf("%-16s revision %-6d", status.ID, status.Revision)
		for service, version := range status.Policies {
			env.printf("  %s=%d", service, version)
		}
		env.printf("\n")
	}
	if len(fleet.Silent) > 0 {
		env.printf("no answer: %s\n", strings.Join(fleet.Silent, " "))
	}
	return nil
}

type machineCommand struct {
	Stop   machineStop   `cmd:"" help:"Mark a node or server for a planned stop."`
	Resume machineResume `cmd:"" help:"Remove the mark."`
}

type machineMark struct {
	changeFlags
	Name  string `arg:"" help:"Name of a node, or address of a server."`
	Group string `help:"Group of the server; empty for a node."`
}

type machineStop struct{ machineMark }

// Run sets the mark.
func (c *machineStop) Run(env *environment) error { return c.mark(env, true) }

type machineResume struct{ machineMark }

// Run removes the mark.
func (c *machineResume) Run(env *environment) error { return c.mark(env, false) }

func (c *machineMark) mark(env *environment, leaving bool) error {
	change := c.change(0)
	mark := operator.MarkChange{Change: change, Leaving: leaving, Node: c.Name}
	if c.Group != "" {
		mark.Node, mark.Group, mark.Server = "", c.Group, c.Name
	}
	outcome, err := c.client().Mark(env.ctx, mark)
	return reportOutcome(env, "mark on "+c.Name, outcome, change, err)
}

type groupCommand struct {
	Set groupSet `cmd:"" help:"Configure a database group."`
}

type groupSet struct {
	changeFlags
	Name        string   `arg:"" help:"Name of the group; callers connect to it as the database."`
	Servers     []string `required:"" help:"Servers as zone=address."`
	Slots       int      `required:"" help:"Concurrent statements per server."`
	Connections int      `required:"" help:"Connection limit per server."`
	User        string   `default:"dewknot" help:"User name at the servers."`
	Password    string   `help:"Password at the servers."`
	Replaces    uint64   `help:"Version that the group replaces; 0 for a new group."`
}

// Run stores the group.
func (c *groupSet) Run(env *environment) error {
	group := configuration.Group{Name: c.Name, Slots: c.Slots, Connections: c.Connections, User: c.User, Password: c.Password}
	for _, text := range c.Servers {
		zone, address, found := strings.Cut(text, "=")
		if !found {
			return errors.Errorf("server %q is not of the form zone=address", text)
		}
		group.Servers = append(group.Servers, configuration.Server{Address: address, Zone: zone})
	}
	change := c.change(c.Replaces)
	outcome, err := c.client().SetGroup(env.ctx, operator.GroupChange{Change: change, Group: group})
	return reportOutcome(env, "group "+c.Name, outcome, change, err)
}

type userCommand struct {
	Set userSet `cmd:"" help:"Store a caller's password verifier."`
}

type userSet struct {
	changeFlags
	Name     string `arg:"" help:"User name."`
	Password string `required:"" env:"DEWKNOT_USER_PASSWORD" help:"Password; only its verifier is stored."`
	Replaces uint64 `help:"Version that the user replaces; 0 for a new user."`
}

// Run stores the verifier of the password.
func (c *userSet) Run(env *environment) error {
	verifier, err := credential.NewVerifier(c.Name, c.Password)
	if err != nil {
		return err
	}
	change := c.change(c.Replaces)
	outcome, err := c.client().SetUser(env.ctx, c.Name, operator.UserChange{Change: change, User: configuration.User{Verifier: verifier}})
	return reportOutcome(env, "user "+c.Name, outcome, change, err)
}

type statusCommand struct {
	nodeFlags
}

// Run prints each node with its groups and their servers.
func (c *statusCommand) Run(env *environment) error {
	fleet, err := c.client().Fleet(env.ctx)
	if err != nil {
		return err
	}
	for _, status := range fleet.Nodes {
		env.printf("node %-12s zone %-8s ready %-5t draining %-5t reader %-5t revision %-6d callers %-5d members %-4d busy %d\n",
			status.ID, status.Zone, status.Ready, status.Draining, status.Reader, status.Revision, status.Callers, len(status.Members), status.BusyRequests)
		for name, group := range status.Groups {
			env.printf("  group %-12s queued %-4d in progress %-4d transactions %d\n", name, group.Queued, group.InProgress, group.OpenTransactions)
			for index, server := range group.Servers {
				env.printf("    server %d: %-7s term %-4d applied %-12s fit %-5t leaving %-5t primary %-5t running %d connections %d\n",
					index, server.Report.Role, server.Report.Term, server.Report.Applied, server.Fit, server.Leaving, server.Primary, server.Running, server.InUse)
			}
		}
	}
	if len(fleet.Silent) > 0 {
		env.printf("no answer: %s\n", strings.Join(fleet.Silent, " "))
	}
	return nil
}
