package schedule

import "slices"

// countedAhead bounds how many calls of a home queue are counted one by one.
const maximumFront = 32

// homeQueue holds the calls that wait for one engine, by when they are due. It
// keeps its first calls in a slice of their own, so that a call's place among
// them is found by binary search.
type engineQueue struct {
	items *itemTree
	// front is the first countedAhead calls of items.
	front []*waitingItem
}

func newEngineQueue() engineQueue { return engineQueue{items: newItemTree()} }

func compareItems(a, b *waitingItem) int {
	switch {
	case itemLess(a, b):
		return -1
	case itemLess(b, a):
		return 1
	}
	return 0
}

func (q *engineQueue) add(entry *waitingItem) {
	q.items.ReplaceOrInsert(entry)
	place, _ := slices.BinarySearchFunc(q.front, entry, compareItems)
	if place == maximumFront {
		return
	}
	if len(q.front) == maximumFront {
		q.front = q.front[:maximumFront-1]
	}
	q.front = slices.Insert(q.front, place, entry)
}

func (q *engineQueue) remove(entry *waitingItem) {
	q.items.Delete(entry)
	place, found := slices.BinarySearchFunc(q.front, entry, compareItems)
	if !found {
		return
	}
	q.front = slices.Delete(q.front, place, place+1)
	q.refill()
}

// refill brings up the call behind the front, if one waits there.
func (q *engineQueue) refill() {
	if len(q.front) == q.items.Len() {
		return
	}
	last := q.front[len(q.front)-1]
	q.items.AscendGreaterOrEqual(last, func(entry *waitingItem) bool {
		if entry == last {
			return true
		}
		q.front = append(q.front, entry)
		return false
	})
}

// first returns at most limit calls, in order. The slice is valid until the
// queue changes.
func (q *engineQueue) first(limit int) []*waitingItem {
	return q.front[:min(limit, len(q.front))]
}

// ahead returns how many calls are due before an entry, at least roughly when
// there are many.
func (q *engineQueue) ahead(entry *waitingItem) int {
	place, _ := slices.BinarySearchFunc(q.front, entry, compareItems)
	if place < maximumFront {
		return place
	}
	return max(place, q.items.Len()/2)
}
