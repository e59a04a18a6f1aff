package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// discoveredShare is the part of the daemons on record that a daemon must have
	// discovered to stop waiting early: some of them may be gone for good.
	discoveredShare = 0.8
	// discoveryQuietPeriod is how long no further daemon must have been discovered then:
	// several one-way delays between zones.
	discoveryQuietPeriod = 60 * time.Millisecond
	// discoveryPollInterval is the interval between checks of the number discovered.
	discoveryPollInterval = 10 * time.Millisecond
)

// discoverHolders waits until the daemon knows the holders of all shards, or had time to
// discover the other daemons. Otherwise it would take all shards.
func (s *Service) discoverHolders(ctx context.Context) {
	started := time.Now()
	reading, cancel := context.WithTimeout(ctx, s.DiscoveryTimeout)
	defer cancel()
	go s.readHolders(reading)
	count, countChangedAt := 0, started
	for time.Since(started) < s.DiscoveryTimeout && ctx.Err() == nil && !s.known.isComplete() {
		if members := len(s.View.Members()); members != count {
			count, countChangedAt = members, time.Now()
		}
		if s.hasDiscoveredMost(count) && time.Since(countChangedAt) >= discoveryQuietPeriod {
			break
		}
		clock.Sleep(ctx, min(discoveryPollInterval, s.DiscoveryTimeout-time.Since(started)))
	}
	s.Logger.Info().Int("members", count).Bool("holders_known", s.known.isComplete()).
		Dur("took", time.Since(started)).Msg("Discovery of the other daemons finished.")
	close(s.discovered)
}

// readHolders reads the holders of all shards from the directory.
func (s *Service) readHolders(ctx context.Context) {
	records, _, err := s.records.newest(store.WithPurpose(ctx, store.PurposeDirectory), s.Directory, func() {})
	if err != nil {
		s.Logger.Info().Err(err).Msg("Directory not read. The other daemons are asked for the holders.")
		return
	}
	for shard := range s.holders {
		s.known.note(shard, latestHolder(strconv.Itoa(shard), records))
	}
}

// hasDiscoveredMost reports whether most daemons on record were discovered.
func (s *Service) hasDiscoveredMost(count int) bool {
	if s.ExpectedDaemons == nil {
		return false
	}
	expected := s.ExpectedDaemons()
	return expected > 0 && float64(count) >= discoveredShare*float64(expected)
}

// Discovered returns a channel that is closed once the daemon had time to discover the others.
func (s *Service) Discovered() <-chan struct{} { return s.discovered }

// DiscoveryDone reports whether the daemon had time to discover the others.
func (s *Service) DiscoveryDone() bool { return isClosed(s.discovered) }
