package sample

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestElementsAreDrawnOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for count, want := range map[int]int{0: 0, 3: 3, 9: 5} {
		drawn := Of(random, count, []int{1, 2, 3, 4, 5})
		slices.Sort(drawn)
		if len(drawn) != want || len(slices.Compact(drawn)) != want {
			t.Errorf("%d of 5: drew %v", count, drawn)
		}
	}
}

func TestEveryElementCanBeDrawn(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[int]bool{}
	for range 100 {
		seen[Of(random, 1, []int{1, 2, 3, 4, 5})[0]] = true
	}
	if len(seen) != 5 {
		t.Errorf("only %v were drawn", seen)
	}
}
