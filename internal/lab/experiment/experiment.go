// Package experiment compares designs by simulating the two example deployments: how many reads
// replicas serve, how long writes are unavailable when a primary fails, and how capacity is shared
// in a burst.
package experiment

import (
	"fmt"
	"io"
	"time"

	"dewknot/internal/lab/check"
	"dewknot/internal/lab/history"
	"dewknot/internal/lab/measure"
	"dewknot/internal/lab/sim"
	"dewknot/internal/postgres/fairqueue"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/policy"
)

// Deployment is a simulated deployment.
type Deployment struct {
	Name     string
	Settings sim.Settings
}

// Parameters of a run: normal load, then a surge during which replicas lag and a primary is
// isolated, then normal load again.
const (
	surgeFrom     = 10 * time.Second
	lagFrom       = 12 * time.Second
	isolateAt     = 16 * time.Second
	isolateFor    = 8 * time.Second
	surgeTo       = 26 * time.Second
	runDuration   = 36 * time.Second
	surgeFactor   = 10
	replicaLag    = 300 * time.Millisecond
	electionDelay = 2 * time.Second
	clientCount   = 150
	thinkTime     = 250 * time.Millisecond
	readTime      = 4 * time.Millisecond
	writeTime     = 8 * time.Millisecond
	// gentvaartReplicaWait is the replica_wait of session reads in examples/gentvaart.star.
	gentvaartReplicaWait = 500 * time.Millisecond
)

func baseSettings(zones []sim.Zone, betweenZones, betweenRegions time.Duration, slots, connections int, mix sim.Mix) sim.Settings {
	return sim.Settings{
		Seed: 1, Duration: runDuration, Zones: zones, InZone: 250 * time.Microsecond, BetweenZones: betweenZones, BetweenRegions: betweenRegions,
		ToClients: 3 * time.Millisecond, Nodes: 9, Groups: 3, Slots: slots, Connections: connections, ConnectCost: 10 * time.Millisecond,
		ReadTime: readTime, WriteTime: writeTime, ElectionDelay: electionDelay, ReceiveDelay: time.Millisecond,
		Table: sim.DefaultTable(), Group: group.DefaultSettings(),
		Workload: sim.Workload{Clients: clientCount, Think: thinkTime, CarryShare: 0.5, Mix: mix, SurgeFrom: surgeFrom, SurgeTo: surgeTo, SurgeFactor: surgeFactor},
		Faults: []sim.Fault{
			{At: lagFrom, For: surgeTo - lagFrom, Kind: sim.LagReplicas, Group: 0, Lag: replicaLag},
			{At: lagFrom, For: surgeTo - lagFrom, Kind: sim.LagReplicas, Group: 1, Lag: replicaLag},
			{At: lagFrom, For: surgeTo - lagFrom, Kind: sim.LagReplicas, Group: 2, Lag: replicaLag},
			{At: isolateAt, For: isolateFor, Kind: sim.CutPrimary, Group: 0},
		},
	}
}

// Deployments returns the two example deployments.
func Deployments() []Deployment {
	shirebound := baseSettings(
		[]sim.Zone{{Name: "leicester", Region: "midlands"}, {Name: "york", Region: "north"}, {Name: "bristol", Region: "west"}},
		1500*time.Microsecond, 20*time.Millisecond, 5, 40,
		sim.Mix{Booking: 4, Payment: 2, StatusWrite: 1, OwnRead: 6, StatusRead: 3, Feed: 4, Manifest: 2},
	)
	gentvaart := baseSettings(
		[]sim.Zone{{Name: "gent", Region: "gent"}, {Name: "aalst", Region: "aalst"}, {Name: "ronse", Region: "ronse"}},
		500*time.Microsecond, 10*time.Millisecond, 10, 100,
		sim.Mix{Booking: 1, Payment: 1, StatusWrite: 1, OwnRead: 8, StatusRead: 1, Feed: 14, Manifest: 4},
	)
	// Gentvaart prefers replicas more: its reads wait longer for one.
	changeRules(&gentvaart, func(rule *policy.Rule) { rule.ReplicaWait = gentvaartReplicaWait })
	return []Deployment{{"shirebound", shirebound}, {"gentvaart results day", gentvaart}}
}

// Variant is a change to the design.
type Variant struct {
	Name  string
	Apply func(*sim.Settings)
}

// changeRules changes every rule of the policy table.
func changeRules(settings *sim.Settings, change func(*policy.Rule)) {
	table := settings.Table
	kinds := map[string]policy.Rule{}
	for name, rule := range table.Kinds {
		change(&rule)
		kinds[name] = rule
	}
	change(&table.Default)
	table.Kinds = kinds
	settings.Table = table
}

// Variants returns the designs to compare: baselines and variants of the implemented design.
func Variants() []Variant {
	return []Variant{
		{"primary only", func(s *sim.Settings) { changeRules(s, func(rule *policy.Rule) { rule.Write = true }) }},
		{"replicas, no session rule", func(s *sim.Settings) { s.Group.Mutations.SkipFloor = true }},
		{"read index for every read", func(s *sim.Settings) {
			changeRules(s, func(rule *policy.Rule) { rule.Freshness = policy.Current })
			s.Workload.CarryShare = 0
		}},
		{"chosen, no position carried", func(s *sim.Settings) { s.Workload.CarryShare = 0 }},
		{"chosen, position carried", func(s *sim.Settings) { s.Workload.CarryShare = 1 }},
	}
}

// Outcome is the result of a variant in a deployment.
type Outcome struct {
	Deployment, Variant string
	ReplicaShare        float64
	SurgeReplicaShare   float64
	Gap                 time.Duration
	Resumed             bool
	P50, P99            time.Duration // of successful requests in the surge
	Succeeded           int
	NotRunShare         float64
	UnknownShare        float64
	Violations          int
	Operations          []history.Operation
}

// Run simulates a variant of a deployment.
func Run(deployment Deployment, variant Variant) Outcome {
	settings := deployment.Settings
	variant.Apply(&settings)
	recorded, _ := sim.Run(settings)
	overall := measure.Summarize(recorded.Operations, 0, runDuration)
	inSurge := measure.Summarize(recorded.Operations, surgeFrom, surgeTo)
	outcome := Outcome{Deployment: deployment.Name, Variant: variant.Name, ReplicaShare: overall.ReplicaShare(), SurgeReplicaShare: inSurge.ReplicaShare()}
	outcome.Gap, outcome.Resumed = measure.FailoverGap(recorded.Operations, "group0", isolateAt)
	var times []time.Duration
	for _, operation := range recorded.Operations {
		if operation.Outcome == history.OK && operation.Start >= surgeFrom && operation.Start < surgeTo {
			times = append(times, operation.End-operation.Start)
		}
	}
	outcome.P50, outcome.P99 = measure.Quantile(times, 0.5), measure.Quantile(times, 0.99)
	succeeded, notRun, unknown := overall.Totals()
	total := float64(max(succeeded+notRun+unknown, 1))
	outcome.Succeeded = succeeded
	outcome.NotRunShare, outcome.UnknownShare = float64(notRun)/total, float64(unknown)/total
	outcome.Violations = len(check.History(recorded).Violations)
	outcome.Operations = recorded.Operations
	return outcome
}

// Compare simulates every variant of every deployment.
func Compare() []Outcome {
	var outcomes []Outcome
	for _, deployment := range Deployments() {
		for _, variant := range Variants() {
			outcomes = append(outcomes, Run(deployment, variant))
		}
	}
	return outcomes
}

// Print writes the outcomes as a Markdown table.
func Print(out io.Writer, outcomes []Outcome) {
	_, _ = fmt.Fprintf(out, "| deployment | design | replica reads | in the surge | failover gap | p50 in surge | p99 in surge | answered | not run | unknown | violations |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, outcome := range outcomes {
		gap := "not resumed"
		if outcome.Resumed {
			gap = outcome.Gap.Round(time.Millisecond).String()
		}
		_, _ = fmt.Fprintf(out, "| %s | %s | %.1f%% | %.1f%% | %s | %s | %s | %d | %.2f%% | %.3f%% | %d |\n", outcome.Deployment, outcome.Variant,
			100*outcome.ReplicaShare, 100*outcome.SurgeReplicaShare, gap, outcome.P50.Round(100*time.Microsecond), outcome.P99.Round(100*time.Microsecond),
			outcome.Succeeded, 100*outcome.NotRunShare, 100*outcome.UnknownShare, outcome.Violations)
	}
}

// OwnerOutcome says how long no write of a group was acknowledged after the loss of its owner.
type OwnerOutcome struct {
	Loss       string
	Gap        time.Duration
	Resumed    bool
	Violations int
}

// OwnerLosses simulates killing and pausing the owner of a group under Shirebound's normal load.
func OwnerLosses() []OwnerOutcome {
	const lostFor = 10 * time.Second
	var outcomes []OwnerOutcome
	for _, loss := range []sim.FaultKind{sim.KillOwner, sim.PauseOwner} {
		settings := Deployments()[0].Settings
		settings.Workload.SurgeFactor = 1
		settings.Faults = []sim.Fault{{At: isolateAt, For: lostFor, Kind: loss}}
		recorded, _ := sim.Run(settings)
		outcome := OwnerOutcome{Loss: string(loss), Violations: len(check.History(recorded).Violations)}
		outcome.Gap, outcome.Resumed = measure.FailoverGap(recorded.Operations, "group0", isolateAt)
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// ShareOutcome is the result of a queue discipline for both kinds of callers.
type ShareOutcome struct {
	Discipline string
	Passenger  CallerOutcome
	Reseller   CallerOutcome
}

// CallerOutcome summarizes the requests of a caller in the surge.
type CallerOutcome struct {
	Answered    int
	NotRunShare float64
	P50, P99    time.Duration
}

// Disciplines lists the queue disciplines with their names.
var Disciplines = []struct {
	Name  string
	Value fairqueue.Discipline
}{
	{"first in, first out", fairqueue.FirstInFirstOut},
	{"weighted fair", fairqueue.WeightedFair},
	{"dominant resource", fairqueue.DominantResource},
}

// Shares compares the queue disciplines while a reseller uses twice as many connections as all
// passengers, each with twenty times the requests of a passenger's connection.
func Shares() []ShareOutcome {
	const resellers, passengers, resellerFactor = 300, 150, 20
	var outcomes []ShareOutcome
	for _, discipline := range Disciplines {
		settings := Deployments()[0].Settings
		settings.Faults = nil
		settings.Group.Discipline = discipline.Value
		settings.Workload.Clients = resellers + passengers
		settings.Workload.Resellers, settings.Workload.ResellerFactor = resellers, resellerFactor
		settings.Workload.SurgeFactor = 1
		recorded, _ := sim.Run(settings)
		outcomes = append(outcomes, ShareOutcome{discipline.Name, callerOutcome(recorded.Operations, "passenger"), callerOutcome(recorded.Operations, "reseller")})
	}
	return outcomes
}

func callerOutcome(operations []history.Operation, caller string) CallerOutcome {
	outcome := CallerOutcome{}
	var times []time.Duration
	rejected := 0
	for _, operation := range operations {
		if operation.Caller != caller || operation.Start < surgeFrom || operation.Start >= surgeTo {
			continue
		}
		if operation.Outcome == history.OK {
			times = append(times, operation.End-operation.Start)
		} else {
			rejected++
		}
	}
	outcome.Answered = len(times)
	outcome.NotRunShare = float64(rejected) / float64(max(rejected+len(times), 1))
	outcome.P50, outcome.P99 = measure.Quantile(times, 0.5), measure.Quantile(times, 0.99)
	return outcome
}

// PrintShares writes the outcomes as a Markdown table.
func PrintShares(out io.Writer, outcomes []ShareOutcome) {
	_, _ = fmt.Fprintf(out, "| discipline | caller | answered | refused | p50 | p99 |\n|---|---|---|---|---|---|\n")
	for _, outcome := range outcomes {
		for _, row := range []struct {
			name string
			CallerOutcome
		}{{"passenger", outcome.Passenger}, {"reseller", outcome.Reseller}} {
			_, _ = fmt.Fprintf(out, "| %s | %s | %d | %.1f%% | %s | %s |\n", outcome.Discipline, row.name, row.Answered, 100*row.NotRunShare,
				row.P50.Round(100*time.Microsecond), row.P99.Round(100*time.Microsecond))
		}
	}
}
