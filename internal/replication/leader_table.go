package replication

import (
	"maps"
	"slices"
	"sync"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// LeaderTable holds what an application runs for each shard that this daemon
// leads. The zero value is ready; it is safe for concurrent use.
type LeaderTable[T any] struct {
	mutex   sync.Mutex
	leaders map[structs.ShardNumber]*T
}

// Put sets a shard's leader and returns the previous one, nil if there was
// none.
func (t *LeaderTable[T]) Put(shard structs.ShardNumber, leader *T) *T {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.leaders == nil {
		t.leaders = map[structs.ShardNumber]*T{}
	}
	former := t.leaders[shard]
	t.leaders[shard] = leader
	return former
}

// Take removes and returns a shard's leader, nil if there is none.
func (t *LeaderTable[T]) Take(shard structs.ShardNumber) *T {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	leader := t.leaders[shard]
	delete(t.leaders, shard)
	return leader
}

// Get returns a shard's leader, nil if there is none.
func (t *LeaderTable[T]) Get(shard structs.ShardNumber) *T {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.leaders[shard]
}

// All returns the leaders in the order of their shards.
func (t *LeaderTable[T]) All() []*T {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make([]*T, 0, len(t.leaders))
	for _, shard := range slices.Sorted(maps.Keys(t.leaders)) {
		all = append(all, t.leaders[shard])
	}
	return all
}
