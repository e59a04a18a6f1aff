package replication

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestRepeatedRouteRequestsAreRateLimited(t *testing.T) {
	a := byteBudget{}
	now := time.Unix(0, 0)
	granted := 0
	const size, seconds = 1000, 60
	for range seconds {
		for range 10 {
			if a.take(now, size) {
				granted += size
			}
		}
		now = now.Add(time.Second)
	}
	if limit := requestBurstBytes + requestBytesPerSecond*seconds; granted > limit || granted < limit-2*size {
		t.Errorf("%d bytes granted in %d s, want about %d", granted, seconds, limit)
	}
}

func TestConcurrentRouteRequestsAreBatched(t *testing.T) {
	const shards = 20
	f, _ := startThree(t, 31, shards)
	outsider := f.start(4, "a")
	f.run(50 * time.Millisecond)
	for shard := range structs.ShardNumber(shards) {
		outsider.manager.requestRoute(shard)
		outsider.manager.requestRoute(shard)
	}
	asked := map[structs.ShardNumber]int{}
	questions := outsider.manager.groupRequests()
	for _, q := range questions {
		for _, shard := range q.shards {
			asked[shard]++
		}
	}
	if len(questions) > 3 {
		t.Errorf("%d messages to three daemons", len(questions))
	}
	for shard := range structs.ShardNumber(shards) {
		if asked[shard] != firstRequestFanout {
			t.Errorf("shard %d is asked of %d daemons, want %d", shard, asked[shard], firstRequestFanout)
		}
	}
}
