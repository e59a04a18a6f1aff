// Package sample draws from lists.
package sample

import (
	"math/rand/v2"
	"slices"
)

// Of draws up to count elements of a list, each at most once, in the order drawn. It uses the
// list up.
func Of[T any](random *rand.Rand, count int, list []T) []T {
	var drawn []T
	for range min(count, len(list)) {
		i := random.IntN(len(list))
		drawn = append(drawn, list[i])
		list = slices.Delete(list, i, i+1)
	}
	return drawn
}
