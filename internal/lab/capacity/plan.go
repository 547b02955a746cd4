package capacity

import (
	"fmt"
	"io"
	"strings"
)

// secondsPerDay converts rates per day to rates per second.
const secondsPerDay = 86400

// Line is a row of a plan: what a role costs a node.
type Line struct {
	Role      string
	State     string
	Messages  float64 // per second
	Bytes     float64 // per second
	Core      float64 // share of one core
	Memory    float64 // bytes
	Control   bool    // counts towards the limits of the control plane
	Mechanism string
	Basis     string
}

// Plan holds the cost of every role at a fleet size and the comparison with the limits.
type Plan struct {
	Size     Size
	Lines    []Line
	Verdicts []Verdict
	// NonLinear names the slopes that don't fit their measurements.
	NonLinear []string
}

// Verdict compares a required amount with its limit.
type Verdict struct {
	Name      string
	Need      float64
	Limit     float64
	Unit      string
	Basis     string
	Satisfied bool
}

// Headroom returns the limit divided by the need.
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
	// standbys is how many nodes besides the owner may keep a group's state.
	standbys = 1
)

// New computes a plan.
func New(size Size, slopes Slopes) *Plan {
	plan := &Plan{Size: size}
	costAt := func(name string, amount float64) float64 {
		slope, _ := slopes.find(name)
		return max(slope.At(amount), 0)
	}
	costPerUnit := func(name string) float64 {
		slope, _ := slopes.find(name)
		return slope.Slope
	}
	for _, slope := range slopes.Slope {
		if !slope.Linear() {
			plan.NonLinear = append(plan.NonLinear, fmt.Sprintf("%s (worst error %.0f%%)", slope.Name, 100*slope.WorstError))
		}
	}
	nodes := float64(size.Nodes)
	groups := float64(size.Groups) / nodes
	callers := float64(size.ClientConnections) / nodes
	statements := float64(size.StatementsPerSecond) / nodes
	localShare := 1 / nodes
	statusQueries := groups * float64(size.ServersPerGroup) / size.PollSeconds
	changes := size.ConfigChangesPerDay / secondsPerDay
	churn := (size.RestartsPerDay*2 + size.FailuresPerDay) / secondsPerDay
	plan.Lines = []Line{
		{
			Role: "listener, idle callers", State: fmt.Sprintf("%.0f callers", callers), Memory: callers * costPerUnit(CallerMemory),
			Mechanism: "one goroutine and small buffers per caller (internal/postgres/listener/session.go)", Basis: "fitted slope",
		},
		{
			Role: "listener and owner, statements", State: fmt.Sprintf("%.0f statements/s, %.1f%% of them local", statements, 100*localShare), Messages: statements * 2 * (1 - localShare),
			Core:      microsecond * statements * (localShare*costPerUnit(OwnedStatement) + (1-localShare)*costPerUnit(ForwardStatement)),
			Mechanism: "two roles per node, one msgpack frame in each direction (internal/postgres/peer, internal/postgres/forward)", Basis: "fitted slope; includes the costs of both nodes, as each node is listener and owner",
		},
		{
			Role: "owner, connections", State: fmt.Sprintf("%.1f groups, at most %.0f connections", groups, groups*float64(size.ServersPerGroup*size.ConnectionsPerServer)),
			Memory:    groups * float64(size.ServersPerGroup*size.ConnectionsPerServer) * costPerUnit(BackendConnection),
			Mechanism: "groups distributed by rendezvous hashing; only owners connect (internal/base/placement, internal/postgres/owner)", Basis: "fitted slope; connection limit from the size file",
		},
		{
			Role: "owner, status queries", State: fmt.Sprintf("%.1f groups of %d servers, every %.1f s", groups, size.ServersPerGroup, size.PollSeconds), Control: true,
			Messages: statusQueries, Bytes: statusQueries * costPerUnit(StatusBytes), Core: microsecond * statusQueries * costPerUnit(StatusCPU), Memory: groups * (1 + standbys) * costPerUnit(GroupMemory),
			Mechanism: "one status query per server serves all waiting requests (internal/postgres/group/confirm.go)", Basis: "fitted slopes; poll interval from the settings",
		},
		{
			Role: "membership", State: fmt.Sprintf("%d members", size.Nodes), Control: true,
			Messages: costAt(GossipMessages, nodes), Bytes: costAt(GossipBytes, nodes), Core: microsecond * costAt(GossipCPU, nodes),
			Mechanism: "one probe per second, changes sent with probes, digests instead of lists (internal/postgres/membership)", Basis: "linear fit over simulated fleets, evaluated at the size",
		},
		{
			Role: "membership changes", State: fmt.Sprintf("%.2f changes/min", 60*churn), Control: true,
			Bytes: churn * costAt(ChurnBytes, nodes), Core: microsecond * churn * costAt(ChurnCPU, nodes),
			Mechanism: "changes sent with probes, suspicion before removal (internal/postgres/membership)", Basis: "linear fit over simulated fleets",
		},
		{
			Role: "configuration", State: fmt.Sprintf("%.0f changes/day, 3 store readers in the fleet", size.ConfigChangesPerDay), Control: true,
			Bytes: changes * costAt(ChangeBytes, nodes), Core: microsecond * changes * costAt(ChangeCPU, nodes), Memory: costAt(ControlMemory, nodes),
			Mechanism: "sent to 4 peers on receipt, digests sent with probes (internal/postgres/core/control.go)", Basis: "linear fit over simulated fleets; memory includes members and configuration",
		},
	}
	plan.Lines = append(plan.Lines, recovery(size, groups))
	plan.checkLimits(costAt)
	return plan
}

// recovery returns the cost of taking over the groups of a lost node. Connections to their servers
// are opened again as requests need them.
func recovery(size Size, groups float64) Line {
	const millisecond = 1e-3
	connections := float64(size.ConnectionsPerServer)
	oneByOne := connections * size.ConnectMilliseconds * millisecond
	return Line{
		Role: "recovery from a lost node", State: fmt.Sprintf("%.1f groups move; at most %.0f connections, %.1f s per server if opened one by one", groups, groups*float64(size.ServersPerGroup)*connections, oneByOne),
		Mechanism: "standby owners, connections on demand (internal/postgres/forward/router.go, internal/postgres/backend/pool.go)", Basis: "assumed: cost of a connection from the size file",
	}
}

// checkLimits compares the total cost of the control roles and the durations with the limits.
func (p *Plan) checkLimits(costAt func(string, float64) float64) {
	core, memory, bytes := 0.0, 0.0, 0.0
	for _, line := range p.Lines {
		if line.Control {
			core += line.Core
			memory += line.Memory
			bytes += line.Bytes
		}
	}
	nodes := float64(p.Size.Nodes)
	p.addVerdict("control processor", 100*core, p.Size.ControlCorePercent, "% of a core", "fitted")
	p.addVerdict("control memory", memory/megabyte, p.Size.ControlMegabytes, "MB", "fitted")
	p.addVerdict("control traffic", bytes/kilobyte, p.Size.ControlKilobytes, "KB/s", "fitted")
	p.addVerdict("change of primary", p.Size.MeasuredGapSeconds, p.Size.PrimaryChangeSeconds, "s", fmt.Sprintf("measured with an assumed election time of %.1f s", p.Size.ElectionSeconds))
	p.addVerdict("configuration in force", costAt(ChangeSpread, nodes), p.Size.ConfigurationSeconds, "s", "linear fit over simulated fleets without faults")
}

func (p *Plan) addVerdict(name string, need, limit float64, unit, basis string) {
	p.Verdicts = append(p.Verdicts, Verdict{Name: name, Need: need, Limit: limit, Unit: unit, Basis: basis, Satisfied: need <= limit})
}

// Print writes the plan as Markdown tables.
func (p *Plan) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "| role | state per node | messages/s | bytes/s | core | memory | mechanism | basis |\n|---|---|---|---|---|---|---|---|\n")
	for _, line := range p.Lines {
		_, _ = fmt.Fprintf(out, "| %s%s | %s | %s | %s | %s | %s | %s | %s |\n", line.Role, controlMark(line.Control), line.State, formatNumber(line.Messages), formatNumber(line.Bytes),
			formatPercent(line.Core), formatBytes(line.Memory), line.Mechanism, line.Basis)
	}
	_, _ = fmt.Fprintf(out, "\n(c) counts towards the control limits.\n\n| limit | need | limit | headroom | verdict | basis |\n|---|---|---|---|---|---|\n")
	for _, verdict := range p.Verdicts {
		result := "fits"
		if !verdict.Satisfied {
			result = "DOES NOT FIT"
		}
		_, _ = fmt.Fprintf(out, "| %s | %.3g %s | %.3g %s | %.1f | %s | %s |\n", verdict.Name, verdict.Need, verdict.Unit, verdict.Limit, verdict.Unit, verdict.Headroom(), result, verdict.Basis)
	}
	if len(p.NonLinear) > 0 {
		_, _ = fmt.Fprintf(out, "\nNot linear: %s.\n", strings.Join(p.NonLinear, ", "))
	}
}

func controlMark(control bool) string {
	if control {
		return " (c)"
	}
	return ""
}

func formatNumber(value float64) string {
	if value == 0 {
		return "–"
	}
	return fmt.Sprintf("%.3g", value)
}

func formatPercent(core float64) string {
	if core == 0 {
		return "–"
	}
	return fmt.Sprintf("%.3g%%", 100*core)
}

func formatBytes(bytes float64) string {
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
			100*slope.WorstError, formatNumbers(slope.Sizes), formatNumbers(slope.Values), slope.Command)
	}
}

func formatNumbers(values []float64) string {
	texts := make([]string, len(values))
	for index, value := range values {
		texts[index] = fmt.Sprintf("%.4g", value)
	}
	return strings.Join(texts, ", ")
}
