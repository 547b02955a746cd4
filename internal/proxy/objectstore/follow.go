package objectstore

import (
	"context"
	"math/rand/v2"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/base/stall"
)

// Sink receives the objects of one kind, ordered by revision.
type Sink interface {
	// Reset replaces all known objects by a complete listing as of a revision.
	Reset(objects []Object, revision era.Revision)
	// Apply receives all changes since the last call, up to a revision.
	Apply(events []Object, revision era.Revision)
	// Confirmed reports that the store itself answered. The answer began at the given time, so all
	// changes up to then are known.
	Confirmed(began time.Time)
	// Lost is called when the store stops answering, and Regained when it answers again.
	Lost(err error)
	Regained()
}

// Timing of calls. Delays are jittered to spread the calls of many nodes.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// maxReaderRetryDelay replaces maxRetryDelay for a node that usually watches readers.
	maxReaderRetryDelay = 1500 * time.Millisecond
	// minPeerQueryInterval limits how often other nodes are queried. Their answers may be complete
	// listings.
	minPeerQueryInterval = time.Second
	// batchPause is the mean pause after changes, so that changes in quick succession arrive in one
	// batch.
	batchPause = 60 * time.Millisecond
	// startupPeriod is the time after its start in which a node uses startupBatchPause instead of
	// batchPause: when a fleet starts, all servers register at about the same time.
	startupPeriod     = 3 * time.Second
	startupBatchPause = 500 * time.Millisecond
	// answerTimeout limits the time until the first byte of an answer, in addition to the wait of a
	// watch, and after that the time without progress. The total time isn't limited, since it
	// depends on the size of the answer and on the link.
	answerTimeout = time.Second
	// firstListTimeout replaces answerTimeout until the first byte of the first listing if other
	// nodes can be queried: a starting node has no data yet.
	firstListTimeout = 400 * time.Millisecond
	// probeWait is the wait of a watch while the store doesn't answer.
	probeWait = 100 * time.Millisecond
)

// Source provides listings and watches of a kind.
type Source interface {
	// List and Watch behave like those of Store.
	List(ctx context.Context, kind string) ([]Object, era.Revision, error)
	Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error)
}

// Follow keeps a sink up to date with one kind until ctx ends. It lists the kind, then watches it,
// and lists it again when the history is gone.
//
// A store that was unresponsive may have dropped a call for good. A watch therefore times out
// answerTimeout after its wait, and calls are short until the store answers again. After the store
// recovers, a change is known within the sum of the wait, answerTimeout and minRetryDelay, and
// sooner after a long outage.
//
// When a call to the store fails, other nodes are queried, since the store may still answer them.
// Their data is used if it is newer.
//
// If there are readers, they are watched instead of the store, so that only few nodes watch the
// store itself. A node falls back to the store if no reader has recently had an answer from it.
func Follow(ctx context.Context, cfg FollowConfig) {
	follower := &follower{FollowConfig: cfg, answering: true, started: time.Now()}
	for ctx.Err() == nil {
		follower.step(ctx)
	}
}

// FollowConfig configures Follow.
type FollowConfig struct {
	Store Source
	// Peers, if not nil, is queried while the store doesn't answer. It limits the duration of its
	// own calls.
	Peers Source
	// Readers, if not nil, provides the data of nodes that watch the store for others. Its calls
	// fail if this node is a reader itself, or if no reader is up to date.
	Readers ReaderSource
	Kind    string
	// Wait returns the longest time that a watch of the store may wait for changes.
	Wait func() time.Duration
	Sink Sink
	// OnAnswer, if not nil, is called after each answer of the store or of a reader. For the store,
	// began is when the answer began, for a reader the start of the call.
	OnAnswer func(began time.Time)
}

// ReaderSource lists and watches the data of nodes that watch the store for others.
type ReaderSource interface {
	List(ctx context.Context, kind string) ([]Object, era.Revision, error)
	Watch(ctx context.Context, kind string, after era.Revision) ([]Object, era.Revision, error)
}

type follower struct {
	FollowConfig
	started  time.Time
	listed   bool
	revision era.Revision
	// answering is set while the store, or a reader in its place, answers.
	answering bool
	// delay is the current delay between retries.
	delay time.Duration
	// peersQueriedAt is when other nodes were last queried.
	peersQueriedAt time.Time
	// usesReaders is set once a reader has answered in place of the store.
	usesReaders bool
}

// step makes one call and processes its answer.
func (f *follower) step(ctx context.Context) {
	switch {
	case !f.listed:
		if !f.listReaders(ctx) {
			f.list(ctx)
		}
	case !f.watchReaders(ctx):
		f.watch(ctx)
	}
}

// listReaders lists the objects at a reader and reports whether one was up to date. Nodes that
// restart in a running fleet therefore don't call the store.
func (f *follower) listReaders(ctx context.Context) bool {
	if f.Readers == nil {
		return false
	}
	began := time.Now()
	objects, revision, err := f.Readers.List(ctx, f.Kind)
	if err != nil || revision < f.revision {
		return false
	}
	f.usesReaders = true
	f.succeeded(began)
	f.listed, f.revision = true, revision
	f.Sink.Reset(objects, revision)
	return true
}

// watchReaders watches a reader and reports whether the step is done. If not, the store must be
// watched.
func (f *follower) watchReaders(ctx context.Context) bool {
	if f.Readers == nil {
		return false
	}
	began := time.Now()
	events, revision, err := f.Readers.Watch(ctx, f.Kind, f.revision)
	if err != nil {
		if OutcomeOf(err) != HistoryGone {
			return false
		}
		f.listed = false
		return true
	}
	if revision.Era() < f.revision.Era() {
		return false
	}
	f.usesReaders = true
	f.succeeded(began)
	if revision > f.revision {
		f.revision = revision
		f.Sink.Apply(events, revision)
	}
	if len(events) > 0 {
		f.waitForBatch(ctx)
	}
	return true
}

// waitForBatch pauses after changes, so that changes that follow soon arrive together.
func (f *follower) waitForBatch(ctx context.Context) {
	if time.Since(f.started) < startupPeriod {
		sleepJittered(ctx, startupBatchPause)
		return
	}
	sleepJittered(ctx, batchPause)
}

// sleepJittered sleeps for 0.5 to 1.5 times mean, or until ctx ends.
func sleepJittered(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *follower) list(ctx context.Context) {
	timeout := answerTimeout
	if f.Peers != nil && f.peersQueriedAt.IsZero() {
		timeout = firstListTimeout
	}
	callCtx, cancel := stall.WithLimit(ctx, timeout, answerTimeout)
	defer cancel()
	objects, revision, err := f.Store.List(callCtx, f.Kind)
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.succeeded(stall.FirstByteTime(callCtx))
	f.listed, f.revision = true, revision
	f.Sink.Reset(objects, revision)
	f.Sink.Confirmed(stall.FirstByteTime(callCtx))
}

func (f *follower) watch(ctx context.Context) {
	wait := f.Wait()
	if !f.answering {
		wait = probeWait
	}
	callCtx, cancel := stall.WithLimit(ctx, wait+answerTimeout, answerTimeout)
	defer cancel()
	events, revision, err := f.Store.Watch(callCtx, f.Kind, f.revision, wait)
	if err != nil {
		if OutcomeOf(err) == HistoryGone {
			f.listed = false
			return
		}
		f.failed(ctx, err)
		return
	}
	f.succeeded(stall.FirstByteTime(callCtx))
	f.revision = revision
	f.Sink.Apply(events, revision)
	f.Sink.Confirmed(stall.FirstByteTime(callCtx))
	if len(events) > 0 {
		f.waitForBatch(ctx)
	}
}

func (f *follower) succeeded(began time.Time) {
	if f.OnAnswer != nil {
		f.OnAnswer(began)
	}
	f.delay = 0
	if !f.answering {
		f.answering = true
		f.Sink.Regained()
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.answering {
		f.answering = false
		f.Sink.Lost(err)
	}
	f.queryPeers(ctx)
	maxDelay := maxRetryDelay
	if f.usesReaders {
		maxDelay = maxReaderRetryDelay
	}
	f.delay = min(max(2*f.delay, minRetryDelay), maxDelay)
	sleepJittered(ctx, f.delay*2/3)
}

// queryPeers queries other nodes and applies their data if it is newer.
func (f *follower) queryPeers(ctx context.Context) {
	if f.Peers == nil || time.Since(f.peersQueriedAt) < minPeerQueryInterval {
		return
	}
	f.peersQueriedAt = time.Now()
	if f.listed {
		events, revision, err := f.Peers.Watch(ctx, f.Kind, f.revision, 0)
		if err == nil && revision > f.revision {
			f.revision = revision
			f.Sink.Apply(events, revision)
		}
		if err == nil || OutcomeOf(err) != HistoryGone {
			return
		}
	}
	objects, revision, err := f.Peers.List(ctx, f.Kind)
	if err == nil && revision > f.revision {
		f.listed, f.revision = true, revision
		f.Sink.Reset(objects, revision)
	}
}
