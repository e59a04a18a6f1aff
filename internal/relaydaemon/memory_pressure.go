package relaydaemon

import (
	"context"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
)

const (
	// The memory is tight from tightMemoryShare of the runtime's soft limit on, and until less than
	// easedMemoryShare of it is in use.
	tightMemoryShare = 0.75
	easedMemoryShare = 0.65
	// memoryCheckInterval is the interval between checks.
	memoryCheckInterval = 100 * time.Millisecond
	// liveHeapMetric is the memory that the latest collection found in use, and stacksMetric that of the
	// goroutines' stacks.
	liveHeapMetric = "/gc/heap/live:bytes"
	stacksMetric   = "/memory/classes/heap/stacks:bytes"
)

// memoryPressure tells whether the process's memory is tight. What a turn leaves in an outage of the store waits
// until the outage is over, so none is begun then.
type memoryPressure struct {
	// limit is the runtime's soft limit in bytes, 0 for none.
	limit   int64
	isTight atomic.Bool
	logger  zerolog.Logger
}

func newMemoryPressure(limit int64, logger zerolog.Logger) *memoryPressure {
	return &memoryPressure{limit: limit, logger: logger}
}

// run checks the memory until ctx ends.
func (p *memoryPressure) run(ctx context.Context) {
	if p.limit == 0 {
		return
	}
	samples := []metrics.Sample{{Name: liveHeapMetric}, {Name: stacksMetric}}
	for ctx.Err() == nil {
		metrics.Read(samples)
		p.note(int64(samples[0].Value.Uint64() + samples[1].Value.Uint64()))
		clock.Sleep(ctx, memoryCheckInterval)
	}
}

// note records how many bytes are in use.
func (p *memoryPressure) note(inUse int64) {
	share := tightMemoryShare
	if p.isTight.Load() {
		share = easedMemoryShare
	}
	isTight := inUse > int64(share*float64(p.limit))
	if p.isTight.Swap(isTight) == isTight {
		return
	}
	if isTight {
		p.logger.Warn().Int64("in_use", inUse).Int64("limit", p.limit).Msg("Memory is tight. No turns are begun.")
		return
	}
	p.logger.Info().Int64("in_use", inUse).Int64("limit", p.limit).Msg("Memory is no longer tight.")
}
