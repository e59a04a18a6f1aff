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

// rejoin dismisses a member and takes it back in the same epoch. It returns
// the round of the stay that ended.
func rejoin(f *testFleet, leader, member *testDaemon) uint64 {
	l := leader.manager.replica(shard).leaderState
	round := l.round
	l.dismiss(member.self.ID)
	f.run(10 * time.Millisecond)
	return round
}

// TestAnswersOfAFormerStayProveNothing has an answer of the member's former
// stay arrive after it was dismissed and taken back.
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
	r.receiveAppended(member.self.ID, late)
	if p := r.leaderState.progress[member.self.ID]; p.match != 0 {
		t.Errorf("a late answer counts as %d entries held", p.match)
	}
	f.mustRecord(shard, "two")
	mustHoldAll(t, leader, member)
}

// TestPiecesOfAFormerStayProveNothing does the same with a snapshot's answer.
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
	r.receiveChunkTaken(member.self.ID, late)
	if p.match != 0 {
		t.Errorf("a late answer counts as %d entries held", p.match)
	}
	f.mustRecord(shard, "two")
	mustHoldAll(t, leader, member)
}

// TestLateDismissalDoesNotEndANewStay doubles a dismissal.
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
