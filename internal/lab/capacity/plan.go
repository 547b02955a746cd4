package capacity

import (
	"fmt"
	"io"
	"strings"
)

// secondsPerDay turns rates a day into rates a second.
const secondsPerDay = 86400

// Line is one row of a plan: what a role costs a node at the size.
type Line struct {
	Role      string
	State     string
	Messages  float64 // a second
	Bytes     float64 // a second
	Core      float64 // share of one core
	Memory    float64 // bytes
	Control   bool    // counts against the limits on control
	Mechanism string
	Basis     string
}

// Plan is the cost of every role at a size, and the verdicts on the limits.
type Plan struct {
	Size     Size
	Lines    []Line
	Verdicts []Verdict
	// NonLinear names the slopes that are no good fit.
	NonLinear []string
}

// Verdict compares a need with its limit.
type Verdict struct {
	Name      string
	Need      float64
	Limit     float64
	Unit      string
	Basis     string
	Satisfied bool
}

// Headroom is the limit divided by the need.
func (v Verdict) Headroom() float64 {
	if v.Need <= 0 {
		return 0
	}
	return v.Limit / v.Need
}

const (
	megabyte    = 1 << 20
	kilobyte    = 1000
	microsecond = 1e-6
	// standbys is how many nodes besides the owner may hold a group.
	standbys = 1
)

// New works out the plan.
func New(size Size, slopes Slopes) *Plan {
	plan := &Plan{Size: size}
	at := func(name string, amount float64) float64 {
		slope, _ := slopes.find(name)
		return max(slope.At(amount), 0)
	}
	each := func(name string) float64 {
		slope, _ := slopes.find(name)
		return slope.Slope
	}
	for _, slope := range slopes.Slope {
		if !slope.Linear() {
			plan.NonLinear = append(plan.NonLinear, fmt.Sprintf("%s (worst error %.0f%%)", slope.Name, 100*slope.WorstError))
		}
	}
	nodes := float64(size.Nodes)
	owned := float64(size.Groups) / nodes
	callers := float64(size.ClientConnections) / nodes
	statements := float64(size.StatementsPerSecond) / nodes
	local := 1 / nodes
	questions := owned * float64(size.ServersPerGroup) / size.PollSeconds
	changes := size.ConfigChangesPerDay / secondsPerDay
	churn := (size.RestartsPerDay*2 + size.FailuresPerDay) / secondsPerDay
	plan.Lines = []Line{
		{
			Role: "listener, idle callers", State: fmt.Sprintf("%.0f callers", callers), Memory: callers * each(CallerMemory),
			Mechanism: "one goroutine and small buffers a caller (internal/listener/session.go)", Basis: "fitted slope",
		},
		{
			Role: "listener and owner, statements", State: fmt.Sprintf("%.0f statements/s, %.1f%% of them local", statements, 100*local), Messages: statements * 2 * (1 - local),
			Core:      microsecond * statements * (local*each(OwnedStatement) + (1-local)*each(ForwardStatement)),
			Mechanism: "two roles a node, one msgpack frame each way (internal/peer, internal/forward)", Basis: "fitted slope; includes both nodes' shares, as each node is listener and owner",
		},
		{
			Role: "owner, connections", State: fmt.Sprintf("%.1f groups, at most %.0f connections", owned, owned*float64(size.ServersPerGroup*size.ConnectionsPerServer)),
			Memory:    owned * float64(size.ServersPerGroup*size.ConnectionsPerServer) * each(BackendConnection),
			Mechanism: "groups spread by rendezvous hashing; only owners connect (internal/placement, internal/owner)", Basis: "fitted slope; connection limit from the brief",
		},
		{
			Role: "owner, status questions", State: fmt.Sprintf("%.1f groups of %d servers, every %.1f s", owned, size.ServersPerGroup, size.PollSeconds), Control: true,
			Messages: questions, Bytes: questions * each(StatusBytes), Core: microsecond * questions * each(StatusCPU), Memory: owned * (1 + standbys) * each(GroupMemory),
			Mechanism: "one batched question a server serves all waiting requests (internal/group/confirm.go)", Basis: "fitted slopes; poll interval from the settings",
		},
		{
			Role: "membership", State: fmt.Sprintf("%d members", size.Nodes), Control: true,
			Messages: at(GossipMessages, nodes), Bytes: at(GossipBytes, nodes), Core: microsecond * at(GossipCPU, nodes),
			Mechanism: "one probe a second, news on probes, digests instead of lists (internal/membership)", Basis: "fitted line over simulated fleets of an earlier step, read at the size",
		},
		{
			Role: "membership changes", State: fmt.Sprintf("%.2f changes/min", 60*churn), Control: true,
			Bytes: churn * at(ChurnBytes, nodes), Core: microsecond * churn * at(ChurnCPU, nodes),
			Mechanism: "news on probes, suspicion before death (internal/membership)", Basis: "fitted line over simulated fleets of an earlier step",
		},
		{
			Role: "configuration", State: fmt.Sprintf("%.0f changes/day, 3 store readers in the fleet", size.ConfigChangesPerDay), Control: true,
			Bytes: changes * at(ChangeBytes, nodes), Core: microsecond * changes * at(ChangeCPU, nodes), Memory: at(ControlMemory, nodes),
			Mechanism: "push to 4 peers on first sight, digests on probes (internal/core/control.go)", Basis: "fitted line over simulated fleets of an earlier step; memory holds members and configuration",
		},
	}
	plan.Lines = append(plan.Lines, recovery(size, owned))
	plan.judge(at)
	return plan
}

// recovery is what the loss of one node asks of those that take over: its groups
// move, and their connections are set up again as requests need them.
func recovery(size Size, owned float64) Line {
	const millisecond = 1e-3
	connections := float64(size.ConnectionsPerServer)
	oneByOne := connections * size.ConnectMilliseconds * millisecond
	return Line{
		Role: "recovery from a lost node", State: fmt.Sprintf("%.1f groups move; at most %.0f connections, %.1f s a server if set up one by one", owned, owned*float64(size.ServersPerGroup)*connections, oneByOne),
		Mechanism: "stand-by owners, connections on demand (internal/forward/router.go, internal/backend/pool.go)", Basis: "assumed: cost of a connection from the brief",
	}
}

// judge compares the control roles' sums, and the times, with the limits.
func (p *Plan) judge(at func(string, float64) float64) {
	core, memory, bytes := 0.0, 0.0, 0.0
	for _, line := range p.Lines {
		if line.Control {
			core += line.Core
			memory += line.Memory
			bytes += line.Bytes
		}
	}
	nodes := float64(p.Size.Nodes)
	p.add("control processor", 100*core, p.Size.ControlCorePercent, "% of a core", "fitted")
	p.add("control memory", memory/megabyte, p.Size.ControlMegabytes, "MB", "fitted")
	p.add("control traffic", bytes/kilobyte, p.Size.ControlKilobytes, "KB/s", "fitted")
	p.add("change of primary", p.Size.MeasuredGapSeconds, p.Size.PrimaryChangeSeconds, "s", fmt.Sprintf("measured on the bench with an assumed group's own change of %.1f s", p.Size.ElectionSeconds))
	p.add("configuration in force", at(ChangeSpread, nodes), p.Size.ConfigurationSeconds, "s", "fitted over simulated fleets of an earlier step, undisturbed")
}

func (p *Plan) add(name string, need, limit float64, unit, basis string) {
	p.Verdicts = append(p.Verdicts, Verdict{Name: name, Need: need, Limit: limit, Unit: unit, Basis: basis, Satisfied: need <= limit})
}

// Print writes the plan as Markdown tables.
func (p *Plan) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "| role | state a node | messages/s | bytes/s | core | memory | mechanism | basis |\n|---|---|---|---|---|---|---|---|\n")
	for _, line := range p.Lines {
		_, _ = fmt.Fprintf(out, "| %s%s | %s | %s | %s | %s | %s | %s | %s |\n", line.Role, controlMark(line.Control), line.State, number(line.Messages), number(line.Bytes),
			percent(line.Core), size(line.Memory), line.Mechanism, line.Basis)
	}
	_, _ = fmt.Fprintf(out, "\n(c) counts against the limits on control.\n\n| limit | need | limit | headroom | verdict | basis |\n|---|---|---|---|---|---|\n")
	for _, verdict := range p.Verdicts {
		answer := "fits"
		if !verdict.Satisfied {
			answer = "DOES NOT FIT"
		}
		_, _ = fmt.Fprintf(out, "| %s | %.3g %s | %.3g %s | %.1f | %s | %s |\n", verdict.Name, verdict.Need, verdict.Unit, verdict.Limit, verdict.Unit, verdict.Headroom(), answer, verdict.Basis)
	}
	if len(p.NonLinear) > 0 {
		_, _ = fmt.Fprintf(out, "\nNot well described by a line: %s.\n", strings.Join(p.NonLinear, ", "))
	}
}

func controlMark(control bool) string {
	if control {
		return " (c)"
	}
	return ""
}

func number(value float64) string {
	if value == 0 {
		return "–"
	}
	return fmt.Sprintf("%.3g", value)
}

func percent(core float64) string {
	if core == 0 {
		return "–"
	}
	return fmt.Sprintf("%.3g%%", 100*core)
}

func size(bytes float64) string {
	switch {
	case bytes == 0:
		return "–"
	case bytes < megabyte:
		return fmt.Sprintf("%.0f KB", bytes/1024)
	default:
		return fmt.Sprintf("%.1f MB", bytes/megabyte)
	}
}

// Print writes the slopes as a Markdown table.
func (s Slopes) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "| slope | line | worst error | sizes | values | made by |\n|---|---|---|---|---|---|\n")
	for _, slope := range s.Slope {
		_, _ = fmt.Fprintf(out, "| %s | %.4g %s + %.4g per %s | %.0f%% | %s | %s | `%s` |\n", slope.Name, slope.Intercept, slope.Unit, slope.Slope, slope.Per,
			100*slope.WorstError, join(slope.Sizes), join(slope.Values), slope.Command)
	}
}

func join(values []float64) string {
	texts := make([]string, len(values))
	for index, value := range values {
		texts[index] = fmt.Sprintf("%.4g", value)
	}
	return strings.Join(texts, ", ")
}
