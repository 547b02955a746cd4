package proxy_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/trace"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/failover"
)

// traceRecorder records the traces of a fleet's failover state machines.
type traceRecorder struct {
	mutex   sync.Mutex
	content map[string]*bytes.Buffer
	writers []*trace.FailoverWriter
	// usesTenures is set if the nodes agree on tenures by quorum.
	usesTenures bool
}

// recordTraces records the failover state machines of all nodes that start from now on.
func (f *simulatedFleet) recordTraces() {
	f.traces = &traceRecorder{content: map[string]*bytes.Buffer{}, usesTenures: f.usesTenures}
}

// of returns the function that records the machines of one incarnation of a node; nil if the
// recorder is nil.
func (r *traceRecorder) of(
	node, incarnation string,
) func(service string, rankDelay time.Duration) backends.FailoverTrace {
	if r == nil {
		return nil
	}
	return func(service string, rankDelay time.Duration) backends.FailoverTrace {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		content := &bytes.Buffer{}
		writer := trace.NewFailoverWriter(content,
			trace.FailoverSettings{Node: node, Incarnation: incarnation, RankDelay: rankDelay, UsesTenures: r.usesTenures})
		r.content[fmt.Sprintf("%s-%s-%s", service, node, incarnation)] = content
		r.writers = append(r.writers, writer)
		return &lockedTrace{recorder: r, writer: writer}
	}
}

// lockedTrace is the trace of one machine. The machines of all nodes share the recorder.
type lockedTrace struct {
	recorder *traceRecorder
	writer   *trace.FailoverWriter
}

// Step implements backends.FailoverTrace.
func (l *lockedTrace) Step(at time.Duration, event failover.Event, effects []failover.Effect) {
	l.recorder.mutex.Lock()
	defer l.recorder.mutex.Unlock()
	l.writer.Step(at, event, effects)
}

// replayAll checks that a replay of each trace has the same effects as the live machine, and
// returns the number of promotion orders. With DEWKNOT_TRACES it also writes the traces to that
// directory.
func (r *traceRecorder) replayAll(t *testing.T) int {
	t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, writer := range r.writers {
		must.NoError(t, writer.Close())
	}
	orders := 0
	for name, content := range r.content {
		if folder := os.Getenv("DEWKNOT_TRACES"); folder != "" {
			must.NoError(t, os.WriteFile(filepath.Join(folder, name+".trace"), content.Bytes(), 0o600))
		}
		result, err := trace.Replay(bytes.NewReader(content.Bytes()))
		must.NoError(t, err)
		must.Eq(t, "", result.Difference, must.Sprint(name))
		orders += len(result.Orders)
	}
	return orders
}

// crashPrimaryOnce lets the fleet replace a primary that has crashed, while nothing else is wrong. Random
// faults need not include one that takes an order.
func (f *simulatedFleet) crashPrimaryOnce(seed uint64) {
	const leasesWritten, failover = 8 * time.Second, 6 * time.Second
	var calling sync.WaitGroup
	caller := f.caller("first", rand.New(rand.NewPCG(seed, 100)))
	calling.Go(func() { caller.Run(time.Now().Add(leasesWritten + failover)) })
	time.Sleep(leasesWritten)
	primary := f.group.Primary()
	primary.Crash()
	calling.Wait()
	primary.Restart()
}

// TestFailoverOfRecordedRunsReplays guards against failover machines whose recorded events don't
// lead to the same orders again.
func TestFailoverOfRecordedRunsReplays(t *testing.T) {
	for _, seed := range []uint64{9, 11} {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := newRecordedFleet(fewNodes, 1)
			fleet.crashPrimaryOnce(seed)
			result := simulateOn(fleet, seed, 40*time.Second)
			must.SliceEmpty(t, result.violations)
			must.Positive(t, fleet.traces.replayAll(t))
		})
	}
}
