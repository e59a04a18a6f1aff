package schedule

import "slices"

// maximumFront is how many calls of an engine's queue are kept in the sorted
// slice.
const maximumFront = 32

// engineQueue holds the calls that wait for one engine, by due time. The first
// ones are also kept in a slice, so that a call's rank is found by binary
// search.
type engineQueue struct {
	items *itemTree
	// front is the first maximumFront calls of items.
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
	position, _ := slices.BinarySearchFunc(q.front, entry, compareItems)
	if position == maximumFront {
		return
	}
	if len(q.front) == maximumFront {
		q.front = q.front[:maximumFront-1]
	}
	q.front = slices.Insert(q.front, position, entry)
}

func (q *engineQueue) remove(entry *waitingItem) {
	q.items.Delete(entry)
	position, found := slices.BinarySearchFunc(q.front, entry, compareItems)
	if !found {
		return
	}
	q.front = slices.Delete(q.front, position, position+1)
	q.refill()
}

// refill appends the next call of items to front, if there is one.
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

// ahead returns how many calls are due before an entry; beyond maximumFront it
// is an estimate.
func (q *engineQueue) ahead(entry *waitingItem) int {
	position, _ := slices.BinarySearchFunc(q.front, entry, compareItems)
	if position < maximumFront {
		return position
	}
	return max(position, q.items.Len()/2)
}
