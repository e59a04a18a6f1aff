package replication

import "testing"

func TestRouteFromOthersDoesNotNameThisDaemon(t *testing.T) {
	f := newTestFleet(t, 51, 1)
	d := f.start(1, "a")
	d.manager.Learn(shard, Route{Leader: d.self.ID, Epoch: 5})
	if route := d.manager.Route(shard); route.Leader != "" {
		t.Errorf("a daemon without a replica routes to itself: %+v", route)
	}
	if route := d.manager.shardRoute(shard); route.Leader != "" {
		t.Errorf("a daemon without a replica names itself as leader: %+v", route)
	}
}

func TestNewMemberKnowsItsMembership(t *testing.T) {
	f := newTestFleet(t, 52, 1)
	d := f.start(1, "a")
	leader := f.start(2, "b")
	group := Group{leader.self.ID, d.self.ID}
	r := d.manager.open(shard, voteState{}, nil)
	r.receiveAppendRequest(leader.self.ID, &AppendRequest{Shard: shard, Epoch: 1, Entries: []Entry{{Index: 1, Epoch: 1, Group: group}}})
	if !d.manager.isMemberOf(shard) {
		t.Error("the new member got its vote and does not report its membership")
	}
}
