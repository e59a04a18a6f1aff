package ledger

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestPlannedHandoversKeepWithinTheirShare: all daemons of a fleet want to hand shards over
// from the same moment on, for a minute. In no second may they read more than half of the
// store's read capacity, and over the minute no more than handoverShare.
func TestPlannedHandoversKeepWithinTheirShare(t *testing.T) {
	const daemons, shardBytes, readBytes, seconds = 76, 3_000_000, 80e6, 60
	random := rand.New(rand.NewPCG(1, 2))
	interval := handoverInterval(daemons, shardBytes, readBytes)
	pacers := make([]handoverPacer, daemons)
	began := time.Now()
	read, worst := 0.0, 0.0
	for second := range seconds {
		inSecond := 0.0
		for tick := range 10 {
			now := began.Add(time.Duration(second)*time.Second + time.Duration(tick)*100*time.Millisecond)
			for i := range pacers {
				if pacers[i].allow(now, interval, random.Float64) {
					inSecond += encodedShare * shardBytes
				}
			}
		}
		read += inSecond
		worst = max(worst, inSecond)
	}
	if most := handoverShare * readBytes * seconds * 1.1; read > most {
		t.Errorf("%.0f MB were read in %d s, want %.0f at most", read/1e6, seconds, most/1e6)
	}
	if read == 0 {
		t.Error("no shard moved")
	}
	if most := 0.5 * readBytes; worst > most {
		t.Errorf("%.0f MB were read in one second, want %.0f at most", worst/1e6, most/1e6)
	}
	if interval := handoverInterval(daemons, shardBytes, 0); interval != 0 {
		t.Errorf("handovers are %s apart though the store's read capacity is not known", interval)
	}
}

// TestClaimsThatNobodyWaitsForAreSpread: turns that only have to be settled must not make
// daemons read all lost shards at once, whereas a turn that begins gets its shard at once.
func TestClaimsThatNobodyWaitsForAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards = 40
		f := newTestFleet(t, 0)
		f.shards = shards
		for i := range 4 {
			f.start(daemonID(i, 1))
		}
		s := f.service(daemonID(0, 1))
		var programs []string
		for i := range 4 * shards {
			program := fmt.Sprint("p-", i)
			begin(t, s, Turn{ID: program + "-first", Program: program, BudgetTokens: 1000, MaxTokens: 10})
			programs = append(programs, program)
		}
		time.Sleep(time.Second)
		for i := 1; i < 4; i++ {
			f.kill(daemonID(i, 1))
		}
		claims := f.claims()
		var settled sync.WaitGroup
		for _, program := range programs[1:] {
			settled.Go(func() { end(t, s, Outcome{Turn: program + "-first", Program: program}) })
		}
		started := time.Now()
		begin(t, s, Turn{ID: "next", Program: programs[0], BudgetTokens: 1000, MaxTokens: 10})
		if took := time.Since(started); took > silenceTimeout {
			t.Errorf("a turn that begins waited for %s", took)
		}
		time.Sleep(claimDelay/10 - time.Since(started))
		most := (f.claims() - claims)
		settled.Wait()
		if all := f.claims() - claims; most > all*3/4 || all < shards/2 {
			t.Errorf("%d of %d claims were made in the first tenth of the time", most, all)
		}
	})
}

func BenchmarkIsolationDetector(b *testing.B) {
	const daemons, zones = 300, 8
	var members []membership.Member
	for i := range daemons {
		id := structs.NewDaemonID(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200), 1)
		members = append(members, membership.Member{Daemon: structs.Daemon{ID: id, Zone: structs.ZoneName(fmt.Sprint(i % zones))}, State: membership.StateAlive})
	}
	s := &isolationDetector{}
	now := time.Now()
	for i := 0; b.Loop(); i++ {
		s.observe(members[0].Daemon.ID, members, false, now.Add(time.Duration(i)*observeInterval))
	}
}
