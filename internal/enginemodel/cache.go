package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// blockKey identifies a block; models and adapters share no blocks.
type blockKey struct {
	namespace namespace
	hash      structs.BlockHash
}

// namespace is a model with its adapter.
type namespace struct {
	model   structs.ModelName
	adapter structs.AdapterName
}

// block is a full block, which sequences can share.
type block struct {
	key blockKey
	// sequenceRefs and holdRefs count the sequences and holds that reference
	// the block.
	sequenceRefs int32
	holdRefs     int32
	// owner is the program that filled the block; shared is set once another
	// program used it.
	owner  structs.ProgramKey
	shared bool
	// lastUse is when a sequence last released the block.
	lastUse time.Time
	// older and newer link the evictable blocks.
	older, newer *block
}

// cacheListener is notified of stored and evicted blocks.
type cacheListener interface {
	stored(key blockKey)
	evicted(b *block, now time.Time)
}

// blockCache is an engine's bounded block memory. A block is private to the
// sequence that fills it; once full it is published under its hash and shared.
// Blocks without references stay cached until their memory is needed and are
// evicted least recently used first.
type blockCache struct {
	capacity     int
	private      int
	pinnedBlocks int
	blocks       map[blockKey]*block
	listener     cacheListener
	// evictable is the sentinel of the LRU ring of blocks without references:
	// evictable.newer is the oldest.
	evictable      block
	evictableCount int
}

func newBlockCache(capacity int, listener cacheListener) *blockCache {
	c := &blockCache{capacity: capacity, blocks: map[blockKey]*block{}, listener: listener}
	c.evictable.older, c.evictable.newer = &c.evictable, &c.evictable
	return c
}

// used returns the number of blocks that are private or cached.
func (c *blockCache) used() int { return c.private + len(c.blocks) }

// available returns how many blocks can be allocated, counting evictable ones.
func (c *blockCache) available() int { return c.capacity - c.used() + c.evictableCount }

// allocate adds private blocks, evicting as needed. The caller has checked
// that they are available.
func (c *blockCache) allocate(count int, now time.Time) {
	c.private += count
	for c.used() > c.capacity && c.evictableCount > 0 {
		c.evict(c.evictable.newer, now)
	}
}

// freePrivate frees private blocks.
func (c *blockCache) freePrivate(count int) { c.private -= count }

// publish turns a private block into a shared one, or into a reference to the
// block already cached under that key.
func (c *blockCache) publish(key blockKey) *block {
	c.private--
	b := c.blocks[key]
	if b == nil {
		b = &block{key: key}
		c.blocks[key] = b
		b.sequenceRefs = 1
		c.listener.stored(key)
		return b
	}
	c.acquire(b)
	return b
}

// insert adds imported blocks from the first on, as far as memory allows. It
// returns how many of them are cached afterwards.
func (c *blockCache) insert(in namespace, hashes []structs.BlockHash, now time.Time) int {
	var present, added []*block
	for _, hash := range hashes {
		key := blockKey{in, hash}
		if b := c.blocks[key]; b != nil {
			c.acquire(b)
			present = append(present, b)
			continue
		}
		if c.available() < 1 {
			break
		}
		c.allocate(1, now)
		added = append(added, c.publish(key))
	}
	for i := len(added) - 1; i >= 0; i-- {
		c.release(added[i], now)
	}
	for i := len(present) - 1; i >= 0; i-- {
		c.releaseUnused(present[i])
	}
	return len(present) + len(added)
}

// match returns how many of the hashes, from the first on, are cached.
func (c *blockCache) match(in namespace, hashes []structs.BlockHash) int {
	for i, hash := range hashes {
		if c.blocks[blockKey{in, hash}] == nil {
			return i
		}
	}
	return len(hashes)
}

// find returns the blocks that are cached.
func (c *blockCache) find(in namespace, hashes []structs.BlockHash) []*block {
	blocks := make([]*block, 0, len(hashes))
	for _, hash := range hashes {
		if b := c.blocks[blockKey{in, hash}]; b != nil {
			blocks = append(blocks, b)
		}
	}
	return blocks
}

// touch marks cached blocks as most recently used.
func (c *blockCache) touch(in namespace, hashes []structs.BlockHash, now time.Time) {
	blocks := c.find(in, hashes)
	for _, b := range blocks {
		c.acquire(b)
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		c.release(blocks[i], now)
	}
}

func (c *blockCache) acquire(b *block) {
	if b.sequenceRefs == 0 && b.holdRefs == 0 {
		c.removeEvictable(b)
	}
	b.sequenceRefs++
}

func (c *blockCache) release(b *block, now time.Time) {
	b.sequenceRefs--
	b.lastUse = now
	if b.sequenceRefs == 0 && b.holdRefs == 0 {
		c.addEvictable(b)
	}
}

// releaseUnused drops a reference without counting it as a use.
func (c *blockCache) releaseUnused(b *block) {
	b.sequenceRefs--
	if b.sequenceRefs == 0 && b.holdRefs == 0 {
		c.addEvictable(b)
	}
}

func (c *blockCache) pin(b *block) {
	if b.sequenceRefs == 0 && b.holdRefs == 0 {
		c.removeEvictable(b)
	}
	if b.holdRefs == 0 {
		c.pinnedBlocks++
	}
	b.holdRefs++
}

func (c *blockCache) unpin(b *block) {
	b.holdRefs--
	if b.holdRefs > 0 {
		return
	}
	c.pinnedBlocks--
	if b.sequenceRefs == 0 {
		c.addEvictable(b)
	}
}

// evictModel evicts the evictable blocks of one model, with all its adapters.
func (c *blockCache) evictModel(model structs.ModelName, now time.Time) {
	c.evictWhere(func(in namespace) bool { return in.model == model }, now)
}

// evictAdapter evicts the evictable blocks of one adapter.
func (c *blockCache) evictAdapter(adapter namespace, now time.Time) {
	c.evictWhere(func(in namespace) bool { return in == adapter }, now)
}

func (c *blockCache) evictWhere(matches func(in namespace) bool, now time.Time) {
	for b := c.evictable.newer; b != &c.evictable; {
		next := b.newer
		if matches(b.key.namespace) {
			c.evict(b, now)
		}
		b = next
	}
}

// evictUnshared evicts the blocks without references that only one program
// used, the deepest first.
func (c *blockCache) evictUnshared(blocks []*block, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if b.sequenceRefs == 0 && b.holdRefs == 0 && !b.shared && c.blocks[b.key] == b {
			c.evict(b, now)
		}
	}
}

// usedBy records that a program used a block.
func (b *block) usedBy(program structs.ProgramKey) {
	if b.owner == (structs.ProgramKey{}) {
		b.owner = program
		return
	}
	b.shared = b.shared || b.owner != program
}

func (c *blockCache) evict(b *block, now time.Time) {
	c.removeEvictable(b)
	delete(c.blocks, b.key)
	c.listener.evicted(b, now)
}

// addEvictable inserts a block as the most recently used evictable one.
func (c *blockCache) addEvictable(b *block) {
	newest := c.evictable.older
	b.older, b.newer = newest, &c.evictable
	newest.newer, c.evictable.older = b, b
	c.evictableCount++
}

func (c *blockCache) removeEvictable(b *block) {
	b.older.newer, b.newer.older = b.newer, b.older
	b.older, b.newer = nil, nil
	c.evictableCount--
}
