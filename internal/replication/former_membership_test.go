package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// mustHoldAll fails unless a member holds every entry of the leader's log.
func mustHoldAll(t *testing.T, leader, member *testDaemon) {
	t.Helper()
	r := member.manager.replica(shard)
	if r == nil {
		t.Fatal("the member has dropped its replica")
	}
	want := leader.manager.replica(shard).log
	if r.log.last() != want.last() {
		t.Fatalf("the member holds %d of %d entries", r.log.last(), want.last())
	}
	first := max(want.base, r.log.base) + 1
	if diff := cmp.Diff(want.from(first, 1<<20), r.log.from(first, 1<<20)); diff != "" {
		t.Errorf("the member's log: %s", diff)
	}
}

// rejoin dismisses a member and adds it again in the same epoch. It returns the
// last round of the membership that ended.
func rejoin(f *testFleet, leader, member *testDaemon) uint64 {
	l := leader.manager.replica(shard).leaderState
	round := l.round
	l.dismiss(member.self.ID)
	f.run(10 * time.Millisecond)
	return round
}

// TestRepliesOfAFormerMembershipAreIgnored delivers a reply of a former
// membership after the member was dismissed and added again.
func TestRepliesOfAFormerMembershipAreIgnored(t *testing.T) {
	f, daemons := startThree(t, 31, 1)
	f.mustRecord(shard, "one")
	leader := f.leaderOf(shard)
	member := others(daemons, leader)[0]
	r := leader.manager.replica(shard)
	last := r.log.last()
	round := rejoin(f, leader, member)
	if got := member.values(shard); got != nil {
		t.Fatalf("the dismissed member holds %v", got)
	}
	r.leaderState.flush()
	late := &AppendReply{Shard: shard, Epoch: r.leaderState.epoch, Match: last, Round: round}
	r.receiveAppendReply(member.self.ID, late)
	if p := r.leaderState.progress[member.self.ID]; p.match != 0 {
		t.Errorf("a late answer counts as %d entries held", p.match)
	}
	f.mustRecord(shard, "two")
	mustHoldAll(t, leader, member)
}

// TestSnapshotRepliesOfAFormerMembershipAreIgnored does the same with the reply
// to a snapshot chunk.
func TestSnapshotRepliesOfAFormerMembershipAreIgnored(t *testing.T) {
	f, daemons := startThree(t, 32, 1)
	f.mustRecord(shard, "one")
	leader := f.leaderOf(shard)
	member := others(daemons, leader)[0]
	r := leader.manager.replica(shard)
	round := rejoin(f, leader, member)
	r.leaderState.flush()
	p := r.leaderState.progress[member.self.ID]
	p.startTransfer()
	late := &SnapshotChunkReply{Shard: shard, Epoch: r.leaderState.epoch, Index: p.transfer.index, Next: len(p.transfer.data), Round: round}
	r.receiveSnapshotChunkReply(member.self.ID, late)
	if p.match != 0 {
		t.Errorf("a late answer counts as %d entries held", p.match)
	}
	f.mustRecord(shard, "two")
	mustHoldAll(t, leader, member)
}

// TestLateDismissalIsIgnoredAfterRejoining delivers a dismissal twice.
func TestLateDismissalIsIgnoredAfterRejoining(t *testing.T) {
	f, daemons := startThree(t, 33, 1)
	f.mustRecord(shard, "one")
	leader := f.leaderOf(shard)
	member := others(daemons, leader)[0]
	round := rejoin(f, leader, member)
	f.mustRecord(shard, "two")
	epoch := leader.manager.replica(shard).leaderState.epoch
	member.manager.Receive(leader.self.ID, &Dismiss{Shard: shard, Epoch: epoch, Round: round})
	mustHoldAll(t, leader, member)
}
