package program

import (
	"container/list"
	"time"
)

// warmth lists the warm histories of one shard, the least recently used first.
// It decides on memory only: what it forgets can be unpacked again.
type unpackedCache struct {
	memory *Memory
	// now is the time of the latest record, which takes the place of a clock.
	now time.Time
	lru list.List
}

func newUnpackedCache(memory *Memory) *unpackedCache { return &unpackedCache{memory: memory} }

// use notes that a warm history was read.
func (w *unpackedCache) touch(h *History) {
	h.usedAt = w.now
	w.lru.MoveToBack(h.cacheEntry)
}

// add takes up a history that was just unpacked.
func (w *unpackedCache) add(h *History) {
	for _, message := range h.unpacked {
		h.unpackedBytes += messageBytes(message)
	}
	w.memory.unpackedBytes.Add(h.unpackedBytes)
	h.usedAt = w.now
	h.cacheEntry = w.lru.PushBack(h)
	w.evictOthers(h)
}

// coolOthers makes room while the daemon's warm histories take too much.
func (w *unpackedCache) evictOthers(keep *History) {
	for w.memory.unpackedBytes.Load() > w.memory.limits.Unpacked {
		oldest := w.lru.Front()
		if oldest == nil || oldest == keep.cacheEntry {
			return
		}
		w.evict(oldest.Value.(*History))
	}
}

// advance takes the time of a record and cools what was not read for long.
func (w *unpackedCache) evictIdle(at time.Time) {
	if at.After(w.now) {
		w.now = at
	}
	for oldest := w.lru.Front(); oldest != nil; oldest = w.lru.Front() {
		history := oldest.Value.(*History)
		if w.now.Sub(history.usedAt) < w.memory.limits.WarmTime {
			return
		}
		w.evict(history)
	}
}

// forget cools a history, if it is warm.
func (w *unpackedCache) evict(h *History) {
	if h.cacheEntry == nil {
		return
	}
	w.lru.Remove(h.cacheEntry)
	h.cacheEntry = nil
	w.memory.unpackedBytes.Add(-h.unpackedBytes)
	h.dropUnpacked()
}

// forgetAll cools every history of the shard.
func (w *unpackedCache) evictAll() {
	for oldest := w.lru.Front(); oldest != nil; oldest = w.lru.Front() {
		w.evict(oldest.Value.(*History))
	}
}
