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
	// convergenceChanges is how many changes are timed.
	convergenceChanges = 50
	// convergencePause is 86,400 s over the letter's 2,900 changes a day.
	convergencePause = 30 * time.Second
)

// BenchmarkConvergence times changes from their place in the log to the last
// daemon, in virtual seconds, and counts the bytes of the exchange. One daemon
// hears each heartbeat; the network breaks one connection in fifty messages.
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
	w := newWorld(b, daemons, configuration.Guards{})
	w.neighbours = 1
	w.network.Settings.BreakChance = 0.02
	bytes := 0
	w.network.OnSend = func(_, _ structs.DaemonID, _ peer.Class, _ peer.Kind, size int) { bytes += size }
	w.append("first", 0, 0)
	w.run(30 * time.Second)
	bytes = 0
	began := w.clock.Now()
	var delays []float64
	for change := 1; change <= convergenceChanges; change++ {
		w.append(fmt.Sprintf("change-%d", change), change, change)
		delays = append(delays, w.untilRevision(structs.Revision(change+1)).Seconds())
		w.run(convergencePause)
	}
	slices.Sort(delays)
	b.ReportMetric(delays[len(delays)/2], "p50-virtual-s")
	b.ReportMetric(delays[len(delays)-1], "max-virtual-s")
	b.ReportMetric(float64(bytes)/float64(daemons)/w.clock.Now().Sub(began).Seconds(), "bytes/daemon/s")
}

// untilRevision runs until all daemons have a revision.
func (w *world) untilRevision(revision structs.Revision) time.Duration {
	began := w.clock.Now()
	for _, d := range w.daemons {
		for d.store.Revision() < revision {
			w.run(10 * time.Millisecond)
		}
	}
	return w.clock.Now().Sub(began)
}

// BenchmarkStart times a fresh daemon at the letter's size, in virtual seconds
// until it serves, and counts what it reads of the log or gets from peers.
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
	w := newWorld(b, 3, configuration.Guards{})
	w.append("first", 0, 0)
	for i := range 3 {
		w.appendTenants(fmt.Sprintf("tenants-%d", i), 1+i, 700*i, 700)
	}
	for base := 4; base < 3000; base++ {
		w.append(fmt.Sprintf("change-%d", base), base, base)
	}
	w.run(2 * time.Minute)
	w.log.Down = logDown
	fromPeers := 0
	w.network.OnSend = func(_, to structs.DaemonID, _ peer.Class, _ peer.Kind, size int) {
		if to.Address() == w.daemons[1].id.Address() {
			fromPeers += size
		}
	}
	began := w.clock.Now()
	fresh := w.start(1, configuration.Guards{})
	for !fresh.store.Serving() {
		w.run(10 * time.Millisecond)
	}
	b.ReportMetric(w.clock.Now().Sub(began).Seconds(), "virtual-s")
	b.ReportMetric(float64(fromPeers), "peer-bytes")
	b.ReportMetric(float64(fresh.entriesRead["configuration"]), "log-entries")
	b.ReportMetric(float64(fresh.bytesRead), "log-bytes")
}
