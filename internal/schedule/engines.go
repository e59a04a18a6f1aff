package schedule

import (
	"cmp"
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// UpdateEngine adds or updates an engine.
func (s *Scheduler) UpdateEngine(engine structs.Engine) {
	s.withLock(func() {
		view := s.engines[engine.ID]
		if view == nil {
			view = newEngineView(s.profile.BatchFraction)
			s.engines[engine.ID] = view
			view.Engine = engine
			view.cache = s.index.engine(engine.ID)
			s.insertOrdered(view)
		}
		view.Engine = engine
		s.fill(view, s.clock.Now())
	})
}

func (s *Scheduler) insertOrdered(view *EngineView) {
	position, _ := slices.BinarySearchFunc(s.sortedEngines, view.Engine.ID, func(v *EngineView, id structs.EngineID) int {
		return cmp.Compare(v.Engine.ID, id)
	})
	s.sortedEngines = slices.Insert(s.sortedEngines, position, view)
}

// RemoveEngine removes an engine that has left the fleet.
func (s *Scheduler) RemoveEngine(id structs.EngineID) {
	s.withLock(func() {
		view := s.engines[id]
		if view == nil {
			return
		}
		delete(s.engines, id)
		s.sortedEngines = slices.DeleteFunc(s.sortedEngines, func(v *EngineView) bool { return v == view })
		s.index.removeEngine(id)
		s.releaseWaiters(view)
	})
}

// releaseWaiters lets calls that waited for an engine go to others.
func (s *Scheduler) releaseWaiters(view *EngineView) {
	for waiting := view.waiters.first(1); len(waiting) > 0; waiting = view.waiters.first(1) {
		s.clearPreferred(waiting[0])
	}
}

// UpdateLoad applies an engine's latest load report. A restarted engine has an
// empty cache.
func (s *Scheduler) UpdateLoad(report structs.LoadReport) {
	s.withLock(func() {
		view := s.engines[report.Engine]
		if view == nil {
			return
		}
		restarted := view.Load.StartedUnixNano != 0 && view.Load.StartedUnixNano != report.StartedUnixNano
		if restarted {
			s.index.removeEngine(report.Engine)
			view.cache = s.index.engine(report.Engine)
		}
		now := s.clock.Now()
		view.report(report, now)
		s.setCacheCapacity(report)
		s.fill(view, now)
	})
}
