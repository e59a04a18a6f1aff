package instance

import (
	"fmt"
	"testing"
)

var benchmarkSizes = []int{100, 1000, 10_000, 100_000}

func BenchmarkTake(b *testing.B) {
	for _, size := range benchmarkSizes {
		for name, query := range map[string]Query{"keyed": {Service: "s", AffinityKey: "prompt"}, "preferred": {Service: "s", Preferred: "i-000042"}} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				pool := newLargePool(size, Options{Zone: "a", Address: "10.0.0.1:7000"}, &countingFilter{})
				b.ReportAllocs()
				for b.Loop() {
					taken, _ := pool.Take(query)
					pool.Release(taken.ID, OutcomeAnswered)
				}
			})
		}
	}
}

func BenchmarkOneChangedEntry(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			pool := newLargePool(size, Options{Zone: "a"}, &countingFilter{})
			changed := largeList(10)[7]
			b.ReportAllocs()
			for b.Loop() {
				changed.Sequence++
				pool.Apply(Update{Instances: []Instance{changed}})
			}
		})
	}
}

func BenchmarkFirstList(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			list := largeList(size)
			b.ReportAllocs()
			for b.Loop() {
				newLargePool(0, Options{Zone: "a"}, &countingFilter{}).Replace(list)
			}
		})
	}
}
