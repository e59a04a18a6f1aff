package ledger

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/storecapacity"
)

const (
	// planInterval is how long a plan counts: at three times the usual load of the busiest
	// deployment measured, a four-hundredth of the store is kept meanwhile.
	planInterval = 100 * time.Millisecond
	// notableShare is the part of the store's bound from which on daemons pass reports on, some
	// 0.5 KB with each turn that begins: below it nothing is decided by them.
	notableShare = 0.1
	// learnedShare is the part of what was kept when the store was found full that counts as
	// its bound for learnedLife, if that is lower than the one in the settings. By then what
	// was kept is dropped, and history that could not be trimmed has been.
	learnedShare = 0.98
	learnedLife  = time.Minute
)

// capacitySteps are the parts of the store's bound of which a line tells that they were passed.
var capacitySteps = []float64{0.5, 0.75, 0.9, 1}

// storeCapacity is what a daemon knows of the room in the store, by the reports of shards that it
// holds or asked for. It is safe for concurrent use.
type storeCapacity struct {
	estimate *storecapacity.Estimate
	shards   int
	logger   zerolog.Logger
	metrics  *Metrics

	mutex sync.Mutex
	// bound is the most that the store keeps, in bytes, by the settings; 0 if that is not
	// known. learned is what was kept when it was last found full, at learnedAt.
	bound     float64
	learned   float64
	learnedAt time.Time
	// current is the latest plan, made at plannedAt.
	current   storecapacity.Plan
	plannedAt time.Time
	// isNotable: so much is kept that daemons pass reports on.
	isNotable bool
	// step is how many of capacitySteps are passed.
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

// note takes the report of a shard.
func (s *storeCapacity) note(shard int, kept storecapacity.Profile, now time.Time) {
	s.estimate.Note(shard, kept, now)
}

// tell returns the report of a shard that this daemon holds, and once much is kept those of some
// others; nothing where no bound is known.
func (s *storeCapacity) tell(shard int, now time.Time) []storecapacity.Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.bound <= 0 {
		return nil
	}
	return s.estimate.Reports(shard, s.isNotable, now)
}

// plan returns what the store can still take.
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
	s.isNotable = float64(kept.Bytes()) >= notableShare*bound
	s.metrics.planned(kept, bound, s.current)
	s.tellStep(kept, bound)
	if s.current.IsCrowded != wasCrowded {
		s.logger.Info().Bool("crowded", s.current.IsCrowded).Int64("bytes", kept.Bytes()).Float64("bound", bound).
			Int64("rate", kept.Rate).Float64("floor", s.current.BaseRate).Float64("pace", s.current.Rate).
			Msg("Whether programs are held back for want of room in the store has changed.")
	}
	return s.current
}

// boundAt returns the bound that counts at a time. The mutex must be held.
func (s *storeCapacity) boundAt(now time.Time) float64 {
	if s.learned > 0 && now.Sub(s.learnedAt) < learnedLife {
		return min(s.learned, s.bound)
	}
	return s.bound
}

// tellStep logs that a step of the store's bound was passed, in either direction.
func (s *storeCapacity) tellStep(kept storecapacity.Profile, bound float64) {
	step := 0
	for step < len(capacitySteps) && float64(kept.Bytes()) >= capacitySteps[step]*bound {
		step++
	}
	if step == s.step {
		return
	}
	s.logger.Info().Int("step", step).Int("before", s.step).Int64("bytes", kept.Bytes()).Float64("bound", bound).
		Int64("rate", kept.Rate).Dur("full_in", kept.TimeToFull(bound)).Msg("The store has passed a step of its bound.")
	s.step = step
}

// foundFull takes note that the store refused an append as full: if less is kept than its bound,
// something else fills it, or the bound is lower.
func (s *storeCapacity) foundFull(now time.Time) {
	kept, known := s.estimate.Sum(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	learned, bound := learnedShare*float64(kept.Bytes()), s.boundAt(now)
	if !known || bound <= 0 || learned <= 0 || learned >= bound {
		return
	}
	s.logger.Warn().Int64("bytes", kept.Bytes()).Float64("bound", bound).Float64("learned", learned).
		Msg("The store is full below its bound. What was kept counts as the bound for a while.")
	s.learned, s.learnedAt = learned, now
}
