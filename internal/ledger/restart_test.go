package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// programOfEachShard returns a program's name for each shard.
func programOfEachShard(s *Service) []string {
	names := make([]string, testShards)
	for i, left := 0, testShards; left > 0; i++ {
		name := fmt.Sprint("program-", i)
		if shard := s.shardOf(name); names[shard] == "" {
			names[shard] = name
			left--
		}
	}
	return names
}

// beginEverywhere begins a turn in every shard at every daemon at once.
func (f *testFleet) beginEverywhere(t *testing.T, label string) {
	t.Helper()
	var callers sync.WaitGroup
	for _, id := range f.ids() {
		for shard, program := range programOfEachShard(f.service(id)) {
			callers.Go(func() {
				turn := Turn{ID: fmt.Sprint(label, "-", id, "-", shard), Program: program, MaxTokens: 1, Retention: time.Minute}
				begin(t, f.service(id), turn)
			})
		}
	}
	callers.Wait()
}

// holderAddresses returns the address of each shard's holder according to the directory.
func (f *testFleet) holderAddresses() [testShards]string {
	var addresses [testShards]string
	for shard, program := range programOfEachShard(f.service(f.ids()[0])) {
		addresses[shard] = f.holderOf(program).Address()
	}
	return addresses
}

const restartedDaemons = 12

// Daemons that start together have not discovered most others for a while. They must not
// take shards from holders only because they have not discovered them.
func TestDaemonsThatHaveNotDiscoveredEachOtherClaimEachShardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, restartedDaemons)
		f.beginEverywhere(t, "before")
		before, claims := f.holderAddresses(), f.claims()
		f.killAll()
		f.blind = true
		for i := range restartedDaemons {
			f.start(daemonID(i, 2))
		}
		f.beginEverywhere(t, "after")
		if got := f.claims() - claims; got != testShards {
			t.Errorf("%d claims of %d shards", got, testShards)
		}
		if after := f.holderAddresses(); after != before {
			t.Errorf("shards are held at %v, and were at %v", after, before)
		}
	})
}

func TestNewFleetWithoutDiscoveryClaimsEachShardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0)
		f.blind = true
		for i := range restartedDaemons {
			f.start(daemonID(i, 1))
		}
		f.beginEverywhere(t, "first")
		time.Sleep(time.Second)
		settled := f.claims()
		f.beginEverywhere(t, "second")
		if got := f.claims(); got != settled {
			t.Errorf("%d claims once all shards had a holder", got-settled)
		}
	})
}

func TestShardOfADaemonThatDoesNotComeBackIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		f.beginEverywhere(t, "before")
		missing := f.holderOf(programOfEachShard(f.service(daemonID(0, 1)))[0])
		f.killAll()
		f.blind = true
		for i := range 3 {
			if daemonID(i, 1) != missing {
				f.start(daemonID(i, 2))
			}
		}
		started := time.Now()
		f.beginEverywhere(t, "after")
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("turns began after %s", took)
		}
	})
}

func TestDiscoveryEndsOnceAllHoldersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.discoveryTimeout = DefaultDiscoveryTimeout
		f.beginEverywhere(t, "before")
		s := f.start(daemonID(2, 1))
		time.Sleep(DefaultDiscoveryTimeout / 10)
		if !s.DiscoveryDone() {
			t.Error("discovery is not done although the directory names all holders")
		}
		f.store.SetDown(true)
		s = f.start(daemonID(3, 1))
		time.Sleep(DefaultDiscoveryTimeout - 2*discoveryPollInterval)
		if s.DiscoveryDone() {
			t.Error("discovery is done although no daemon was discovered")
		}
		time.Sleep(4 * discoveryPollInterval)
		if !s.DiscoveryDone() {
			t.Error("discovery is not done after its timeout")
		}
	})
}

// A claim that the directory does not name yet must not count as that of a dead daemon.
func TestClaimOfAnUndiscoveredDaemonIsLeftToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0)
		f.blind = true
		first, second := f.start(daemonID(0, 1)), f.start(daemonID(1, 1))
		program := programOfEachShard(first)[0]
		begin(t, first, Turn{ID: "a", Program: program, MaxTokens: 1})
		begin(t, second, Turn{ID: "b", Program: program, MaxTokens: 1})
		records, _, err := store.Newest(context.Background(), f.store, store.Partition{Space: "holders"})
		if err != nil {
			t.Fatal(err)
		}
		if holder := latestHolder("0", records); holder.Daemon != string(daemonID(0, 1)) {
			t.Errorf("held by %s", holder.Daemon)
		}
	})
}
