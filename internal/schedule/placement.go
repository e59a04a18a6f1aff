package schedule

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// betterBy is how much sooner, in parts of the time on the free engine, a busy
// engine must be expected to finish a call for the call to wait for it.
const maximumWaitRatio = 0.9

// placeArrival gives an arrival an engine if one has room and nobody who waits
// has a better claim to it.
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

// fill gives an engine's room to waiting calls.
func (s *Scheduler) fill(view *EngineView, now time.Time) {
	for len(s.waiting) > 0 {
		entry, miss, reason := s.nextCall(view, now)
		if entry == nil {
			return
		}
		s.assign(entry, view, miss, reason, now)
	}
}

// next picks the call that should get an engine's room: of the first in the
// queue and the first that wait for this engine, the one whose due time with
// the cost of running here comes first.
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

// refreshPenalties brings the penalties of the first tenants up to date.
func (s *Scheduler) refreshPenalties(queue *class) {
	if !s.fairness.enabled {
		return
	}
	queue.order.Ascend(func(tenant *tenantQueue) bool {
		tenant.tenant.penalty = s.fairness.penaltyOf(tenant.tenant)
		return true
	})
}

// prefersHome tells whether a call is expected to be done sooner by waiting on
// for the engine it waits for than by running here.
func (s *Scheduler) shouldWaitForPreferred(entry *waitingItem, view *EngineView, scoreHere float64, now time.Time) bool {
	home := entry.preferred
	if home == nil || home == view || !s.profile.WaitForBetterEngine {
		return false
	}
	c := &s.preferredCandidate
	s.setCandidate(c, entry, home, now)
	if !home.Serves(entry.Model) || !s.admits(c) {
		s.clearPreferred(entry)
		return false
	}
	return s.score(c) < maximumWaitRatio*scoreHere
}

// place gives a call an engine.
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

// Priorities that engines know.
const (
	lowestPriority  = 0
	highestPriority = 9
)

// enginePriority turns a program's priority into one for the engine's queue: a
// program under way goes before a new one of the same priority.
func enginePriority(entry *waitingItem) int {
	priority := entry.Priority
	if !isFirstCall(entry) {
		priority++
	}
	return min(max(priority, lowestPriority), highestPriority)
}

// explain returns the scores of the chosen engine and, if the call waited for
// another, the total of that one.
func (s *Scheduler) explain(entry *waitingItem, chosen *EngineView, now time.Time) []structs.CandidateScore {
	s.index.setPrompt(entry.Blocks)
	scores := make([]structs.CandidateScore, 0, len(s.plugins.scorers)+1)
	c := &s.candidate
	s.setCandidate(c, entry, chosen, now)
	for _, scorer := range s.plugins.scorers {
		scores = append(scores, structs.CandidateScore{Engine: chosen.Engine.ID, Scorer: scorer.Name, Score: scorer.Score(c)})
	}
	if home := entry.preferred; home != nil && home != chosen {
		s.setCandidate(c, entry, home, now)
		scores = append(scores, structs.CandidateScore{Engine: home.Engine.ID, Scorer: "total", Score: s.score(c)})
	}
	return scores
}
