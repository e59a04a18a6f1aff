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
func (c *unpackedCache) touch(h *History) {
	h.usedAt = c.now
	c.lru.MoveToBack(h.cacheEntry)
}

// add inserts a history that was just unpacked.
func (c *unpackedCache) add(h *History) {
	for _, message := range h.unpacked {
		h.unpackedBytes += messageBytes(message)
	}
	c.memory.unpackedBytes.Add(h.unpackedBytes)
	h.usedAt = c.now
	h.cacheEntry = c.lru.PushBack(h)
	c.evictOthers(h)
}

// evictOthers evicts the least recently used histories, except keep, while the
// daemon's unpacked histories exceed their limit.
func (c *unpackedCache) evictOthers(keep *History) {
	for c.memory.unpackedBytes.Load() > c.memory.limits.Unpacked {
		oldest := c.lru.Front()
		if oldest == nil || oldest == keep.cacheEntry {
			return
		}
		c.evict(oldest.Value.(*History))
	}
}

// evictIdle advances the time to that of a record and evicts histories that were not
// read for WarmTime.
func (c *unpackedCache) evictIdle(at time.Time) {
	if at.After(c.now) {
		c.now = at
	}
	for oldest := c.lru.Front(); oldest != nil; oldest = c.lru.Front() {
		history := oldest.Value.(*History)
		if c.now.Sub(history.usedAt) < c.memory.limits.WarmTime {
			return
		}
		c.evict(history)
	}
}

// evict drops a history's unpacked copy, if it has one.
func (c *unpackedCache) evict(h *History) {
	if h.cacheEntry == nil {
		return
	}
	c.lru.Remove(h.cacheEntry)
	h.cacheEntry = nil
	c.memory.unpackedBytes.Add(-h.unpackedBytes)
	h.dropUnpacked()
}

// evictAll drops the unpacked copies of all histories of the shard.
func (c *unpackedCache) evictAll() {
	for oldest := c.lru.Front(); oldest != nil; oldest = c.lru.Front() {
		c.evict(oldest.Value.(*History))
	}
}
