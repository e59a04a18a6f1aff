package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
)

// discoveryTime returns how long a daemon that starts takes to finish discovery with three
// others, given the number of daemons on record.
func discoveryTime(t *testing.T, expected func() int) time.Duration {
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
	<-s.discovered
	return time.Since(started)
}

func TestDiscoveryEndsEarlyOnceMostDaemonsAreDiscovered(t *testing.T) {
	for _, c := range []struct {
		name     string
		expected func() int
		want     time.Duration
	}{
		{"all of those on record were discovered", func() int { return 3 }, discoveryQuietPeriod + discoveryPollInterval},
		{"half of those on record were discovered", func() int { return 6 }, DefaultDiscoveryTimeout},
		{"the record could not be read", func() int { return 0 }, DefaultDiscoveryTimeout},
		{"there is no record", nil, DefaultDiscoveryTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := discoveryTime(t, c.expected); got > c.want || got < min(c.want, discoveryQuietPeriod) {
					t.Errorf("discovery took %s, want %s", got, c.want)
				}
			})
		})
	}
}
