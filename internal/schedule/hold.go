package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// setCacheCapacity sets the capacity of the mirror of an engine's cache.
func (s *Scheduler) setCacheCapacity(report structs.LoadReport) {
	if report.CacheCapacityTokens <= 0 {
		return
	}
	if e := s.index.engine(report.Engine); e != nil {
		e.capacity = int(report.CacheCapacityTokens / prefix.BlockTokens)
	}
}

// decideHold decides whether an engine should hold a call's cache over the
// pause that follows, and for how long. The price of memory is the value of a
// token-second to other calls: at a churn of c tokens per second the cache
// turns over in capacity/c seconds, and a token that stays that long saves
// about one token of prefill work.
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
	// freeMemoryFraction is the fraction of the cache up to which memory use
	// does not cost latency.
	freeMemoryFraction = 0.6
	// latencyPriceFraction is the fraction of the price that applies when
	// operators favour latency: it pays to hold nearly all caches and let new
	// programs wait.
	latencyPriceFraction = 0.1
)

// memoryPrice returns the value of holding a token for a second, relative to
// the work of computing it. For latency it is zero while memory is free; with a
// cache weight, idle memory has a price too.
func (s *Scheduler) memoryPrice(view *EngineView, now time.Time) float64 {
	capacity := float64(view.Load.CacheCapacityTokens)
	if capacity == 0 {
		return 0
	}
	occupied := float64(view.AssignedTokens+view.HeldTokens) / capacity
	pressure := min(max(occupied-freeMemoryFraction, 0)/(1-freeMemoryFraction), 1)
	return view.churn.current(now) / capacity * ((1-s.cacheWeight)*latencyPriceFraction*pressure + s.cacheWeight)
}
