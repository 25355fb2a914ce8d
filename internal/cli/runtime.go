package cli

import (
	"math"
	"runtime"
	"runtime/debug"

	"tillerusher/internal/config"
)

const (
	// heapPercent is the part of the process's memory that the Go runtime may take.
	heapPercent = 75
	// gcPercent is how much the heap may grow between collections while memory is far from the limit.
	gcPercent = 200
)

// TuneRuntime fits the Go runtime to the process's limits: collections are rare while memory is far from the limit and
// frequent near it, and no more threads run Go code than there are cores.
func TuneRuntime(limits config.Limits) {
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * heapPercent / 100)
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
}
