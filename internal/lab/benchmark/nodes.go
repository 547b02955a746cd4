package benchmark

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/lab/fleet"
	"dewknot/internal/lab/standin/database"
	"dewknot/internal/postgres/administration"
)

// NodesResult is what real nodes on loopback showed.
type NodesResult struct {
	Nodes int
	// BytesPerSecond is what a node sends and receives by membership in the quiet
	// state; CorePercent the processor time a node, with everything in it.
	BytesPerSecond, CorePercent float64
	// Spreads holds a row a disturbance.
	Spreads []NodesSpread
}

// NodesSpread is how fast changes came into force.
type NodesSpread struct {
	Disturbance string
	P50, Max    time.Duration
	Late        int // changes not in force everywhere within the limit
}

// Times of the measurement.
const (
	nodesSettle = 20 * time.Second
	nodesQuiet  = 10 * time.Second
	spreadLimit = 8 * time.Second
)

// Nodes runs real nodes in one process and measures their quiet state and how
// fast changes come into force, with the store up and with the store down right
// after each acceptance.
func Nodes(ctx context.Context, count, changes int) (*NodesResult, error) {
	running, err := fleet.Start(fleet.Settings{
		Nodes: count, Zones: []string{"a", "b", "c", "d", "e"}, Log: zap.NewNop(), Groups: []database.Settings{fleet.DefaultDatabase("bookings")},
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	time.Sleep(nodesSettle)
	result := &NodesResult{Nodes: count}
	result.quiet(running)
	number := 0
	for _, storeDown := range []bool{false, true} {
		name := "undisturbed"
		if storeDown {
			name = "store down from the acceptance on"
		}
		spread, err := spreadChanges(ctx, running, changes, storeDown, &number)
		if err != nil {
			return nil, err
		}
		spread.Disturbance = name
		result.Spreads = append(result.Spreads, spread)
	}
	return result, nil
}

func (r *NodesResult) quiet(running *fleet.Fleet) {
	traffic := func() (total uint64) {
		for _, node := range running.Nodes {
			total += node.GossipCounters.SentBytes.Load() + node.GossipCounters.ReceivedBytes.Load()
		}
		return total
	}
	bytes, cpu := traffic(), processorTime()
	time.Sleep(nodesQuiet)
	scale := float64(r.Nodes) * nodesQuiet.Seconds()
	r.BytesPerSecond = float64(traffic()-bytes) / scale
	r.CorePercent = 100 * (processorTime() - cpu).Seconds() / scale
}

func spreadChanges(ctx context.Context, running *fleet.Fleet, changes int, storeDown bool, number *int) (NodesSpread, error) {
	spread := NodesSpread{}
	var times []time.Duration
	for range changes {
		*number++
		through := running.Nodes[*number*7%len(running.Nodes)]
		_, replaced, err := through.PolicySource("bookings")
		if err != nil {
			return spread, err
		}
		source := fmt.Appendf(nil, "service(\"bookings\")\ndefault(wait = \"%dms\")\n", *number+1)
		change := administration.Change{Operation: fmt.Sprint("change", *number), Author: "bench", Replaces: replaced}
		outcome, err := through.Administration().SubmitPolicy(ctx, "bookings", source, change)
		if err != nil {
			return spread, err
		}
		accepted := time.Now()
		running.Store.SetDown(storeDown)
		err = fleet.Wait(spreadLimit, func() bool { return inForceEverywhere(running, outcome.Version) })
		running.Store.SetDown(false)
		if err != nil {
			spread.Late++
			continue
		}
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	if len(times) > 0 {
		spread.P50, spread.Max = times[len(times)/2], times[len(times)-1]
	}
	return spread, nil
}

func inForceEverywhere(running *fleet.Fleet, version uint64) bool {
	for _, node := range running.Nodes {
		policy := node.View().Config.Policies["bookings"]
		if policy == nil || policy.Version < version {
			return false
		}
	}
	return true
}
