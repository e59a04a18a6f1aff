package replication

import (
	"testing"
	"time"
)

func TestOneVoteInAnEpoch(t *testing.T) {
	f := newTestFleet(t, 18, 1)
	d := f.start(1, "a")
	group := Group{d.self.ID, "10.0.0.2:7000#9", "10.0.0.3:7000#9"}
	r := d.manager.open(shard, voteState{}, group)
	r.receiveVoteRequest(group[1], &VoteRequest{Epoch: 7})
	r.receiveVoteRequest(group[2], &VoteRequest{Epoch: 7})
	if r.voteState != (voteState{epoch: 7, votedFor: group[1]}) {
		t.Errorf("promise is %+v", r.voteState)
	}
	r.receiveDismiss(group[1], &Dismiss{Epoch: 7})
	again := d.manager.open(shard, voteState{}, group)
	if again == r || again.voteState.votedFor != group[1] {
		t.Errorf("after it was dropped the promise is %+v", again.voteState)
	}
}

func TestNoVoteForAShorterLog(t *testing.T) {
	f := newTestFleet(t, 19, 1)
	d := f.start(1, "a")
	group := Group{d.self.ID, "10.0.0.2:7000#9", "10.0.0.3:7000#9"}
	r := d.manager.open(shard, voteState{epoch: 3}, group)
	r.log.append(Entry{Index: 1, Epoch: 2})
	r.log.append(Entry{Index: 2, Epoch: 3})
	for _, vote := range []VoteRequest{{Epoch: 5, Last: 1, LastEpoch: 3}, {Epoch: 6, Last: 9, LastEpoch: 2}} {
		r.receiveVoteRequest(group[1], &vote)
		if r.voteState.votedFor != "" {
			t.Errorf("voted for a log at %d of epoch %d", vote.Last, vote.LastEpoch)
		}
	}
	r.receiveVoteRequest(group[1], &VoteRequest{Epoch: 7, Last: 2, LastEpoch: 3})
	if r.voteState.votedFor != group[1] {
		t.Error("no vote for an equal log")
	}
}

func TestNewMemberWithoutTheLogGetsNoVote(t *testing.T) {
	f, daemons := startThree(t, 20, 1)
	f.mustRecord(shard, "one")
	leader := f.leaderOf(shard)
	fresh := f.start(4, "c")
	f.setPartitioned(fresh, leader, true)
	leader.view.states[fresh.self.ID] = "alive"
	leader.wronglyHeldDead[fresh] = false
	leader.manager.replica(shard).leaderState.addMember(fresh.self.ID)
	f.run(200 * time.Millisecond)
	if group := leader.manager.replica(shard).log.group; group.Contains(fresh.self.ID) {
		t.Errorf("group is %v", group)
	}
	f.crash(others(daemons, leader)[0], false)
	f.run(time.Second)
	f.mustRecord(shard, "two")
}

func TestEntriesOfFormerEpochsAreCommittedWithOneOfTheOwn(t *testing.T) {
	f := newTestFleet(t, 23, 1)
	d := f.start(1, "a")
	group := Group{d.self.ID, "10.0.0.2:7000#9", "10.0.0.3:7000#9"}
	r := d.manager.open(shard, voteState{epoch: 4, votedFor: d.self.ID}, group)
	r.log.append(Entry{Index: 1, Epoch: 1, Group: group})
	r.log.append(Entry{Index: 2, Epoch: 2})
	r.openEpoch(4, nil)
	r.receiveAppendReply(group[1], &AppendReply{Epoch: 4, Match: 2})
	if r.commit != 0 || r.leaderState.ready {
		t.Errorf("committed up to %d, ready %v", r.commit, r.leaderState.ready)
	}
	r.receiveAppendReply(group[1], &AppendReply{Epoch: 4, Match: 3})
	if r.commit != 3 || !r.leaderState.ready {
		t.Errorf("committed up to %d, ready %v", r.commit, r.leaderState.ready)
	}
}
