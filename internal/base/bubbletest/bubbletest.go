// Package bubbletest runs tests on virtual time.
//
// It wraps testing/synctest to avoid a crash of the race detector. The detector keeps one
// context for all timers of a bubble. The runtime of Go 1.26 uses that context from two
// threads if a timer's function starts a goroutine while another goroutine receives from a
// timer channel that is due at the same instant. A single processor rules this out.
package bubbletest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs a test in its own bubble with GOMAXPROCS set to 1. Parallel tests must not use
// it, because GOMAXPROCS applies to the whole process.
func Test(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}
