package objectstore

import (
	"context"
	"math/rand/v2"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/base/stall"
)

// Sink receives the objects of one kind, in the order of their revisions.
type Sink interface {
	// Reset replaces all that is known by a complete listing at a revision.
	Reset(objects []Object, revision era.Revision)
	// Apply takes changes since the last call, complete up to a revision.
	Apply(events []Object, revision era.Revision)
	// Confirmed tells that the store itself began to answer at a time, so that all
	// changes up to then are known.
	Confirmed(now time.Time)
	// Lost and Regained tell when the store stops and starts to answer.
	Lost(err error)
	Regained()
}

// Times of calls. Jitter spreads the calls of many nodes.
const (
	firstRetryDelay = 100 * time.Millisecond
	lastRetryDelay  = 600 * time.Millisecond
	// spareRetryDelay is the longest delay of a node that usually watches readers.
	spareRetryDelay = 1500 * time.Millisecond
	// othersPause is the least pause between two rounds of asking others, whose
	// answers may be whole listings.
	othersPause = time.Second
	// changesPause is about the pause after changes, so that many in a row come
	// together.
	changesPause = 60 * time.Millisecond
	// startSpan is how long after its start a node waits startPause in place of
	// changesPause: in a fleet that starts, all servers enter themselves.
	startSpan  = 3 * time.Second
	startPause = 500 * time.Millisecond
	// answerLimit is how long the store may take for the beginning of an answer, beyond
	// the wait that a watch asks for, and how long it may be silent after that: an answer
	// takes as long as its size and the link demand.
	answerLimit = time.Second
	// firstListLimit is the same for the first listing where others can be asked:
	// a node that starts has nothing yet.
	firstListLimit = 400 * time.Millisecond
	// probeWait is the wait of a watch while the store does not answer.
	probeWait = 100 * time.Millisecond
)

// Source is where listings and watches of a kind come from.
type Source interface {
	// List and Watch are those of Store.
	List(ctx context.Context, kind string) ([]Object, era.Revision, error)
	Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error)
}

// Follow keeps a sink up to date with one kind until ctx ends: it lists the
// kind, then watches it, and lists again when the history is gone.
//
// wait bounds one watch. A store that was silent may have swallowed a call for
// good: a watch is given up answerLimit after its wait, and until the store has
// answered again, calls are short. So a change is known within wait, answerLimit
// and firstRetryDelay after the store works again, and sooner if it was silent
// for long.
//
// Between calls that the store does not answer, others are asked, who may still
// be served by it. What they know is taken if it is newer.
//
// Where there are readers, they are watched in place of the store: few nodes watch
// it, and the rest turn to it only if no reader has lately been answered by it.
func Follow(ctx context.Context, cfg FollowConfig) {
	follower := &follower{FollowConfig: cfg, answering: true, started: time.Now()}
	for ctx.Err() == nil {
		follower.step(ctx)
	}
}

// FollowConfig configures Follow.
type FollowConfig struct {
	Store Source
	// Others, if not nil, are asked while the store does not answer. They bound their
	// own calls.
	Others Source
	// Readers, if not nil, are nodes that watch the store for others. A watch fails
	// if this node is one of them, or if none of them is up to date.
	Readers ReaderSource
	Kind    string
	// Wait returns the bound of one watch of the store.
	Wait func() time.Duration
	Sink Sink
	// Heard, if not nil, is told when calls began that the store or a reader has answered.
	Heard func(began time.Time)
}

// ReaderSource lists and watches what nodes that watch the store know.
type ReaderSource interface {
	List(ctx context.Context, kind string) ([]Object, era.Revision, error)
	Watch(ctx context.Context, kind string, after era.Revision) ([]Object, era.Revision, error)
}

type follower struct {
	FollowConfig
	started   time.Time
	listed    bool
	revision  era.Revision
	answering bool
	delay     time.Duration
	// askedOthers is when others were last asked.
	askedOthers time.Time
	// spare is set once readers have answered in place of the store.
	spare bool
}

// step makes one call and takes its answer.
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

// listReaders lists what a reader knows and reports whether one was up to date: nodes
// that are started again in a running fleet make no calls to the store.
func (f *follower) listReaders(ctx context.Context) bool {
	if f.Readers == nil {
		return false
	}
	began := time.Now()
	objects, revision, err := f.Readers.List(ctx, f.Kind)
	if err != nil || revision < f.revision {
		return false
	}
	f.spare = true
	f.succeeded(began)
	f.listed, f.revision = true, revision
	f.Sink.Reset(objects, revision)
	return true
}

// watchReaders watches a reader and reports whether one was up to date.
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
	f.spare = true
	f.succeeded(began)
	if revision > f.revision {
		f.revision = revision
		f.Sink.Apply(events, revision)
	}
	if len(events) > 0 {
		f.gather(ctx)
	}
	return true
}

// gather waits after changes for those that may follow.
func (f *follower) gather(ctx context.Context) {
	if time.Since(f.started) < startSpan {
		pause(ctx, startPause)
		return
	}
	pause(ctx, changesPause)
}

// pause waits for half to one and a half times a span.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span/2 + rand.N(span))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *follower) list(ctx context.Context) {
	limit := answerLimit
	if f.Others != nil && f.askedOthers.IsZero() {
		limit = firstListLimit
	}
	limited, cancel := stall.WithLimit(ctx, limit, answerLimit)
	defer cancel()
	objects, revision, err := f.Store.List(limited, f.Kind)
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.succeeded(stall.Began(limited))
	f.listed, f.revision = true, revision
	f.Sink.Reset(objects, revision)
	f.Sink.Confirmed(stall.Began(limited))
}

func (f *follower) watch(ctx context.Context) {
	wait := f.Wait()
	if !f.answering {
		wait = probeWait
	}
	limited, cancel := stall.WithLimit(ctx, wait+answerLimit, answerLimit)
	defer cancel()
	events, revision, err := f.Store.Watch(limited, f.Kind, f.revision, wait)
	if err != nil {
		if OutcomeOf(err) == HistoryGone {
			f.listed = false
			return
		}
		f.failed(ctx, err)
		return
	}
	f.succeeded(stall.Began(limited))
	f.revision = revision
	f.Sink.Apply(events, revision)
	f.Sink.Confirmed(stall.Began(limited))
	if len(events) > 0 {
		f.gather(ctx)
	}
}

func (f *follower) succeeded(began time.Time) {
	if f.Heard != nil {
		f.Heard(began)
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
	f.askOthers(ctx)
	longest := lastRetryDelay
	if f.spare {
		longest = spareRetryDelay
	}
	f.delay = min(max(2*f.delay, firstRetryDelay), longest)
	pause(ctx, f.delay*2/3)
}

// askOthers takes what others know, if it is newer than what is known here.
func (f *follower) askOthers(ctx context.Context) {
	if f.Others == nil || time.Since(f.askedOthers) < othersPause {
		return
	}
	f.askedOthers = time.Now()
	if f.listed {
		events, revision, err := f.Others.Watch(ctx, f.Kind, f.revision, 0)
		if err == nil && revision > f.revision {
			f.revision = revision
			f.Sink.Apply(events, revision)
		}
		if err == nil || OutcomeOf(err) != HistoryGone {
			return
		}
	}
	objects, revision, err := f.Others.List(ctx, f.Kind)
	if err == nil && revision > f.revision {
		f.listed, f.revision = true, revision
		f.Sink.Reset(objects, revision)
	}
}
