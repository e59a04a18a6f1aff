package program

import (
	"container/list"
	"time"
)

// unpackedCache is an LRU list of the unpacked histories of one shard. It affects
// memory only: an evicted history can be unpacked again.
type unpackedCache struct {
	memory *Memory
	// now is the time of the latest record; the state machine has no clock.
	now time.Time
	lru list.List
}

func newUnpackedCache(memory *Memory) *unpackedCache { return &unpackedCache{memory: memory} }

// touch marks a history as just read.
func (w *unpackedCache) touch(h *History) {
	h.usedAt = w.now
	w.lru.MoveToBack(h.cacheEntry)
}

// add inserts a history that was just unpacked.
func (w *unpackedCache) add(h *History) {
	for _, message := range h.unpacked {
		h.unpackedBytes += messageBytes(message)
	}
	w.memory.unpackedBytes.Add(h.unpackedBytes)
	h.usedAt = w.now
	h.cacheEntry = w.lru.PushBack(h)
	w.evictOthers(h)
}

// evictOthers evicts the least recently used histories, except keep, while the
// daemon's unpacked histories exceed their limit.
func (w *unpackedCache) evictOthers(keep *History) {
	for w.memory.unpackedBytes.Load() > w.memory.limits.Unpacked {
		oldest := w.lru.Front()
		if oldest == nil || oldest == keep.cacheEntry {
			return
		}
		w.evict(oldest.Value.(*History))
	}
}

// evictIdle advances the time to that of a record and evicts histories that were not
// read for WarmTime.
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

// evict drops a history's unpacked copy, if it has one.
func (w *unpackedCache) evict(h *History) {
	if h.cacheEntry == nil {
		return
	}
	w.lru.Remove(h.cacheEntry)
	h.cacheEntry = nil
	w.memory.unpackedBytes.Add(-h.unpackedBytes)
	h.dropUnpacked()
}

// evictAll drops the unpacked copies of all histories of the shard.
func (w *unpackedCache) evictAll() {
	for oldest := w.lru.Front(); oldest != nil; oldest = w.lru.Front() {
		w.evict(oldest.Value.(*History))
	}
}
