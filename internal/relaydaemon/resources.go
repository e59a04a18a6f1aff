package relaydaemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"github.com/mintpulley/mintpulley/internal/memorybudget"
)

const (
	// memoryShare is the share of the machine's memory that is set as the runtime's soft limit.
	memoryShare = 0.7
	// requestMemoryShare is the share of the memory that the texts of requests may take together.
	requestMemoryShare = 0.12
	// callerDescriptorShare and engineDescriptorShare are the shares of the process's descriptors that
	// connections of callers and to back ends may use. The rest is for other daemons, the store, the
	// platform's probe and the process itself.
	callerDescriptorShare = 0.55
	engineDescriptorShare = 0.3
	// gcPercent is the garbage collector's target percentage. It is lower than the default of 100,
	// as memory costs operators more than the processor time of collecting.
	gcPercent = 30
	megabyte  = 1 << 20
	// fixedDataMegabytes is what a process maps as data besides the runtime's heap: the runtime's
	// index of the heap, the program's variables, and threads' stacks.
	fixedDataMegabytes = 48
	// minMemoryMegabytes is the least memory of a machine: the fixed data and the least heap.
	minMemoryMegabytes = fixedDataMegabytes + minSoftLimitMegabytes
	// minSoftLimitMegabytes is the least soft limit. With less, the collector would run all the time.
	minSoftLimitMegabytes = 16
)

// applyResources configures the Go runtime for the settings' memory and processor, and for the limit on
// the process's data.
func (s *Settings) applyResources() {
	if limit := s.softMemoryLimit(dataLimit()); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	debug.SetGCPercent(gcPercent)
	if cores := s.cores(runtime.NumCPU()); cores < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}

// memoryBytes returns the memory limit in bytes, 0 for none.
func (s *Settings) memoryBytes() int64 {
	if s.MemoryMegabytes == nil {
		return 0
	}
	return int64(*s.MemoryMegabytes * megabyte)
}

// requestMemory returns the memory for the texts of requests.
func (s *Settings) requestMemory() *memorybudget.Budget {
	return memorybudget.New(int64(requestMemoryShare * float64(s.memoryBytes())))
}

// cores returns how many of the machine's cores the process uses at the same time: as many as its share of
// the processor fills.
func (s *Settings) cores(available int) int {
	if s.ProcessorShare <= 0 {
		return available
	}
	return min(max(int(math.Ceil(s.ProcessorShare)), 1), available)
}

// callerConnections and engineConnections return how many connections of callers and to back ends may be
// open with a limit on descriptors, 0 for no limit.
func callerConnections(descriptors int) int { return shareOf(descriptors, callerDescriptorShare) }

func engineConnections(descriptors int) int { return shareOf(descriptors, engineDescriptorShare) }

func shareOf(descriptors int, share float64) int {
	if descriptors <= 0 {
		return 0
	}
	return max(int(share*float64(descriptors)), 1)
}

// softMemoryLimit returns the runtime's soft limit in bytes, 0 for none. dataLimit is the limit on the
// process's data in bytes, 0 for none.
func (s *Settings) softMemoryLimit(dataLimit int64) int64 {
	limit := int64(memoryShare * float64(s.memoryBytes()))
	if dataLimit == 0 {
		return limit
	}
	heap := max(dataLimit-fixedDataMegabytes*megabyte, minSoftLimitMegabytes*megabyte)
	if limit == 0 {
		return heap
	}
	return min(limit, heap)
}
