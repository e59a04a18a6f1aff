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
	kept := MeasureShard(programs, turns, 1)
	if kept.HeapBytes*3 > text.EncodedBytes*2 {
		t.Errorf("%d bytes of heap per program for %d bytes of conversation, want at most two thirds", kept.HeapBytes, text.EncodedBytes)
	}
	if difference := kept.AccountedBytes - kept.HeapBytes; difference*difference*16 > kept.HeapBytes*kept.HeapBytes {
		t.Errorf("counted %d bytes per program, want %d, the heap, give or take a quarter", kept.AccountedBytes, kept.HeapBytes)
	}
}

func BenchmarkKept(b *testing.B) {
	for _, size := range []struct{ programs, turns int }{{400, 16}, {60, 140}, {10, 1000}} {
		b.Run(fmt.Sprint(size.turns, "-turns"), func(b *testing.B) {
			for range b.N {
				kept := MeasureShard(size.programs, size.turns, 1)
				b.ReportMetric(float64(kept.Turns), "turns")
				b.ReportMetric(float64(kept.HeapBytes), "heap-B/program")
				b.ReportMetric(float64(kept.AccountedBytes), "counted-B/program")
				b.ReportMetric(float64(kept.ApplyTime.Nanoseconds()), "apply-ns/call")
				b.ReportMetric(float64(kept.FreezeTime.Nanoseconds()), "freeze-ns/program")
				b.ReportMetric(float64(kept.SnapshotTime.Nanoseconds()), "snapshot-ns/program")
				b.ReportMetric(float64(kept.SnapshotBytes), "snapshot-B/program")
				b.ReportMetric(float64(kept.FirstPromptTime.Nanoseconds()), "first-prompt-ns")
				b.ReportMetric(float64(kept.NextPromptTime.Nanoseconds()), "next-prompt-ns")
			}
		})
	}
}
