package cli

import (
	"math"
	"runtime"
	"runtime/debug"

	"tillerusher/internal/config"
)

const (
	// heapPercent is the share of the process's memory limit that the Go runtime may use.
	heapPercent = 75
	// gcPercent is the heap growth, in percent, that starts a collection while memory use is far from the limit.
	gcPercent = 200
)

// TuneRuntime adapts the Go runtime to the process's limits. Garbage collections are rare while memory use is far from the
// limit and frequent near it. No more threads run Go code than there are cores.
func TuneRuntime(limits config.Limits) {
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * heapPercent / 100)
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
}
