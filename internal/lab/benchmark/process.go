// Package benchmark measures the costs from which package capacity computes a plan. Each cost is
// measured at four sizes or more.
package benchmark

import (
	"runtime"
	"syscall"
	"time"
)

// Command is the command that measures the slopes.
const Command = "dewknot measure"

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the size of the live heap and the stacks in bytes.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
