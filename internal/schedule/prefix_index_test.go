package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// lruCache is a block cache with least-recently-used eviction.
type lruCache struct {
	capacity int
	clock    int
	used     map[structs.BlockHash]int
}

func (c *lruCache) use(chain []structs.BlockHash) (hit int, evicted []structs.BlockHash) {
	for hit < len(chain) && c.used[chain[hit]] > 0 {
		hit++
	}
	for i := len(chain) - 1; i >= 0; i-- {
		c.clock++
		c.used[chain[i]] = c.clock
	}
	for len(c.used) > c.capacity {
		oldest, at := structs.BlockHash(0), c.clock+1
		for block, used := range c.used {
			if used < at {
				oldest, at = block, used
			}
		}
		delete(c.used, oldest)
		evicted = append(evicted, oldest)
	}
	return hit, evicted
}

func TestPrefixIndexStaysAccurateWhenEventsAreLost(t *testing.T) {
	const programs, chainLength, capacity, calls = 60, 10, 200, 3000
	random := rand.New(rand.NewPCG(3, 0))
	cache := &lruCache{capacity: capacity, used: map[structs.BlockHash]int{}}
	index := newPrefixIndex()
	engine := index.engine("10.0.0.1:80")
	engine.capacity = capacity
	wrong := 0
	for call := range calls {
		now := time.Unix(int64(call), 0)
		// Only some of the programs are active at a time.
		number := (call/50 + random.IntN(25)) % programs
		chain := make([]structs.BlockHash, chainLength)
		for i := range chain {
			chain[i] = structs.BlockHash(1 + number*chainLength + i)
		}
		index.setPrompt(chain)
		predicted := index.hit(engine, chain)
		actual, evicted := cache.use(chain)
		if predicted != actual {
			wrong++
		}
		index.store(engine, chain, now, nil)
		if random.IntN(3) > 0 {
			index.evict(engine, evicted)
		}
		if len(engine.blocks) > capacity {
			t.Fatalf("%d blocks indexed, the engine holds %d", len(engine.blocks), capacity)
		}
	}
	if share := float64(wrong) / calls; share > 0.05 {
		t.Errorf("the index was wrong for %.1f%% of the calls", 100*share)
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	index := newPrefixIndex()
	engine := index.engine("10.0.0.1:80")
	random := rand.New(rand.NewPCG(1, 1))
	var last []structs.BlockHash
	for range 1000 {
		last = last[:0]
		for range 500 {
			last = append(last, structs.BlockHash(random.Uint64()))
		}
		index.store(engine, last, time.Unix(0, 0), nil)
	}
	if index.total > maximumCachedBlocks || len(index.holders) > maximumCachedBlocks {
		t.Errorf("%d blocks indexed, the bound is %d", index.total, maximumCachedBlocks)
	}
	index.setPrompt(last)
	if hit := index.hit(engine, last); hit < len(last)-64 {
		t.Errorf("hit of %d blocks after the sampling rate was halved, want nearly %d", hit, len(last))
	}
}

func TestHoldsOnlyForLikelyReturns(t *testing.T) {
	var pauses pauseStatistics
	for range 100 {
		pauses.add(1)
	}
	for range 10 {
		pauses.add(100)
	}
	seconds, gain := pauses.bestHold(1, 0.05)
	if seconds < 1 || seconds > 20 || gain <= 0 {
		t.Errorf("hold for %.1f s with gain %.2f: nine in ten return after a second", seconds, gain)
	}
	if _, gain := pauses.bestHold(0.01, 0.5); gain > 0 {
		t.Errorf("gain %.2f for a program that does not return, want none", gain)
	}
}
