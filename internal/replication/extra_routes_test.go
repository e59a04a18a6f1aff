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
		t.Errorf("%d routes known after the first question, want the one asked for", routes)
	}
	outsider.manager.Route(8)
	f.run(50 * time.Millisecond)
	for shard := range structs.ShardNumber(shards) {
		if outsider.manager.Route(shard).Leader == "" {
			t.Errorf("shard %d is not known after two questions of a moment", shard)
		}
	}
	if from, more := outsider.manager.nextMissingRoute(); more {
		t.Errorf("asks for more, from %d on, though it lacks none", from)
	}
}

func TestMissingRoutesAreRequestedInTurn(t *testing.T) {
	f, _ := startThree(t, 33, 100)
	outsider := f.start(4, "a")
	f.run(50 * time.Millisecond)
	var asked []structs.ShardNumber
	for range 4 {
		from, more := outsider.manager.nextMissingRoute()
		if !more {
			t.Fatal("an outsider lacks no routes")
		}
		asked = append(asked, from)
	}
	if diff := cmp.Diff([]structs.ShardNumber{0, 32, 64, 96}, asked); diff != "" {
		t.Error(diff)
	}
}

// stayInPlace keeps leaders from moving replicas to a fresh daemon for the next
// Settings.RebalanceInterval: one that is to know nothing must not be made a member.
func delayRebalancing(f *testFleet, daemons []*testDaemon) {
	for _, d := range daemons {
		d.manager.movedAt = f.clock.Now()
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
		t.Errorf("a daemon that knows no routes tells %v", routes)
	}
}

func TestExtraRoutesAreRateLimited(t *testing.T) {
	f, daemons := startThree(t, 35, maxExtraRoutes)
	told := 0
	const seconds = 20
	for range seconds {
		for range 20 {
			told += len(daemons[0].manager.extraRoutes(&RouteRequest{More: true}))
		}
		f.run(time.Second)
	}
	if limit := (requestBurstBytes + requestBytesPerSecond*seconds) / extraRouteSize; told > limit || told < limit/2 {
		t.Errorf("%d routes told in %d s, want at most %d", told, seconds, limit)
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
		t.Fatalf("hearsay was not taken: %q", got)
	}
	// The daemon that does not lead redirects what is sent to it.
	outsider.manager.Learn(0, Route{Leader: leader.self.ID, Epoch: epoch})
	outsider.manager.Receive(follower.self.ID, &RouteReply{Routes: []ShardRoute{{Shard: 0, Leader: follower.self.ID, Epoch: epoch - 1}}})
	if got := outsider.manager.Route(0).Leader; got != leader.self.ID {
		t.Errorf("older hearsay replaced the leader by %q", got)
	}
}
