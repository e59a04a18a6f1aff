package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// faultSchedule injects random faults into a fleet and records which values
// were acknowledged.
type faultSchedule struct {
	*testFleet
	chance       *rand.Rand
	shards       int
	nextValue    int
	daemonCount  int
	acknowledged map[structs.ShardNumber][]string
}

func newFaultSchedule(t *testing.T, seed uint64) *faultSchedule {
	f := newTestFleet(t, seed, 3)
	s := &faultSchedule{
		testFleet:    f,
		chance:       rand.New(rand.NewPCG(seed, 99)),
		shards:       3,
		acknowledged: map[structs.ShardNumber][]string{},
	}
	f.loss = 0.25 * s.chance.Float64()
	f.duplication = 0.2 * s.chance.Float64()
	f.delaySpread = time.Duration(s.chance.IntN(80)) * time.Millisecond
	f.settings.LogBytes = 2000
	f.settings.SnapshotChunkBytes = 256
	f.settings.ReplaceAfter = 2 * time.Second
	if s.chance.IntN(2) == 0 {
		// Acknowledge with a bare majority, one entry in a message.
		f.settings.AcknowledgeTimeout = time.Millisecond
		f.settings.AppendBytes = 1
	}
	if s.chance.IntN(2) == 0 {
		f.detectionTime = 100 * time.Millisecond
	}
	for s.daemonCount < 5 {
		s.startNext(string(rune('a' + s.daemonCount%3)))
	}
	f.run(4 * time.Second)
	return s
}

func (s *faultSchedule) startNext(zone string) *testDaemon {
	s.daemonCount++
	return s.start(s.daemonCount, zone)
}

// proposeSome proposes values at every daemon that believes it leads, stale
// leaders included.
func (s *faultSchedule) proposeSome() {
	for _, d := range s.daemons {
		for shard := range structs.ShardNumber(s.shards) {
			if !d.running || d.app.led[shard] == nil || s.chance.IntN(2) == 0 {
				continue
			}
			s.nextValue++
			value := fmt.Sprint(s.nextValue)
			d.propose(shard, value, func(err error) {
				if err == nil {
					s.acknowledged[shard] = append(s.acknowledged[shard], value)
				}
			})
		}
	}
}

// canLoseOneMember reports whether every group has all its members, so that the
// loss of one leaves a majority.
func (s *faultSchedule) canLoseOneMember() bool {
	for shard := range structs.ShardNumber(s.shards) {
		leader := s.leaderOf(shard)
		if leader == nil || leader.manager.replica(shard).leaderState == nil {
			return false
		}
		r := leader.manager.replica(shard)
		if len(r.log.group) != 3 || r.log.groupIndex > r.commit || r.leaderState.change != nil {
			return false
		}
		for _, d := range s.daemons {
			if r.log.group.Contains(d.self.ID) && !d.running {
				return false
			}
		}
	}
	return true
}

// injectFault injects one fault. Crashes and planned stops require
// canLoseOneMember; all other faults may happen at any time, to any number of
// daemons.
func (s *faultSchedule) injectFault() {
	d := s.daemons[s.chance.IntN(len(s.daemons))]
	other := s.daemons[s.chance.IntN(len(s.daemons))]
	if !d.running || d == other {
		return
	}
	switch s.chance.IntN(9) {
	case 0:
		if s.canLoseOneMember() {
			s.crash(d, s.chance.IntN(2) == 0)
			s.startNext(string(d.self.Zone))
		}
	case 1:
		s.pause(d, !d.paused)
	case 2:
		s.setPartitioned(d, other, true)
	case 3:
		s.partitioned[[2]string{d.self.ID.Address(), other.self.ID.Address()}] = true
		s.updateViews()
	case 4:
		d.wronglyHeldDead[other] = !d.wronglyHeldDead[other]
		s.updateViews()
	case 5:
		s.log.down = !s.log.down
	case 6:
		if s.canLoseOneMember() && !d.leaving {
			d.leaving = true
			s.updateViews()
			d.manager.HandOver(func() {})
			s.startNext(string(d.self.Zone))
		}
	default:
		s.heal()
	}
}

func (s *faultSchedule) heal() {
	clear(s.partitioned)
	for _, d := range s.daemons {
		clear(d.wronglyHeldDead)
		if d.paused {
			s.pause(d, false)
		}
	}
	s.updateViews()
}

// check compares the replicas with the acknowledged values.
func (s *faultSchedule) check(t *testing.T) {
	s.heal()
	s.loss = 0
	s.log.down = false
	s.run(30 * time.Second)
	for shard := range structs.ShardNumber(s.shards) {
		leader := s.leaderOf(shard)
		if leader == nil {
			t.Errorf("shard %d has no leader", shard)
			continue
		}
		held := leader.values(shard)
		for _, value := range s.acknowledged[shard] {
			if !slices.Contains(held, value) {
				t.Errorf("shard %d lost %s", shard, value)
			}
		}
		for _, d := range s.daemons {
			if !d.running {
				continue
			}
			if own := d.values(shard); s.group(shard).Contains(d.self.ID) &&
				(len(own) > len(held) || !slices.Equal(own, held[:len(own)])) {
				t.Errorf("shard %d differs at %s", shard, d.self.ID)
			}
			if d.manager.contradictions > 0 {
				t.Errorf("%s has a committed entry that conflicts with a leader's", d.self.ID)
			}
		}
		if generation(leader.app.led[shard].leadership.Epoch()) > 0 {
			t.Errorf("shard %d was claimed though its majority was alive", shard)
		}
	}
	for _, fault := range s.faults {
		t.Error(fault)
	}
}

func (s *faultSchedule) runSchedule(t *testing.T) {
	for range 60 {
		s.proposeSome()
		s.run(time.Duration(s.chance.IntN(600)) * time.Millisecond)
		if s.chance.IntN(2) == 0 {
			s.injectFault()
		}
	}
	s.check(t)
}

// randomSeeds is how many schedules one test run covers.
const randomSeeds = 60

func TestRandomSchedules(t *testing.T) {
	acknowledged := 0
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newFaultSchedule(t, seed)
			s.runSchedule(t)
			for _, values := range s.acknowledged {
				acknowledged += len(values)
			}
		})
	}
	if acknowledged < 30*randomSeeds {
		t.Errorf("only %d values were acknowledged", acknowledged)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	trace := func() string {
		s := newFaultSchedule(t, 7)
		s.runSchedule(t)
		return fmt.Sprint(s.clock.Now(), s.bytes, s.kinds, s.acknowledged)
	}
	first := trace()
	if second := trace(); second != first {
		t.Errorf("first  %s\nsecond %s", first, second)
	}
}

// TestAcknowledgedSurvivesTwoLostAtOnce crashes the leader and another member
// as soon as a value is acknowledged, with the log down.
func TestAcknowledgedSurvivesTwoLostAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		f := newTestFleet(t, seed, 1)
		f.delaySpread = 40 * time.Millisecond
		f.loss = 0.05
		daemons := []*testDaemon{f.start(1, "a"), f.start(2, "b"), f.start(3, "c")}
		f.run(6 * time.Second)
		f.log.down = true
		leader := f.leaderOf(shard)
		lost := others(daemons, leader)[seed%2]
		crashed := false
		leader.propose(shard, "kept", func(err error) {
			if err == nil {
				f.crash(leader, true)
				f.crash(lost, true)
				crashed = true
			}
		})
		f.run(20 * time.Second)
		f.log.down = false
		f.loss = 0
		f.run(20 * time.Second)
		if !crashed || f.leaderOf(shard) == nil || !slices.Contains(f.leaderOf(shard).values(shard), "kept") {
			t.Errorf("seed %d: crashed %v, leader %v", seed, crashed, f.leaderOf(shard))
		}
	}
}
