package ledger

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/storecapacity"
)

const (
	// planInterval is how long a plan is reused. It is short enough that little is written
	// meanwhile: a four-hundredth of the store under three times the usual load.
	planInterval = 100 * time.Millisecond
	// reportSharingThreshold is the fill level of the store from which on daemons pass on reports,
	// about 0.5 KB with each turn that begins. Below it they do not matter.
	reportSharingThreshold = 0.1
	// learnedShare is the part of the usage at the time when the store was found full that
	// is used as its bound for learnedBoundTTL, if it is lower than the configured one. By
	// then that content has expired, and history that could not be trimmed has been
	// trimmed.
	learnedShare    = 0.98
	learnedBoundTTL = time.Minute
)

// fillThresholds are the fill levels of the store that are logged when crossed.
var fillThresholds = []float64{0.5, 0.75, 0.9, 1}

// storeCapacity estimates the space in the store from the reports of shards that this
// daemon holds or sent requests to. It is safe for concurrent use.
type storeCapacity struct {
	estimate *storecapacity.Estimate
	shards   int
	logger   zerolog.Logger
	metrics  *Metrics

	mutex sync.Mutex
	// bound is the configured maximum of bytes in the store; 0 if it is not known. learned
	// is derived from the usage when the store was last found full, at learnedAt.
	bound     float64
	learned   float64
	learnedAt time.Time
	// current is the latest plan, made at plannedAt.
	current   storecapacity.Plan
	plannedAt time.Time
	// passesReports: the store is so full that daemons pass on reports.
	passesReports bool
	// step is how many of fillThresholds are reached.
	step int
}

func newStoreCapacity(options Options) *storeCapacity {
	return &storeCapacity{
		estimate: storecapacity.NewEstimate(len(options.Partitions)),
		shards:   len(options.Partitions),
		bound:    options.StoreBytes,
		logger:   options.Logger,
		metrics:  options.Metrics,
	}
}

// note records the report of a shard.
func (s *storeCapacity) note(shard int, kept storecapacity.Profile, now time.Time) {
	s.estimate.Note(shard, kept, now)
}

// reports returns the report of a shard that this daemon holds, and at a high fill level
// those of some others; nothing if the bound is not known.
func (s *storeCapacity) reports(shard int, now time.Time) []storecapacity.Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.bound <= 0 {
		return nil
	}
	return s.estimate.Reports(shard, s.passesReports, now)
}

// plan returns how much the store can still take.
func (s *storeCapacity) plan(now time.Time) storecapacity.Plan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.bound <= 0 || now.Sub(s.plannedAt) < planInterval {
		return s.current
	}
	s.plannedAt = now
	kept, known := s.estimate.Sum(now)
	if !known {
		s.current = storecapacity.Plan{}
		return s.current
	}
	bound := s.boundAt(now)
	wasCrowded := s.current.IsCrowded
	s.current = storecapacity.PlanFor(kept, bound)
	s.passesReports = float64(kept.Bytes()) >= reportSharingThreshold*bound
	s.metrics.updateStoreFill(kept, bound, s.current)
	s.logStep(kept, bound)
	if s.current.IsCrowded != wasCrowded {
		s.logger.Info().Bool("crowded", s.current.IsCrowded).Int64("bytes", kept.Bytes()).Float64("bound", bound).
			Int64("rate", kept.Rate).Float64("floor", s.current.BaseRate).Float64("pace", s.current.Rate).
			Msg("Admission of programs by the space in the store has changed.")
	}
	return s.current
}

// boundAt returns the bound in effect at a time. The mutex must be held.
func (s *storeCapacity) boundAt(now time.Time) float64 {
	if s.learned > 0 && now.Sub(s.learnedAt) < learnedBoundTTL {
		return min(s.learned, s.bound)
	}
	return s.bound
}

// logStep logs that the fill level crossed one of fillThresholds, in either direction.
func (s *storeCapacity) logStep(kept storecapacity.Profile, bound float64) {
	step := 0
	for step < len(fillThresholds) && float64(kept.Bytes()) >= fillThresholds[step]*bound {
		step++
	}
	if step == s.step {
		return
	}
	s.logger.Info().Int("step", step).Int("before", s.step).Int64("bytes", kept.Bytes()).Float64("bound", bound).
		Int64("rate", kept.Rate).Dur("full_in", kept.TimeToFull(bound)).Msg("The fill level of the store has crossed a threshold.")
	s.step = step
}

// noteStoreFull records that the store refused an append as full. If the estimated usage is
// below the bound, something else fills the store, or the bound is lower than configured.
func (s *storeCapacity) noteStoreFull(now time.Time) {
	kept, known := s.estimate.Sum(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	learned, bound := learnedShare*float64(kept.Bytes()), s.boundAt(now)
	if !known || bound <= 0 || learned <= 0 || learned >= bound {
		return
	}
	s.logger.Warn().Int64("bytes", kept.Bytes()).Float64("bound", bound).Float64("learned", learned).
		Msg("The store is full below its bound. The estimated usage is used as the bound for a while.")
	s.learned, s.learnedAt = learned, now
}
