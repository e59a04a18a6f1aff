package schedule_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/schedule"
)

// BenchmarkDecision measures one decision: a call arrives while others wait,
// an engine finishes a call, and the scheduler picks who gets its place.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("engines=64/waiting=%d", waiting), func(b *testing.B) {
			benchmarkDecision(b, 64, waiting)
		})
	}
}

func benchmarkDecision(b *testing.B, engines, waiting int) {
	const programs, promptBlocks, sharedBlocks, running = 4096, 40, 16, 8
	h := newHarness(2*waiting+engines, schedule.DefaultProfile(), nil)
	h.addEngines(engines, running)
	shared := blocks(0, sharedBlocks)
	chains := make([]*schedule.Item, programs)
	for i := range chains {
		chain := append(shared[:sharedBlocks:sharedBlocks], blocks(i+1, promptBlocks-sharedBlocks)...)
		chains[i] = h.item(fmt.Sprintf("tenant-%d", i%8), fmt.Sprintf("program-%d", i), 1, chain)
	}
	next := 0
	arrive := func() {
		item := *chains[next%programs]
		item.Turn = 1 + next/programs
		next++
		h.scheduler.Enqueue(&item)
	}
	for h.scheduler.Waiting() < waiting {
		arrive()
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	for range b.N {
		arrive()
		h.finish(0)
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the CPU time that the process has used, garbage
// collection included. Unlike wall time, it does not depend on the load of the
// machine.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
