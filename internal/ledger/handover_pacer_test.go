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

// A fleet of pacerDaemons, each with shards of pacerShardBytes, whose store reads pacerReadBytes a second.
const pacerDaemons, pacerShardBytes, pacerReadBytes = 76, 3_000_000, 80e6

// pacedFleet is a fleet in which all daemons want to hand shards over.
type pacedFleet struct {
	pacers []handoverPacer
	random *rand.Rand
	began  time.Time
}

func newPacedFleet() *pacedFleet {
	return &pacedFleet{pacers: make([]handoverPacer, pacerDaemons), random: rand.New(rand.NewPCG(1, 2)), began: time.Now()}
}

// read returns how many bytes are read from the store in each second from one time to another, in
// which all daemons want to hand shards over.
func (f *pacedFleet) read(from, to time.Duration) []float64 {
	const tick = 100 * time.Millisecond
	interval := handoverInterval(pacerDaemons, pacerShardBytes, pacerReadBytes)
	bytes := make([]float64, int((to-from+time.Second-1)/time.Second))
	for at := from; at < to; at += tick {
		for i := range f.pacers {
			if f.pacers[i].allow(f.began.Add(at), interval, f.random.Float64) {
				bytes[int((at-from)/time.Second)] += encodedShare * pacerShardBytes
			}
		}
	}
	return bytes
}

// expectWithinShare: in no second may the daemons read more than half of the store's read capacity,
// and over all seconds no more than handoverShare.
func expectWithinShare(t *testing.T, bytes []float64) {
	t.Helper()
	read, worst := 0.0, 0.0
	for _, inSecond := range bytes {
		read += inSecond
		worst = max(worst, inSecond)
	}
	if most := handoverShare * pacerReadBytes * float64(len(bytes)) * 1.1; read > most {
		t.Errorf("%.0f MB were read in %d s, want %.0f at most", read/1e6, len(bytes), most/1e6)
	}
	if read == 0 {
		t.Error("no shard moved")
	}
	if most := 0.5 * pacerReadBytes; worst > most {
		t.Errorf("%.0f MB were read in one second, want %.0f at most", worst/1e6, most/1e6)
	}
}

// TestPlannedHandoversKeepWithinTheirShare: all daemons of a fleet want to hand shards over
// from the same moment on, for a minute.
func TestPlannedHandoversKeepWithinTheirShare(t *testing.T) {
	expectWithinShare(t, newPacedFleet().read(0, time.Minute))
	if interval := handoverInterval(pacerDaemons, pacerShardBytes, 0); interval != 0 {
		t.Errorf("handovers are %s apart though the store's read capacity is not known", interval)
	}
}

// TestHandoversThatWereHeldBackAreSpreadAgain: the successors of all daemons are away for a while,
// and back at the same moment.
func TestHandoversThatWereHeldBackAreSpreadAgain(t *testing.T) {
	f := newPacedFleet()
	f.read(0, time.Second)
	back := handoverInterval(pacerDaemons, pacerShardBytes, pacerReadBytes) / 2
	expectWithinShare(t, f.read(back, back+time.Minute))
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
