// Package benchmark measures the slopes that package capacity plans with. Each
// cost is measured at four sizes or more; figures that include the measuring
// side are upper bounds and say so.
package benchmark

import (
	"runtime"
	"syscall"
	"time"
)

// Command is how the slopes are made again.
const Command = "dewknot measure"

// processorTime returns the process's processor time so far.
func processorTime() time.Duration {
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes of live heap and stacks.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
