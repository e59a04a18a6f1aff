// Package sample draws random elements from lists.
package sample

import (
	"math/rand/v2"
	"slices"
)

// Of draws up to count distinct elements of a list, in random order. It
// modifies the list.
func Of[T any](random *rand.Rand, count int, list []T) []T {
	var drawn []T
	for range min(count, len(list)) {
		i := random.IntN(len(list))
		drawn = append(drawn, list[i])
		list = slices.Delete(list, i, i+1)
	}
	return drawn
}
