package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// settledShare is the part of the daemons on record that must have been heard
	// of for a daemon to settle early: some of them may be gone for good.
	settledShare = 0.8
	// settledQuiet is how long no further daemon must have been heard of then: several
	// one-way delays between zones.
	settledQuiet = 60 * time.Millisecond
	// settledLook separates looks at that.
	settledLook = 10 * time.Millisecond
)

// settle waits until the daemon knows who holds the shards, or had time to hear of
// the others: it would take all shards.
func (s *Service) settle(ctx context.Context) {
	started := time.Now()
	reading, cancel := context.WithTimeout(ctx, s.DiscoveryTimeout)
	defer cancel()
	go s.readHolders(reading)
	heard, heardAt := 0, started
	for time.Since(started) < s.DiscoveryTimeout && ctx.Err() == nil && !s.known.isComplete() {
		if members := len(s.View.Members()); members != heard {
			heard, heardAt = members, time.Now()
		}
		if s.hasHeardMost(heard) && time.Since(heardAt) >= settledQuiet {
			break
		}
		clock.Sleep(ctx, min(settledLook, s.DiscoveryTimeout-time.Since(started)))
	}
	s.Logger.Info().Int("members", heard).Bool("holders_known", s.known.isComplete()).
		Dur("took", time.Since(started)).Msg("Settled.")
	close(s.settled)
}

// readHolders reads who holds the shards by the directory.
func (s *Service) readHolders(ctx context.Context) {
	records, _, err := s.records.newest(store.WithPurpose(ctx, store.PurposeDirectory), s.Directory, func() {})
	if err != nil {
		s.Logger.Info().Err(err).Msg("Directory not read. Holders are asked for.")
		return
	}
	for shard := range s.holders {
		s.known.note(shard, holderUnder(strconv.Itoa(shard), records))
	}
}

// hasHeardMost tells whether most daemons on record were heard of.
func (s *Service) hasHeardMost(heard int) bool {
	if s.ExpectedDaemons == nil {
		return false
	}
	expected := s.ExpectedDaemons()
	return expected > 0 && float64(heard) >= settledShare*float64(expected)
}

// DiscoveryDone tells whether the daemon had time to hear of the others.
func (s *Service) DiscoveryDone() bool { return isClosed(s.settled) }
