package replication

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// callRecords returns the three units of records of one call.
func callRecords() [][]structs.Record {
	key := structs.ProgramKey{Tenant: "tally", Program: "booth-0042"}
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return [][]structs.Record{
		{{At: at, CallAccepted: &structs.CallAccepted{Key: key, Call: structs.Call{
			Key: key, RequestID: "request-0007", Sequence: 7,
			Messages: []structs.Message{{Role: "user", Content: strings.Repeat("w", 500)}},
		}}}},
		{{At: at, CallDispatched: &structs.CallDispatched{Key: key, RequestID: "request-0007", Attempt: 1, BackEnd: "10.0.0.9:8000", Epoch: 3, Reserved: 100}}},
		{{At: at, CallSettled: &structs.CallSettled{Key: key, RequestID: "request-0007", Outcome: structs.Outcome{
			Status: structs.OutcomeCompleted, Answer: structs.Message{Role: "assistant", Content: strings.Repeat("a", 800)},
		}}}},
	}
}

// BenchmarkCall proposes the three units of one call one after another, as
// dispatch does, in a group whose zones are 1.5 ms apart. It reports the bytes
// between daemons, the virtual time, and the CPU time of all three daemons.
func BenchmarkCall(b *testing.B) {
	f, _ := startThree(b, 1, 1)
	f.delay, f.delaySpread = 1500*time.Microsecond, 0
	leader := f.leaderOf(shard).app.led[shard].leadership
	units := callRecords()
	clear(f.bytes)
	start := f.clock.Now()
	b.ResetTimer()
	for range b.N {
		for _, unit := range units {
			done := false
			leader.Queue().Do(func() { leader.Propose(unit, func(error) { done = true }) })
			for !done && f.clock.Step() {
			}
		}
	}
	b.StopTimer()
	calls := float64(b.N)
	b.ReportMetric(float64(f.bytes[peer.ClassData])/calls, "bytes/call")
	b.ReportMetric(float64(f.clock.Now().Sub(start).Microseconds())/calls, "virtual-us/call")
}

// BenchmarkPipelined proposes many units at once, to measure the throughput of
// one shard.
func BenchmarkPipelined(b *testing.B) {
	f, _ := startThree(b, 1, 1)
	leader := f.leaderOf(shard).app.led[shard].leadership
	unit := callRecords()[1]
	clear(f.bytes)
	b.ResetTimer()
	for proposed := 0; proposed < b.N; {
		waiting := 0
		for range min(100, b.N-proposed) {
			waiting++
			leader.Queue().Do(func() { leader.Propose(unit, func(error) { waiting-- }) })
		}
		proposed += waiting
		for waiting > 0 && f.clock.Step() {
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(f.bytes[peer.ClassData])/float64(b.N), "bytes/unit")
}

// BenchmarkRefill adds a new daemon to the group of a shard with 1 MB of state
// that compresses to about half. It reports bytes and virtual time until the
// new member has its vote.
func BenchmarkRefill(b *testing.B) {
	var bytes, micros float64
	for range b.N {
		f := newTestFleet(b, 1, 1)
		f.settings.ReplaceAfter, f.settings.RebalanceInterval = time.Hour, time.Hour
		f.start(1, "a")
		f.start(2, "b")
		f.start(3, "c")
		f.run(3 * time.Second)
		leader := f.leaderOf(shard)
		leader.manager.rebalancedAt = f.clock.Now()
		for range 1000 {
			value := make([]byte, 512)
			for i := range value {
				value[i] = byte(f.random.Uint32())
			}
			leader.propose(shard, hex.EncodeToString(value), func(error) {})
		}
		f.run(2 * time.Second)
		f.crash(others(f.daemons, leader)[0], false)
		fresh := f.start(4, "d")
		f.run(3 * time.Second)
		f.delay, f.delaySpread = 1500*time.Microsecond, 0
		clear(f.bytes)
		start := f.clock.Now()
		l := leader.manager.replica(shard).leaderState
		l.addMember(fresh.self.ID)
		for !l.log.group.Contains(fresh.self.ID) && f.clock.Step() {
		}
		bytes += float64(f.bytes[peer.ClassData])
		micros += float64(f.clock.Now().Sub(start).Microseconds())
	}
	b.ReportMetric(bytes/float64(b.N), "bytes/refill")
	b.ReportMetric(micros/float64(b.N), "virtual-us/refill")
}

// fleetOf returns daemons in the zones of four regions.
func fleetOf(count int) []structs.Daemon {
	var daemons []structs.Daemon
	for i := range count {
		daemons = append(daemons, structs.Daemon{
			ID:     structs.NewDaemonID(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), uint64(i)),
			Region: structs.RegionName(fmt.Sprintf("region-%d", i%4)),
			Zone:   structs.ZoneName(fmt.Sprintf("zone-%d", i%9)),
		})
	}
	return daemons
}

// BenchmarkPlace chooses the group of a shard in a fleet of the largest size.
func BenchmarkPlace(b *testing.B) {
	daemons := fleetOf(400)
	for b.Loop() {
		chooseGroup(7, daemons, 3)
	}
}

func TestPlaceTakesTheHighestClaimAmongTheBestPlaced(t *testing.T) {
	daemons := fleetOf(40)
	for shard := range structs.ShardNumber(50) {
		var chosen []structs.Daemon
		for range 3 {
			best := structs.Daemon{}
			for _, daemon := range ranked(shard, daemons) {
				if slices.Contains(chosen, daemon) {
					continue
				}
				if best.ID == "" || placementPenalty(&daemon, chosen) < placementPenalty(&best, chosen) {
					best = daemon
				}
			}
			chosen = append(chosen, best)
		}
		if diff := cmp.Diff(chosen, chooseGroup(shard, daemons, 3)); diff != "" {
			t.Fatalf("shard %d:\n%s", shard, diff)
		}
	}
}
