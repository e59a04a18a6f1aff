package schedule

import (
	"math/bits"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// maximumEngines bounds the engines of one prefix index.
	maximumEngines = 256
	wordBits       = 64
	engineWords    = maximumEngines / wordBits
	// maximumCachedBlocks bounds the indexed blocks over all engines, at about
	// 100 bytes each. Beyond it only every second block is sampled, then every
	// fourth, and so on.
	maximumCachedBlocks = 1 << 18
	// confirmationTTL is how long a block is assumed to be cached without
	// confirmation.
	confirmationTTL = 10 * time.Minute
)

// engineSet is a set of engine slots.
type engineSet [engineWords]uint64

func (s *engineSet) add(slot int)      { s[slot/wordBits] |= 1 << (slot % wordBits) }
func (s *engineSet) remove(slot int)   { s[slot/wordBits] &^= 1 << (slot % wordBits) }
func (s *engineSet) has(slot int) bool { return s[slot/wordBits]&(1<<(slot%wordBits)) != 0 }

// split divides a set into those that are in another one and those that are not.
func (s *engineSet) split(other *engineSet) (inside, outside engineSet) {
	for number := range s {
		inside[number] = s[number] & other[number]
		outside[number] = s[number] &^ other[number]
	}
	return inside, outside
}

func (s *engineSet) empty() bool {
	for _, word := range s {
		if word != 0 {
			return false
		}
	}
	return true
}

// cachedBlock is a block that one engine's cache is assumed to hold. The blocks
// of an engine form a list from the least to the most recently used.
type cachedBlock struct {
	block          structs.BlockHash
	confirmed      time.Time
	previous, next *cachedBlock
	// dropped is set when the block was removed from the index.
	dropped bool
}

// cacheMirror mirrors the block cache of one engine.
type cacheMirror struct {
	slot     int
	blocks   map[structs.BlockHash]*cachedBlock
	sentinel cachedBlock
	// capacity is in blocks; 0 means unknown.
	capacity int
	sequence uint64
}

// prefixIndex tracks which prompt blocks each engine's cache is assumed to
// hold. It learns from this daemon's dispatches and from cache events. Since
// events come late and with gaps, each engine's blocks are bounded by its
// capacity in order of use, the usage in answers corrects the index, and
// unconfirmed blocks expire.
type prefixIndex struct {
	holders map[structs.BlockHash]*engineSet
	engines map[structs.EngineID]*cacheMirror
	slots   []structs.EngineID
	total   int
	// mask selects the sampled blocks.
	mask          structs.BlockHash
	promptSamples []sample
}

// sample is a sampled block of the current prompt.
type sample struct {
	position int
	holders  *engineSet
	loaded   bool
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{
		holders: map[structs.BlockHash]*engineSet{},
		engines: map[structs.EngineID]*cacheMirror{},
	}
}

// engine returns an engine's mirror, creating it on first use. It returns nil
// when the index is out of engine slots.
func (x *prefixIndex) engine(id structs.EngineID) *cacheMirror {
	if known := x.engines[id]; known != nil {
		return known
	}
	slot := x.freeSlot()
	if slot >= maximumEngines {
		return nil
	}
	x.slots[slot] = id
	e := &cacheMirror{slot: slot, blocks: map[structs.BlockHash]*cachedBlock{}}
	e.sentinel.previous, e.sentinel.next = &e.sentinel, &e.sentinel
	x.engines[id] = e
	return e
}

func (x *prefixIndex) freeSlot() int {
	for slot, id := range x.slots {
		if id == "" {
			return slot
		}
	}
	if len(x.slots) < maximumEngines {
		x.slots = append(x.slots, "")
		return len(x.slots) - 1
	}
	return maximumEngines
}

// removeEngine drops an engine and its blocks.
func (x *prefixIndex) removeEngine(id structs.EngineID) {
	e := x.engines[id]
	if e == nil {
		return
	}
	x.clear(e)
	delete(x.engines, id)
	x.slots[e.slot] = ""
}

func (x *prefixIndex) clear(e *cacheMirror) {
	for e.sentinel.next != &e.sentinel {
		x.drop(e, e.sentinel.next)
	}
}

func (x *prefixIndex) isSampled(block structs.BlockHash) bool { return block&x.mask == 0 }

// store records that an engine's cache holds blocks and that they were just
// used. It appends their entries to stored.
func (x *prefixIndex) store(e *cacheMirror, blocks []structs.BlockHash, now time.Time, stored []*cachedBlock) []*cachedBlock {
	for _, block := range blocks {
		if x.isSampled(block) {
			stored = append(stored, x.use(e, e.blocks[block], block, now))
		}
	}
	x.trim(e)
	return stored
}

// touch is store for blocks that were stored before.
func (x *prefixIndex) touch(e *cacheMirror, stored []*cachedBlock, now time.Time) {
	for _, entry := range stored {
		if !x.isSampled(entry.block) {
			continue
		}
		known := entry
		if entry.dropped {
			known = e.blocks[entry.block]
		}
		x.use(e, known, entry.block, now)
	}
	x.trim(e)
}

// use makes a block the most recently used one; entry is nil when the block is
// not in the mirror.
func (x *prefixIndex) use(e *cacheMirror, entry *cachedBlock, block structs.BlockHash, now time.Time) *cachedBlock {
	if entry == nil {
		entry = x.add(e, block)
	} else {
		entry.unlink()
	}
	entry.confirmed = now
	e.append(entry)
	return entry
}

func (x *prefixIndex) add(e *cacheMirror, block structs.BlockHash) *cachedBlock {
	entry := &cachedBlock{block: block}
	e.blocks[block] = entry
	set := x.holders[block]
	if set == nil {
		set = &engineSet{}
		x.holders[block] = set
	}
	set.add(e.slot)
	x.total++
	return entry
}

// trim keeps an engine within its capacity and the index within its bound.
func (x *prefixIndex) trim(e *cacheMirror) {
	if e.capacity > 0 {
		followed := max(e.capacity/int(x.mask+1), 1)
		for len(e.blocks) > followed {
			x.drop(e, e.sentinel.next)
		}
	}
	for x.total > maximumCachedBlocks {
		x.halveSampling()
	}
}

// halveSampling samples half as many blocks from now on.
func (x *prefixIndex) halveSampling() {
	x.mask = x.mask<<1 | 1
	for _, id := range x.slots {
		e := x.engines[id]
		if e == nil {
			continue
		}
		for entry := e.sentinel.next; entry != &e.sentinel; {
			next := entry.next
			if !x.isSampled(entry.block) {
				x.drop(e, entry)
			}
			entry = next
		}
	}
}

func (x *prefixIndex) evict(e *cacheMirror, blocks []structs.BlockHash) {
	for _, block := range blocks {
		if entry := e.blocks[block]; entry != nil {
			x.drop(e, entry)
		}
	}
}

func (x *prefixIndex) drop(e *cacheMirror, entry *cachedBlock) {
	entry.unlink()
	entry.dropped = true
	delete(e.blocks, entry.block)
	x.total--
	set := x.holders[entry.block]
	set.remove(e.slot)
	if set.empty() {
		delete(x.holders, entry.block)
	}
}

// expireUnconfirmed drops blocks that nothing confirmed within confirmationTTL.
func (x *prefixIndex) expireUnconfirmed(e *cacheMirror, now time.Time) {
	for {
		oldest := e.sentinel.next
		if oldest == &e.sentinel || now.Sub(oldest.confirmed) < confirmationTTL {
			return
		}
		x.drop(e, oldest)
	}
}

func (e *cacheMirror) append(entry *cachedBlock) {
	last := e.sentinel.previous
	entry.previous, entry.next = last, &e.sentinel
	last.next, e.sentinel.previous = entry, entry
}

func (r *cachedBlock) unlink() {
	r.previous.next = r.next
	r.next.previous = r.previous
}

// setPrompt sets the prompt for hit and hits.
func (x *prefixIndex) setPrompt(blocks []structs.BlockHash) {
	x.promptSamples = x.promptSamples[:0]
	for position, block := range blocks {
		if x.isSampled(block) {
			x.promptSamples = append(x.promptSamples, sample{position: position})
		}
	}
}

// hit returns how many of the first blocks of the prompt set by setPrompt an
// engine's cache is assumed to hold. Engines evict the end of a prefix before
// its beginning, so a binary search finds the end of the cached part.
func (x *prefixIndex) hit(e *cacheMirror, blocks []structs.BlockHash) int {
	low, high := 0, len(x.promptSamples)
	for low < high {
		middle := (low + high) / 2
		if x.holdersAt(middle, blocks).has(e.slot) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0
	}
	return x.promptSamples[low-1].position + 1
}

// hits computes hit for many engines at once, by engine slot: it splits the
// engines by whether they hold the block in the middle.
func (x *prefixIndex) hits(blocks []structs.BlockHash, engines engineSet, result *[maximumEngines]int32) {
	x.splitHits(blocks, engines, 0, len(x.promptSamples), result)
}

func (x *prefixIndex) splitHits(blocks []structs.BlockHash, engines engineSet, low, high int, result *[maximumEngines]int32) {
	if engines.empty() {
		return
	}
	if low == high {
		x.assignHits(engines, low, result)
		return
	}
	middle := (low + high) / 2
	with, without := engines.split(x.holdersAt(middle, blocks))
	x.splitHits(blocks, with, middle+1, high, result)
	x.splitHits(blocks, without, low, middle, result)
}

// assignHits sets the result of engines that hold exactly the first samples.
func (x *prefixIndex) assignHits(engines engineSet, samples int, result *[maximumEngines]int32) {
	held := int32(0)
	if samples > 0 {
		held = int32(x.promptSamples[samples-1].position + 1)
	}
	for number, word := range engines {
		for ; word != 0; word &= word - 1 {
			result[number*wordBits+bits.TrailingZeros64(word)] = held
		}
	}
}

var noHolders engineSet

func (x *prefixIndex) holdersAt(number int, blocks []structs.BlockHash) *engineSet {
	entry := &x.promptSamples[number]
	if !entry.loaded {
		entry.loaded = true
		entry.holders = x.holders[blocks[entry.position]]
		if entry.holders == nil {
			entry.holders = &noHolders
		}
	}
	return entry.holders
}
