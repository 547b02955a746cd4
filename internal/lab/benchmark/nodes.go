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

// NodesResult is the result of Nodes.
type NodesResult struct {
	Nodes int
	// BytesPerSecond is a node's membership traffic in both directions while idle. CorePercent is
	// the process's CPU time per node while idle.
	BytesPerSecond, CorePercent float64
	// Propagation holds a result for each disturbance.
	Propagation []PropagationResult
}

// PropagationResult says how long changes took to be in force on all nodes.
type PropagationResult struct {
	Disturbance string
	P50, Max    time.Duration
	Late        int // changes that weren't in force on all nodes within the timeout
}

// Durations of the measurement.
const (
	settleDuration     = 20 * time.Second
	idleDuration       = 10 * time.Second
	propagationTimeout = 8 * time.Second
)

// Nodes runs real nodes in one process. It measures them while idle, and how long changes take to
// be in force everywhere, first with the store up and then with the store down from the time at
// which it accepts a change.
func Nodes(ctx context.Context, count, changes int) (*NodesResult, error) {
	running, err := fleet.Start(fleet.Settings{
		Nodes: count, Zones: []string{"a", "b", "c", "d", "e"}, Log: zap.NewNop(), Groups: []database.Settings{fleet.DefaultDatabase("bookings")},
	})
	if err != nil {
		return nil, err
	}
	defer running.Close()
	time.Sleep(settleDuration)
	result := &NodesResult{Nodes: count}
	result.measureIdle(running)
	number := 0
	for _, storeDown := range []bool{false, true} {
		name := "undisturbed"
		if storeDown {
			name = "store down after the acceptance"
		}
		propagation, err := measureChanges(ctx, running, changes, storeDown, &number)
		if err != nil {
			return nil, err
		}
		propagation.Disturbance = name
		result.Propagation = append(result.Propagation, propagation)
	}
	return result, nil
}

func (r *NodesResult) measureIdle(running *fleet.Fleet) {
	traffic := func() (total uint64) {
		for _, node := range running.Nodes {
			total += node.GossipCounters.SentBytes.Load() + node.GossipCounters.ReceivedBytes.Load()
		}
		return total
	}
	bytes, cpu := traffic(), cpuTime()
	time.Sleep(idleDuration)
	scale := float64(r.Nodes) * idleDuration.Seconds()
	r.BytesPerSecond = float64(traffic()-bytes) / scale
	r.CorePercent = 100 * (cpuTime() - cpu).Seconds() / scale
}

func measureChanges(ctx context.Context, running *fleet.Fleet, changes int, storeDown bool, number *int) (PropagationResult, error) {
	result := PropagationResult{}
	var times []time.Duration
	for range changes {
		*number++
		node := running.Nodes[*number*7%len(running.Nodes)]
		_, replaced, err := node.ActivePolicy("bookings")
		if err != nil {
			return result, err
		}
		source := fmt.Appendf(nil, "service(\"bookings\")\ndefault(wait = \"%dms\")\n", *number+1)
		change := administration.Change{Operation: fmt.Sprint("change", *number), Author: "bench", Replaces: replaced}
		outcome, err := node.Administration().SubmitPolicy(ctx, "bookings", source, change)
		if err != nil {
			return result, err
		}
		accepted := time.Now()
		running.Store.SetDown(storeDown)
		err = fleet.Wait(propagationTimeout, func() bool { return inForceOnAll(running, outcome.Version) })
		running.Store.SetDown(false)
		if err != nil {
			result.Late++
			continue
		}
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	if len(times) > 0 {
		result.P50, result.Max = times[len(times)/2], times[len(times)-1]
	}
	return result, nil
}

func inForceOnAll(running *fleet.Fleet, version uint64) bool {
	for _, node := range running.Nodes {
		policy := node.View().Config.Policies["bookings"]
		if policy == nil || policy.Version < version {
			return false
		}
	}
	return true
}
