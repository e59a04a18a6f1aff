package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// choice is the best engine with room and the best engine overall for one call.
type choice struct {
	free, any           *EngineView
	freeScore, anyScore float64
	freeMiss            int64
}

// engineHit is an engine that serves a call's model, and how much of the prompt
// its cache is assumed to hold.
type engineHit struct {
	engine    *EngineView
	hitTokens int64
}

// choose scores all engines for a call and returns the best.
func (s *Scheduler) choose(entry *waitingItem, now time.Time) choice {
	s.index.setPrompt(entry.Blocks)
	s.surveyEngines(entry)
	var best choice
	c := &s.candidate
	s.setCall(c, entry, now)
	for _, candidate := range s.candidates {
		view := candidate.engine
		s.setEngine(c, entry, view, candidate.hitTokens)
		if !s.admits(c) {
			continue
		}
		score := s.score(c)
		if best.any == nil || score < best.anyScore {
			best.any, best.anyScore = view, score
		}
		if c.HasRoom && (best.free == nil || score < best.freeScore) {
			best.free, best.freeScore, best.freeMiss = view, score, c.MissTokens()
		}
	}
	return best
}

// collectCandidates collects the engines that serve a model, and returns those
// of them that the prefix index covers.
func (s *Scheduler) collectCandidates(model structs.ModelName) engineSet {
	var indexed engineSet
	s.candidates = s.candidates[:0]
	for _, view := range s.sortedEngines {
		if !view.Serves(model) {
			continue
		}
		s.candidates = append(s.candidates, engineHit{engine: view})
		if view.cache != nil {
			indexed.add(view.cache.slot)
		}
	}
	return indexed
}

// surveyEngines computes, over all engines that serve a call's model, the least
// and the mean number of calls and the longest cached part of the prompt. First
// calls are left out of the longest cached part: what they find is the prefix
// of their template, and another copy of that soon pays off.
func (s *Scheduler) surveyEngines(entry *waitingItem) {
	least, total := math.MaxInt, 0
	indexed := s.collectCandidates(entry.Model)
	s.index.hits(entry.Blocks, indexed, &s.hits)
	entry.bestHitTokens = 0
	for i := range s.candidates {
		candidate := &s.candidates[i]
		view := candidate.engine
		least = min(least, view.Occupied())
		total += view.Occupied()
		if view.cache != nil {
			candidate.hitTokens = blockTokens(int(s.hits[view.cache.slot]), entry)
		}
		if !isFirstCall(entry) {
			entry.bestHitTokens = max(entry.bestHitTokens, candidate.hitTokens)
		}
	}
	s.leastOccupied = least
	if serving := len(s.candidates); serving > 0 {
		s.meanOccupied = float64(total) / float64(serving)
	}
}

// setCall fills in the fields of a candidate that do not depend on the engine.
func (s *Scheduler) setCall(c *Candidate, entry *waitingItem, now time.Time) {
	*c = Candidate{
		Item:          entry.Item,
		Outlook:       entry.outlook,
		Now:           now,
		BestHitTokens: entry.bestHitTokens,
		MeanOccupied:  s.meanOccupied,
		LeastOccupied: s.leastOccupied,
		Zone:          s.zone,
		CacheWeight:   s.cacheWeight,
	}
}

// setEngine fills in the fields of a candidate that depend on the engine.
func (s *Scheduler) setEngine(c *Candidate, entry *waitingItem, view *EngineView, hitTokens int64) {
	backlog := view.backlog(c.Now)
	c.Engine = view
	c.HitTokens = hitTokens
	c.BacklogSeconds = backlog.Seconds()
	c.HasRoom = view.hasRoom(s.requirements(entry, view), backlog) && !s.mustYield(entry, view, c.Now)
	c.Transfer = s.transferTo(entry, view, hitTokens)
	c.WaitSeconds = 0
	if !c.HasRoom {
		c.WaitSeconds = max(view.slotWait(entry, c.BacklogSeconds), c.BacklogSeconds-s.profile.PrefillBacklog.Seconds())
	}
}

// setCandidate fills in a candidate for one engine. The index must have been
// given the prompt with setPrompt.
func (s *Scheduler) setCandidate(c *Candidate, entry *waitingItem, view *EngineView, now time.Time) {
	s.setCall(c, entry, now)
	s.setEngine(c, entry, view, s.hitTokens(entry, view))
}

// hitTokens returns how much of a prompt an engine's cache is assumed to hold.
// The index must have been given the prompt with setPrompt.
func (s *Scheduler) hitTokens(entry *waitingItem, view *EngineView) int64 {
	if view.cache == nil {
		return 0
	}
	return blockTokens(s.index.hit(view.cache, entry.Blocks), entry)
}

// blockTokens returns the number of prompt tokens in the first blocks of a
// call's prompt.
func blockTokens(blocks int, entry *waitingItem) int64 {
	return min(int64(blocks)*prefix.BlockTokens, entry.PromptTokens)
}

// avoidFor is how long a waiting call avoids engines that failed it. It is
// bounded because there may be no other engines for the model, and failed ones
// may have recovered.
const avoidFor = 10 * time.Second

// mustAvoid reports whether the call must still avoid the engine.
func (c *Candidate) mustAvoid() bool {
	return slices.Contains(c.Item.Avoid, c.Engine.Engine.ID) && c.Now.Sub(c.Item.EnqueuedAt) < avoidFor
}

func (s *Scheduler) admits(c *Candidate) bool {
	if len(c.Item.Avoid) > 0 && c.mustAvoid() {
		return false
	}
	for _, filter := range s.plugins.filters {
		if !filter.Admit(c) {
			return false
		}
	}
	return true
}

func (s *Scheduler) score(c *Candidate) float64 {
	total := c.WaitSeconds
	for _, scorer := range s.plugins.scorers {
		total += scorer.Score(c)
	}
	return total
}
