package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// staleView is a view in which some daemons are dead, whatever their actual state.
type staleView struct {
	*testFleet
	dead map[structs.DaemonID]bool
}

// Members implements membership.View.
func (v staleView) Members() []membership.Member {
	var members []membership.Member
	for _, member := range v.testFleet.Members() {
		if !v.dead[member.Daemon.ID] {
			members = append(members, member)
		}
	}
	return members
}

// Lookup implements View.
func (v staleView) Lookup(address string) (membership.Member, bool) {
	member, known := v.testFleet.Lookup(address)
	if v.dead[member.Daemon.ID] {
		member.State = membership.StateDead
	}
	return member, known
}

// TestHolderThatAnswersKeepsItsShard: a holder that all others believe dead keeps its
// shard. Turns are forwarded to it without a read of the directory for each of them.
func TestHolderThatAnswersKeepsItsShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5)
		f.store.SetDelay(4 * time.Millisecond)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		holder, other := f.holderOf("p"), f.other("p")
		begin(t, other, Turn{ID: "b", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		for _, id := range f.ids() {
			if id != holder {
				f.service(id).View = staleView{testFleet: f, dead: map[structs.DaemonID]bool{holder: true}}
			}
		}
		claims := f.claims()
		started := time.Now()
		for i := range 20 {
			begin(t, other, Turn{ID: fmt.Sprint("later-", i), Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		}
		if now := f.holderOf("p"); now != holder || f.claims() != claims {
			t.Errorf("the shard moved from the live holder %s to %s", holder, now)
		}
		if took := time.Since(started); took > silenceTimeout {
			t.Errorf("20 turns took %s", took)
		}
	})
}

// TestDeadHolderIsReplacedAtOnce: a claim does not wait for a dead holder, whether or not a
// new incarnation answers at its address.
func TestDeadHolderIsReplacedAtOnce(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 5)
			f.store.SetDelay(4 * time.Millisecond)
			begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
			holder, other := f.holderOf("p"), f.other("p")
			begin(t, other, Turn{ID: "b", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
			time.Sleep(time.Second) // lets earlier confirmations expire
			f.kill(holder)
			if restarted {
				f.start(structs.NewDaemonID(holder.Address(), 2))
			}
			started := time.Now()
			begin(t, other, Turn{ID: "c", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
			if took := time.Since(started); took > 50*time.Millisecond {
				t.Errorf("restarted %v: a dead holder was replaced after %s", restarted, took)
			}
		})
	}
}

// TestIsolationIsDistinguishedFromDeaths: a daemon is isolated if most of the other zones
// are lost and its own is not, or if all daemons and the store are lost; not if many are
// killed at once, or if it is the only one alive.
func TestIsolationIsDistinguishedFromDeaths(t *testing.T) {
	const zones, perZone = 4, 15
	for _, c := range []struct {
		name   string
		isLost func(zone, number int) bool
		// storeLost: the store is not reached either.
		storeLost, isolated bool
	}{
		{"nothing lost", func(int, int) bool { return false }, false, false},
		{"store out for all", func(int, int) bool { return false }, true, false},
		{"another zone cut off", func(zone, _ int) bool { return zone == 1 }, false, false},
		{"cut off with its zone", func(zone, _ int) bool { return zone != 0 }, true, true},
		{"cut off with its zone from all but the store", func(zone, _ int) bool { return zone != 0 }, false, true},
		{"cut off with its zone, one of it lost before", func(zone, number int) bool { return zone != 0 || number == 1 }, true, true},
		{"cut off with its zone and another", func(zone, _ int) bool { return zone > 1 }, true, true},
		{"cut off alone", func(zone, number int) bool { return zone+number != 0 }, true, true},
		{"the only one that lives", func(zone, number int) bool { return zone+number != 0 }, false, false},
		{"most killed at once", func(_, number int) bool { return number > 4 }, false, false},
	} {
		members := func(withLost bool) []membership.Member {
			var list []membership.Member
			for i := range zones * perZone {
				zone, number := i%zones, i/zones
				if withLost || !c.isLost(zone, number) {
					daemon := structs.Daemon{ID: daemonID(i, 1), Zone: structs.ZoneName(fmt.Sprint(zone))}
					list = append(list, membership.Member{Daemon: daemon, State: membership.StateAlive})
				}
			}
			return list
		}
		now, s := time.Now(), &isolationDetector{}
		s.observe(daemonID(0, 1), members(true), false, now)
		isolated, _ := s.observe(daemonID(0, 1), members(false), c.storeLost, now.Add(time.Second))
		if isolated != c.isolated || s.wasIsolatedLately(now.Add(time.Second)) != c.isolated {
			t.Errorf("%s: isolated %v, want %v", c.name, isolated, c.isolated)
		}
		s.observe(daemonID(0, 1), members(true), false, now.Add(2*time.Second))
		if back := now.Add(time.Second + isolationDoubtPeriod + time.Millisecond); s.wasIsolatedLately(back) {
			t.Errorf("%s: still in doubt %s after it was back", c.name, isolationDoubtPeriod)
		}
		if isolated, _ := s.observe(daemonID(0, 1), members(false), false, now.Add(2*time.Second+lostDaemonTTL+time.Millisecond)); isolated {
			t.Errorf("%s: those that are gone for long still count", c.name)
		}
	}
}

// TestLossOfOneOfTwoZonesIsNoIsolation: it is if the store is lost as well.
func TestLossOfOneOfTwoZonesIsNoIsolation(t *testing.T) {
	members := func(zones int) []membership.Member {
		var list []membership.Member
		for i := range 20 {
			if zone := i % 2; zone < zones {
				daemon := structs.Daemon{ID: daemonID(i, 1), Zone: structs.ZoneName(fmt.Sprint(zone))}
				list = append(list, membership.Member{Daemon: daemon, State: membership.StateAlive})
			}
		}
		return list
	}
	now := time.Now()
	for _, storeLost := range []bool{false, true} {
		s := &isolationDetector{}
		s.observe(daemonID(0, 1), members(2), false, now)
		if isolated, _ := s.observe(daemonID(0, 1), members(1), storeLost, now.Add(time.Second)); isolated != storeLost {
			t.Errorf("store lost %v: isolated %v", storeLost, isolated)
		}
	}
}

// TestShardThatIsGivenUpWhileRequestsAreForwardedIsReleased: a daemon that forwards
// requests to a holder learns from its answer that it released the shard, and to which
// daemon.
func TestShardThatIsGivenUpWhileRequestsAreForwardedIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		holder, other := f.service(f.holderOf("p")), f.other("p")
		shard := holder.shardOf("p")
		held := holder.known.get(shard).holderRecord
		h := other.holders[shard]
		other.known.note(shard, held)
		h.confirmed = holderConfirmation{holder: held, at: time.Now()}
		giving := holder.holders[shard]
		giving.post(testContext(t), func(context.Context) {
			giving.known.noteReleased(shard, held.Epoch, string(other.Self))
			giving.drop()
			giving.releasedTo = string(other.Self)
		})
		turn := Turn{ID: "b", Program: "p", BudgetTokens: 1000, MaxTokens: 10}
		if got := askHolder(t, other, Request{Begin: &turn, FailedEpoch: held.Epoch, FailedHolder: held.Daemon}); got != resultMoved {
			t.Errorf("the request was answered %q", got)
		}
		time.Sleep(time.Millisecond)
		if known := other.known.get(shard); !known.released || known.Daemon != string(other.Self) {
			t.Errorf("known of the shard is %+v, want that it was released to %s", known, other.Self)
		}
	})
}

// TestDaemonIsSteadyOnceItIsBackForLong: a shard that could stay must not be handed over to
// a daemon that others do not reach yet, or believe dead.
func TestDaemonIsSteadyOnceItIsBackForLong(t *testing.T) {
	self, other := daemonID(0, 1), daemonID(1, 1)
	s := &isolationDetector{}
	began := time.Now()
	// look observes the members at a time and reports whether the other daemon is steady.
	look := func(at time.Duration, alive bool) bool {
		members := []membership.Member{{Daemon: structs.Daemon{ID: self}, State: membership.StateAlive}}
		if alive {
			members = append(members, membership.Member{Daemon: structs.Daemon{ID: other}, State: membership.StateAlive})
		}
		s.observe(self, members, false, began.Add(at))
		return s.isSteady(other, began.Add(at))
	}
	for _, step := range []struct {
		at            time.Duration
		alive, steady bool
	}{
		{0, true, false}, // it was just discovered
		{steadyPeriod - time.Second, true, false},
		{steadyPeriod, true, true},
		{steadyPeriod + time.Second, false, false}, // it is lost
		{steadyPeriod + 2*time.Second, true, false},
		{2*steadyPeriod + time.Second, true, false},
		{2*steadyPeriod + 2*time.Second, true, true},
	} {
		if got := look(step.at, step.alive); got != step.steady {
			t.Errorf("after %s, alive %v: steady %v, want %v", step.at, step.alive, got, step.steady)
		}
	}
}
