// Package rlimit reads the limits that the system sets for the process.
//
// # Usage
//
//	n := rlimit.Descriptors()
//	bytes := rlimit.Memory()
package rlimit

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"syscall"

	"amaranthtide/state/memory"
)

// defaultDescriptors is assumed if the limit can't be read. It is that of most systems.
const defaultDescriptors = 1024

// maxDescriptors bounds an unlimited number.
const maxDescriptors = 1 << 20

// Descriptors returns the number of file descriptors that the process may open.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Memory returns the memory of the process in bytes, 0 if it is unknown. If GOMEMLIMIT is set, it is
// taken for the usual part of that memory (memory.RuntimeShare). Otherwise it is the memory of the
// machine.
func Memory() int64 {
	if soft := debug.SetMemoryLimit(-1); soft != math.MaxInt64 {
		return int64(float64(soft) / memory.RuntimeShare)
	}
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kilobytes int64
	if _, err := fmt.Sscanf(string(info), "MemTotal: %d kB", &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}
