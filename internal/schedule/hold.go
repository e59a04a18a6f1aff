package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// boundBelief sizes the mirror of an engine's cache.
func (s *Scheduler) setCacheCapacity(report structs.LoadReport) {
	if report.CacheCapacityTokens <= 0 {
		return
	}
	if e := s.index.engine(report.Engine); e != nil {
		e.capacity = int(report.CacheCapacityTokens / prefix.BlockTokens)
	}
}

// hold decides whether an engine should pin a call's cache over the pause that
// follows, and for how long. The price of memory is what a token-second of it
// is worth to others: under a churn of c tokens a second the cache turns over
// in capacity/c seconds, and a token that stays that long has saved about one
// token's prompt work.
func (s *Scheduler) decideHold(entry *waitingItem, view *EngineView, now time.Time) (bool, time.Duration) {
	if !s.profile.ManageHolds {
		return s.profile.HoldAlways, entry.HoldTime
	}
	if entry.HoldTime <= 0 {
		return false, 0
	}
	seconds, gain := s.estimates.template(entry.Template).pause.bestHold(entry.outlook.ReturnProbability, s.memoryPrice(view, now))
	if gain <= 0 {
		return false, 0
	}
	return true, min(time.Duration(seconds*float64(time.Second)), entry.HoldTime)
}

const (
	// freeMemory is the part of a cache below which memory costs latency
	// nothing.
	freeMemoryFraction = 0.6
	// latencyPrice is the part of the price that counts for latency alone: it
	// pays to keep nearly all caches and let new programs wait.
	latencyPriceFraction = 0.1
)

// memoryPrice returns the worth of holding a token for a second, in parts of
// the work of computing it. For latency it is nothing while memory is free;
// operators who weigh cache pay for idle memory in any case.
func (s *Scheduler) memoryPrice(view *EngineView, now time.Time) float64 {
	capacity := float64(view.Load.CacheCapacityTokens)
	if capacity == 0 {
		return 0
	}
	occupied := float64(view.AssignedTokens+view.HeldTokens) / capacity
	pressure := min(max(occupied-freeMemoryFraction, 0)/(1-freeMemoryFraction), 1)
	return view.churn.current(now) / capacity * ((1-s.cacheWeight)*latencyPriceFraction*pressure + s.cacheWeight)
}
