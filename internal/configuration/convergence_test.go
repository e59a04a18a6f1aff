package configuration_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// convergenceChanges is the number of measured changes.
	convergenceChanges = 50
	// convergencePause is the mean time between changes at 2,900 changes a day.
	convergencePause = 30 * time.Second
)

// BenchmarkConvergence measures the virtual time from the append of a change
// until the last daemon has folded it, and the bytes sent between daemons. Each
// heartbeat reaches one daemon; 2% of messages break their connection.
func BenchmarkConvergence(b *testing.B) {
	for _, daemons := range []int{3, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureConvergence(b, daemons)
			}
		})
	}
}

func measureConvergence(b *testing.B, daemons int) {
	f := newFleet(b, daemons, configuration.Guards{})
	f.neighbours = 1
	f.network.Settings.BreakChance = 0.02
	bytes := 0
	f.network.OnSend = func(_, _ structs.DaemonID, _ peer.Class, _ peer.Kind, size int) { bytes += size }
	f.append("first", 0, 0)
	f.run(30 * time.Second)
	bytes = 0
	began := f.clock.Now()
	var delays []float64
	for change := 1; change <= convergenceChanges; change++ {
		f.append(fmt.Sprintf("change-%d", change), change, change)
		delays = append(delays, f.runUntilRevision(structs.Revision(change+1)).Seconds())
		f.run(convergencePause)
	}
	slices.Sort(delays)
	b.ReportMetric(delays[len(delays)/2], "p50-virtual-s")
	b.ReportMetric(delays[len(delays)-1], "max-virtual-s")
	b.ReportMetric(float64(bytes)/float64(daemons)/f.clock.Now().Sub(began).Seconds(), "bytes/daemon/s")
}

// runUntilRevision runs until all daemons have reached a revision, and returns
// the virtual time that it took.
func (f *fleet) runUntilRevision(revision structs.Revision) time.Duration {
	began := f.clock.Now()
	for _, d := range f.daemons {
		for d.store.Revision() < revision {
			f.run(10 * time.Millisecond)
		}
	}
	return f.clock.Now().Sub(began)
}

// BenchmarkStart measures the virtual time until a starting daemon serves a
// production-size configuration, and what it reads from the log and from peers.
func BenchmarkStart(b *testing.B) {
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprintf("log-down=%t", down), func(b *testing.B) {
			for b.Loop() {
				measureStart(b, down)
			}
		})
	}
}

func measureStart(b *testing.B, logDown bool) {
	f := newFleet(b, 3, configuration.Guards{})
	f.append("first", 0, 0)
	for i := range 3 {
		f.appendTenants(fmt.Sprintf("tenants-%d", i), 1+i, 700*i, 700)
	}
	for base := 4; base < 3000; base++ {
		f.append(fmt.Sprintf("change-%d", base), base, base)
	}
	f.run(2 * time.Minute)
	f.log.Down = logDown
	fromPeers := 0
	f.network.OnSend = func(_, to structs.DaemonID, _ peer.Class, _ peer.Kind, size int) {
		if to.Address() == f.daemons[1].id.Address() {
			fromPeers += size
		}
	}
	began := f.clock.Now()
	fresh := f.start(1, configuration.Guards{})
	for !fresh.store.Serving() {
		f.run(10 * time.Millisecond)
	}
	b.ReportMetric(f.clock.Now().Sub(began).Seconds(), "virtual-s")
	b.ReportMetric(float64(fromPeers), "peer-bytes")
	b.ReportMetric(float64(fresh.entriesRead["configuration"]), "log-entries")
	b.ReportMetric(float64(fresh.bytesRead), "log-bytes")
}
