package schedule

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumWaitRatio is the greatest ratio of the expected time on a busy engine
// to that on a free one at which a call waits for the busy engine.
const maximumWaitRatio = 0.9

// assignArrival assigns an arriving call to the best engine with room, or
// queues it for a busy engine that is expected to finish it sooner.
func (s *Scheduler) assignArrival(entry *waitingItem, now time.Time) {
	best := s.choose(entry, now)
	if best.any == nil {
		return
	}
	if best.free == nil || (s.profile.WaitForBetterEngine && best.any != best.free && best.anyScore < maximumWaitRatio*best.freeScore) {
		s.setPreferred(entry, best.any)
		return
	}
	s.assign(entry, best.free, best.freeMiss, "free engine with the least expected time", now)
}

// fill assigns waiting calls to an engine while it has room.
func (s *Scheduler) fill(view *EngineView, now time.Time) {
	for len(s.waiting) > 0 {
		entry, miss, reason := s.nextCall(view, now)
		if entry == nil {
			return
		}
		s.assign(entry, view, miss, reason, now)
	}
}

// nextCall picks the call to assign to an engine with room: among the first in
// the queue and the first that wait for this engine, the one with the least sum
// of due time and score on this engine.
func (s *Scheduler) nextCall(view *EngineView, now time.Time) (*waitingItem, int64, string) {
	var best *waitingItem
	var bestValue float64
	var bestMiss int64
	reason := ""
	consider := func(entry *waitingItem, due float64, why string) {
		s.index.setPrompt(entry.Blocks)
		c := &s.candidate
		s.setCandidate(c, entry, view, now)
		if !c.HasRoom || !s.admits(c) {
			return
		}
		score := s.score(c)
		if s.shouldWaitForPreferred(entry, view, score, now) {
			return
		}
		if value := due + score; best == nil || value < bestValue {
			best, bestValue, bestMiss, reason = entry, value, c.MissTokens(), why
		}
	}
	for _, entry := range view.waiters.first(max(s.profile.LookAhead, 1)) {
		if !view.Serves(entry.Model) {
			continue
		}
		consider(entry, entry.due+s.fairness.penaltyOf(entry.account), "waited for this engine")
	}
	for _, queue := range s.sortedClasses {
		if !view.Serves(queue.key.model) {
			continue
		}
		s.refreshPenalties(queue)
		queue.first(max(s.profile.LookAhead, 1), func(entry *waitingItem, due float64) bool {
			if entry.preferred != view && !(s.profile.StrictAffinity && entry.preferred != nil) {
				consider(entry, due, "next in the queue")
			}
			return true
		})
	}
	return best, bestMiss, reason
}

// refreshPenalties updates the penalties of a class's tenants.
func (s *Scheduler) refreshPenalties(queue *class) {
	if !s.fairness.enabled {
		return
	}
	queue.order.Ascend(func(tenant *tenantQueue) bool {
		tenant.tenant.penalty = s.fairness.penaltyOf(tenant.tenant)
		return true
	})
}

// shouldWaitForPreferred reports whether a call is expected to finish sooner by
// waiting for its preferred engine than by running on this one.
func (s *Scheduler) shouldWaitForPreferred(entry *waitingItem, view *EngineView, scoreHere float64, now time.Time) bool {
	preferred := entry.preferred
	if preferred == nil || preferred == view || !s.profile.WaitForBetterEngine {
		return false
	}
	c := &s.preferredCandidate
	s.setCandidate(c, entry, preferred, now)
	if !preferred.Serves(entry.Model) || !s.admits(c) {
		s.clearPreferred(entry)
		return false
	}
	return s.score(c) < maximumWaitRatio*scoreHere
}

// assign assigns a call to an engine.
func (s *Scheduler) assign(entry *waitingItem, view *EngineView, missTokens int64, reason string, now time.Time) {
	s.removeEntry(entry)
	record := &runningCall{engine: view, tokens: entry.neededTokens, outlook: entry.outlook}
	s.running[entry.Item] = record
	scores := s.explain(entry, view, now)
	transfer := s.transferTo(entry, view, s.hitTokens(entry, view))
	s.dropHold(s.estimates.programs[entry.Key])
	view.assign(record, missTokens, now)
	s.dequeueRate.rate.add(1, now)
	s.charge(entry, view, missTokens)
	if view.cache != nil {
		chain := make([]*cachedBlock, 0, len(entry.Blocks))
		record.cachedBlocks = s.index.store(view.cache, entry.Blocks, now, chain)
	}
	hold, holdFor := s.decideHold(entry, view, now)
	if hold {
		record.holdFor = holdFor
	}
	assignment := Assignment{
		Item:           entry.Item,
		Engine:         view.Engine.ID,
		EngineRun:      view.Load.StartedUnixNano,
		Scores:         scores,
		Reason:         fmt.Sprintf("%s; %d of %d prompt tokens to compute%s", reason, missTokens, entry.PromptTokens, transfer),
		Hold:           hold,
		HoldFor:        holdFor,
		Discard:        s.profile.ManageHolds && !hold,
		EnginePriority: enginePriority(entry),
		Transfer:       transfer,
	}
	s.pendingCallbacks = append(s.pendingCallbacks, func() { entry.Assign(assignment) })
}

// Range of priorities in engines' queues.
const (
	lowestPriority  = 0
	highestPriority = 9
)

// enginePriority maps a program's priority to the engine's queue. A program in
// progress precedes a new one of the same priority.
func enginePriority(entry *waitingItem) int {
	priority := entry.Priority
	if !isFirstCall(entry) {
		priority++
	}
	return min(max(priority, lowestPriority), highestPriority)
}

// explain returns the chosen engine's scores and, if the call preferred another
// engine, the total score of that one.
func (s *Scheduler) explain(entry *waitingItem, chosen *EngineView, now time.Time) []structs.CandidateScore {
	s.index.setPrompt(entry.Blocks)
	scores := make([]structs.CandidateScore, 0, len(s.plugins.scorers)+1)
	c := &s.candidate
	s.setCandidate(c, entry, chosen, now)
	for _, scorer := range s.plugins.scorers {
		scores = append(scores, structs.CandidateScore{Engine: chosen.Engine.ID, Scorer: scorer.Name, Score: scorer.Score(c)})
	}
	if preferred := entry.preferred; preferred != nil && preferred != chosen {
		s.setCandidate(c, entry, preferred, now)
		scores = append(scores, structs.CandidateScore{Engine: preferred.Engine.ID, Scorer: "total", Score: s.score(c)})
	}
	return scores
}
