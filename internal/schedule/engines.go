package schedule

import (
	"cmp"
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// UpdateEngine adds or changes an engine.
func (s *Scheduler) UpdateEngine(engine structs.Engine) {
	s.locked(func() {
		view := s.engines[engine.ID]
		if view == nil {
			view = newEngineView(s.profile.BatchFraction)
			s.engines[engine.ID] = view
			view.Engine = engine
			view.residences = s.index.engine(engine.ID)
			s.insertOrdered(view)
		}
		view.Engine = engine
		s.fill(view, s.clock.Now())
	})
}

func (s *Scheduler) insertOrdered(view *EngineView) {
	position, _ := slices.BinarySearchFunc(s.order, view.Engine.ID, func(v *EngineView, id structs.EngineID) int {
		return cmp.Compare(v.Engine.ID, id)
	})
	s.order = slices.Insert(s.order, position, view)
}

// RemoveEngine forgets an engine that has left the fleet.
func (s *Scheduler) RemoveEngine(id structs.EngineID) {
	s.locked(func() {
		view := s.engines[id]
		if view == nil {
			return
		}
		delete(s.engines, id)
		s.order = slices.DeleteFunc(s.order, func(v *EngineView) bool { return v == view })
		s.index.forget(id)
		s.releaseWaiters(view)
	})
}

// releaseWaiters lets calls that waited for an engine go elsewhere.
func (s *Scheduler) releaseWaiters(view *EngineView) {
	for waiting := view.home.first(1); len(waiting) > 0; waiting = view.home.first(1) {
		s.leaveHome(waiting[0])
	}
}

// UpdateLoad takes an engine's latest report. A new run of the engine has an
// empty cache.
func (s *Scheduler) UpdateLoad(report structs.LoadReport) {
	s.locked(func() {
		view := s.engines[report.Engine]
		if view == nil {
			return
		}
		restarted := view.Load.StartedUnixNano != 0 && view.Load.StartedUnixNano != report.StartedUnixNano
		if restarted {
			s.index.forget(report.Engine)
			view.residences = s.index.engine(report.Engine)
		}
		now := s.clock.Now()
		view.report(report, now)
		s.boundBelief(report)
		s.fill(view, now)
	})
}
