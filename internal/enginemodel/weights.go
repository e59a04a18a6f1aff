package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

// WeightStore is a weight source that the engines of a fleet share: it serves
// loads one after the other at a fixed rate. It is not safe for concurrent
// use.
type WeightStore struct {
	clock clock.Clock
	rate  int64
	// freeAt is when the last accepted load ends.
	freeAt time.Time
	// BytesRead counts the bytes of all loads, ActiveLoads the loads in
	// progress or queued, PeakLoads their maximum.
	BytesRead   int64
	ActiveLoads int
	PeakLoads   int
}

var _ WeightSource = (*WeightStore)(nil)

// NewWeightStore returns a store with a rate in bytes per second.
func NewWeightStore(c clock.Clock, bytesPerSecond int64) *WeightStore {
	return &WeightStore{clock: c, rate: bytesPerSecond}
}

// Fetch implements WeightSource.
func (s *WeightStore) Fetch(_ string, bytes int64, done func(error)) {
	now := s.clock.Now()
	start := now
	if s.freeAt.After(now) {
		start = s.freeAt
	}
	s.freeAt = start.Add(time.Duration(float64(bytes) / float64(s.rate) * float64(time.Second)))
	s.BytesRead += bytes
	s.ActiveLoads++
	s.PeakLoads = max(s.PeakLoads, s.ActiveLoads)
	s.clock.AfterFunc(s.freeAt.Sub(now), func() {
		s.ActiveLoads--
		done(nil)
	})
}
