// Package bubbletest runs tests on virtual time.
//
// It wraps testing/synctest: the race detector keeps one context for the timers
// of a bubble, and the runtime of Go 1.26 uses it from two threads at once if a
// timer's function starts a goroutine while another goroutine receives from a timer
// channel that is due at the same instant. That corrupts the context and ends the
// process with a fault inside the detector. On one processor the two never meet.
package bubbletest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs a test in a bubble of its own, with all goroutines on one processor. It
// must not be used by parallel tests, as the number of processors belongs to the
// whole process.
func Test(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}
