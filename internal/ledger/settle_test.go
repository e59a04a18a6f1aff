package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
)

// settledAfter returns how long a daemon that starts takes to settle beside
// three others, by how many daemons are on record.
func settledAfter(t *testing.T, expected func() int) time.Duration {
	t.Helper()
	f := newTestFleet(t, 3)
	s := NewService(Options{
		Self: daemonID(9, 1), Store: f.store, Transport: &testTransport{fleet: f, self: daemonID(9, 1)}, View: f,
		Partitions: []store.Partition{{Space: "ledger"}}, Directory: store.Partition{Space: "holders"},
		DiscoveryTimeout: DefaultDiscoveryTimeout, ExpectedDaemons: expected,
		Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	started := time.Now()
	go s.Run(t.Context())
	<-s.settled
	return time.Since(started)
}

func TestDaemonThatHeardOfMostOthersSettlesEarly(t *testing.T) {
	for _, c := range []struct {
		name     string
		expected func() int
		want     time.Duration
	}{
		{"all of those on record were heard of", func() int { return 3 }, settledQuiet + settledLook},
		{"half of those on record were heard of", func() int { return 6 }, DefaultDiscoveryTimeout},
		{"the record could not be read", func() int { return 0 }, DefaultDiscoveryTimeout},
		{"there is no record", nil, DefaultDiscoveryTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := settledAfter(t, c.expected); got > c.want || got < min(c.want, settledQuiet) {
					t.Errorf("settled after %s, want %s", got, c.want)
				}
			})
		})
	}
}
