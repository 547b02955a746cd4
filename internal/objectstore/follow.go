package objectstore

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sink receives the objects of one kind, in the order of their revisions.
type Sink interface {
	// Reset replaces all that is known by a complete listing at a revision.
	Reset(objects []Object, revision uint64)
	// Apply takes changes since the last call, complete up to a revision.
	Apply(events []Object, revision uint64)
	// Lost and Regained tell when the store stops and starts to answer.
	Lost(err error)
	Regained()
}

// Times of calls. Jitter spreads the calls of many nodes.
const (
	firstRetryDelay = 100 * time.Millisecond
	lastRetryDelay  = 600 * time.Millisecond
	// answerLimit is how long the store may take for an answer, beyond the wait
	// that a watch asks for.
	answerLimit = time.Second
	// probeWait is the wait of a watch while the store does not answer.
	probeWait = 100 * time.Millisecond
)

// Source is where listings and watches of a kind come from.
type Source interface {
	// List and Watch are those of Store.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error)
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
// be served by it; others may be nil. What they know is taken if it is newer.
func Follow(ctx context.Context, store, others Source, kind string, wait time.Duration, sink Sink) {
	follower := &follower{store: store, others: others, kind: kind, wait: wait, sink: sink, answering: true}
	for ctx.Err() == nil {
		follower.step(ctx)
	}
}

type follower struct {
	store     Source
	others    Source
	kind      string
	wait      time.Duration
	sink      Sink
	listed    bool
	revision  uint64
	answering bool
	delay     time.Duration
}

// step makes one call and takes its answer.
func (f *follower) step(ctx context.Context) {
	if f.listed {
		f.watch(ctx)
		return
	}
	f.list(ctx)
}

func (f *follower) list(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	objects, revision, err := f.store.List(limited, f.kind)
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.succeeded()
	f.listed, f.revision = true, revision
	f.sink.Reset(objects, revision)
}

func (f *follower) watch(ctx context.Context) {
	wait := f.wait
	if !f.answering {
		wait = probeWait
	}
	limited, cancel := context.WithTimeout(ctx, wait+answerLimit)
	defer cancel()
	events, revision, err := f.store.Watch(limited, f.kind, f.revision, wait)
	if err != nil {
		if OutcomeOf(err) == HistoryGone {
			f.listed = false
			return
		}
		f.failed(ctx, err)
		return
	}
	f.succeeded()
	f.revision = revision
	f.sink.Apply(events, revision)
}

func (f *follower) succeeded() {
	f.delay = 0
	if !f.answering {
		f.answering = true
		f.sink.Regained()
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.answering {
		f.answering = false
		f.sink.Lost(err)
	}
	f.askOthers(ctx)
	f.delay = min(max(2*f.delay, firstRetryDelay), lastRetryDelay)
	jittered := f.delay/2 + rand.N(f.delay/2)
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// askOthers takes what others know, if it is newer than what is known here.
func (f *follower) askOthers(ctx context.Context) {
	if f.others == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	if f.listed {
		events, revision, err := f.others.Watch(limited, f.kind, f.revision, 0)
		if err == nil && revision > f.revision {
			f.revision = revision
			f.sink.Apply(events, revision)
		}
		if err == nil || OutcomeOf(err) != HistoryGone {
			return
		}
	}
	objects, revision, err := f.others.List(limited, f.kind)
	if err == nil && revision > f.revision {
		f.listed, f.revision = true, revision
		f.sink.Reset(objects, revision)
	}
}
