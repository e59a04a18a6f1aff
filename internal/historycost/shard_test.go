package historycost

import (
	"fmt"
	"testing"
)

func TestShardUsesLessMemoryThanTheText(t *testing.T) {
	const turns, programs = 140, 10
	text, err := Measure(turns, 1)
	if err != nil {
		t.Fatal(err)
	}
	shard := MeasureShard(programs, turns, 1)
	if shard.HeapBytes*3 > text.EncodedBytes*2 {
		t.Errorf("%d bytes of heap per program for %d bytes of conversation, want at most two thirds", shard.HeapBytes, text.EncodedBytes)
	}
	if difference := shard.AccountedBytes - shard.HeapBytes; difference*difference*16 > shard.HeapBytes*shard.HeapBytes {
		t.Errorf("accounted %d bytes per program, want within a quarter of the %d bytes of heap", shard.AccountedBytes, shard.HeapBytes)
	}
}

func BenchmarkKept(b *testing.B) {
	for _, size := range []struct{ programs, turns int }{{400, 16}, {60, 140}, {10, 1000}} {
		b.Run(fmt.Sprint(size.turns, "-turns"), func(b *testing.B) {
			for range b.N {
				cost := MeasureShard(size.programs, size.turns, 1)
				b.ReportMetric(float64(cost.Turns), "turns")
				b.ReportMetric(float64(cost.HeapBytes), "heap-B/program")
				b.ReportMetric(float64(cost.AccountedBytes), "counted-B/program")
				b.ReportMetric(float64(cost.ApplyTime.Nanoseconds()), "apply-ns/call")
				b.ReportMetric(float64(cost.FreezeTime.Nanoseconds()), "freeze-ns/program")
				b.ReportMetric(float64(cost.SnapshotTime.Nanoseconds()), "snapshot-ns/program")
				b.ReportMetric(float64(cost.SnapshotBytes), "snapshot-B/program")
				b.ReportMetric(float64(cost.FirstPromptTime.Nanoseconds()), "first-prompt-ns")
				b.ReportMetric(float64(cost.NextPromptTime.Nanoseconds()), "next-prompt-ns")
			}
		})
	}
}
