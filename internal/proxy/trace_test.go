package proxy_test

import (
	"bytes"
	"fmt"
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

// traceRecorder keeps the traces of a fleet's failover machines.
type traceRecorder struct {
	mutex   sync.Mutex
	content map[string]*bytes.Buffer
	writers []*trace.FailoverWriter
	// agreed is set if the nodes agree on tenures.
	agreed bool
}

// recordTraces makes a fleet's nodes that start from now on record their machines.
func (f *simulatedFleet) recordTraces() {
	f.traces = &traceRecorder{content: map[string]*bytes.Buffer{}, agreed: f.agreed}
}

// of returns how one life of a node records its machines; nil if it does not.
func (r *traceRecorder) of(node, life string) func(service string, rank time.Duration) backends.FailoverTrace {
	if r == nil {
		return nil
	}
	return func(service string, rank time.Duration) backends.FailoverTrace {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		content := &bytes.Buffer{}
		writer := trace.NewFailoverWriter(content, trace.FailoverSettings{Node: node, Life: life, Rank: rank, Agreed: r.agreed})
		r.content[fmt.Sprintf("%s-%s-%s", service, node, life)] = content
		r.writers = append(r.writers, writer)
		return &lockedTrace{recorder: r, writer: writer}
	}
}

// lockedTrace is one machine's trace; machines of many nodes and the test's end share
// the recorder.
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

// replayAll replays all traces, demands that they show what the live machines did, and
// returns how many orders they hold. With DEWKNOT_TRACES they are written to that folder.
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

// TestFailoverOfRecordedDaysReplays: what the failover machines of a day with random
// troubles were told gives the same orders again. The seeds once lost commits.
func TestFailoverOfRecordedDaysReplays(t *testing.T) {
	for _, seed := range []uint64{9, 11} {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := newRecordedFleet(fewNodes, 1)
			result := simulateOn(fleet, seed, 40*time.Second)
			must.SliceEmpty(t, result.violations)
			must.Positive(t, fleet.traces.replayAll(t))
		})
	}
}
