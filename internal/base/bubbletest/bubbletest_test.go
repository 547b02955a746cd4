package bubbletest_test

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestSimultaneousTimers guards against the crash of the race detector: timers that start
// goroutines and timers that send on channels fire at the same instants.
func TestSimultaneousTimers(t *testing.T) {
	processors := runtime.GOMAXPROCS(0)
	bubbletest.Test(t, func(t *testing.T) {
		var working sync.WaitGroup
		for range 200 {
			working.Go(func() {
				for range 200 {
					waitForSimultaneousTimers()
				}
			})
		}
		working.Wait()
	})
	must.Eq(t, processors, runtime.GOMAXPROCS(0))
}

func waitForSimultaneousTimers() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	first, second := time.NewTimer(time.Millisecond), time.NewTimer(time.Millisecond)
	time.AfterFunc(time.Millisecond, func() {})
	<-first.C
	<-second.C
	<-ctx.Done()
}
