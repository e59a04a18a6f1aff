package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestDaemonMissingManyRoutesGetsExtraRoutes(t *testing.T) {
	const shards = 30
	f, _ := startThree(t, 32, shards)
	outsider := f.start(4, "a")
	f.run(50 * time.Millisecond)
	outsider.manager.Route(7)
	f.run(50 * time.Millisecond)
	if routes := len(outsider.manager.routes.cached); routes != 1 {
		t.Errorf("%d routes known after the first request, want the one requested", routes)
	}
	outsider.manager.Route(8)
	f.run(50 * time.Millisecond)
	for shard := range structs.ShardNumber(shards) {
		if outsider.manager.Route(shard).Leader == "" {
			t.Errorf("shard %d is not known after two requests in a short time", shard)
		}
	}
	if from, more := outsider.manager.nextMissingRoute(); more {
		t.Errorf("requests extra routes, from %d on, though none is missing", from)
	}
}

func TestMissingRoutesAreRequestedInTurn(t *testing.T) {
	f, _ := startThree(t, 33, 100)
	outsider := f.start(4, "a")
	f.run(50 * time.Millisecond)
	var requested []structs.ShardNumber
	for range 4 {
		from, more := outsider.manager.nextMissingRoute()
		if !more {
			t.Fatal("an outsider misses no routes")
		}
		requested = append(requested, from)
	}
	if diff := cmp.Diff([]structs.ShardNumber{0, 32, 64, 96}, requested); diff != "" {
		t.Error(diff)
	}
}

// delayRebalancing prevents leaders from moving replicas to a new daemon for
// the next Settings.RebalanceInterval: a daemon that must know no routes must
// not become a member.
func delayRebalancing(f *testFleet, daemons []*testDaemon) {
	for _, d := range daemons {
		d.manager.rebalancedAt = f.clock.Now()
	}
}

func TestExtraRoutesOmitRequestedAndUnknownShards(t *testing.T) {
	f, daemons := startThree(t, 34, 6)
	delayRebalancing(f, daemons)
	holder := daemons[0].manager
	if diff := cmp.Diff([]structs.ShardNumber{5, 0, 2, 3}, holder.knownFrom(5, []structs.ShardNumber{1, 4})); diff != "" {
		t.Error(diff)
	}
	outsider := f.start(4, "a")
	f.run(50 * time.Millisecond)
	if routes := outsider.manager.extraRoutes(&RouteRequest{More: true}); len(routes) != 0 {
		t.Errorf("a daemon that knows no routes sent %v", routes)
	}
}

func TestExtraRoutesAreRateLimited(t *testing.T) {
	f, daemons := startThree(t, 35, maxExtraRoutes)
	sent := 0
	const seconds = 20
	for range seconds {
		for range 20 {
			sent += len(daemons[0].manager.extraRoutes(&RouteRequest{More: true}))
		}
		f.run(time.Second)
	}
	if limit := (requestBurstBytes + requestBytesPerSecond*seconds) / extraRouteSize; sent > limit || sent < limit/2 {
		t.Errorf("%d routes sent in %d s, want at most %d", sent, seconds, limit)
	}
}

func TestStaleRouteIsReplacedByTheHoldersRoute(t *testing.T) {
	f, daemons := startThree(t, 36, 1)
	delayRebalancing(f, daemons)
	outsider := f.start(4, "a")
	f.run(50 * time.Millisecond)
	leader := f.leaderOf(0)
	epoch := leader.app.led[0].leadership.Epoch()
	var follower *testDaemon
	for _, d := range daemons {
		if d != leader {
			follower = d
		}
	}
	outsider.manager.Receive(follower.self.ID, &RouteReply{Routes: []ShardRoute{{Shard: 0, Leader: follower.self.ID, Epoch: epoch - 1}}})
	if got := outsider.manager.Route(0).Leader; got != follower.self.ID {
		t.Fatalf("the route was not learned: %q", got)
	}
	// The daemon that does not lead redirects requests to the leader.
	outsider.manager.Learn(0, Route{Leader: leader.self.ID, Epoch: epoch})
	outsider.manager.Receive(follower.self.ID, &RouteReply{Routes: []ShardRoute{{Shard: 0, Leader: follower.self.ID, Epoch: epoch - 1}}})
	if got := outsider.manager.Route(0).Leader; got != leader.self.ID {
		t.Errorf("an older route replaced the leader by %q", got)
	}
}
