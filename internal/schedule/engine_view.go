package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// defaultPrefillSecondsPerToken and defaultDecodeSecondsPerToken are the
	// assumed speeds of an engine that has not answered yet.
	defaultPrefillSecondsPerToken = 1.0 / 8000
	defaultDecodeSecondsPerToken  = 0.02
	// minimumLearningTokens is the least number of computed prompt tokens from
	// which the prefill speed is learned.
	minimumLearningTokens = 256
	// reportLag is the assumed maximum age of a load report.
	reportLag = 3 * time.Second
)

// EngineView is the scheduler's view of one engine: its last load report,
// corrected by what this daemon assigned since, and the speeds learned from
// answers.
type EngineView struct {
	Engine structs.Engine
	Load   structs.LoadReport
	// Assigned counts this daemon's calls on the engine, AssignedTokens is the
	// memory they need.
	Assigned       int
	AssignedTokens int64
	// Total counts the calls ever assigned.
	Total int64
	// HeldTokens is the size of the caches held for this daemon's paused
	// programs.
	HeldTokens int64
	// ForeignCalls counts the calls on the engine that other daemons assigned.
	ForeignCalls int
	// prefillDoneAt is when the assigned prefill work is expected to be done.
	prefillDoneAt time.Time
	// PrefillSecondsPerToken and DecodeSecondsPerToken are learned from
	// answers.
	PrefillSecondsPerToken float64
	DecodeSecondsPerToken  float64
	// serviceSeconds is the mean time that a call takes on the engine.
	serviceSeconds mean
	history        assignedHistory
	// batchFraction is Profile.BatchFraction.
	batchFraction float64
	// cache is the index's mirror of the engine's cache; nil when the index
	// does not cover the engine.
	cache *cacheMirror
	// waiters holds the calls that wait for this engine.
	waiters engineQueue
	// churn is the rate at which the cache is refilled, in tokens per second.
	churn rate
}

func newEngineView(batchFraction float64) *EngineView {
	return &EngineView{
		batchFraction:          batchFraction,
		PrefillSecondsPerToken: defaultPrefillSecondsPerToken,
		DecodeSecondsPerToken:  defaultDecodeSecondsPerToken,
		waiters:                newEngineQueue(),
	}
}

// backlog returns the expected time until the assigned prefill work is done.
func (v *EngineView) backlog(now time.Time) time.Duration {
	return max(v.prefillDoneAt.Sub(now), 0)
}

// Occupied returns the known number of calls on the engine.
func (v *EngineView) Occupied() int { return v.Assigned + v.ForeignCalls }

// Serves reports whether the engine takes new work for a model.
func (v *EngineView) Serves(model structs.ModelName) bool {
	if v.Engine.Leaving || v.Load.Draining || v.Load.MaximumRunning == 0 {
		return false
	}
	return slices.Contains(v.Load.Models, model)
}

// slots returns how many calls may run on the engine at once.
func (v *EngineView) slots() int {
	if v.batchFraction == 0 {
		return v.Load.MaximumRunning
	}
	return max(int(v.batchFraction*float64(v.Load.MaximumRunning)), 1)
}

// hasRoom reports whether the engine can take a call now.
func (v *EngineView) hasRoom(d requirements, backlog time.Duration) bool {
	if v.Occupied() >= v.slots() {
		return false
	}
	if v.Assigned == 0 {
		return true
	}
	if d.backlogLimit > 0 && backlog > d.backlogLimit {
		return false
	}
	return v.fitsInMemory(d)
}

// fitsInMemory reports whether the engine's memory has room for a call next to
// the others. A call always fits on an engine without calls of this daemon.
func (v *EngineView) fitsInMemory(d requirements) bool {
	if v.Assigned == 0 {
		return true
	}
	capacity := int64(d.memoryFraction * float64(v.Load.CacheCapacityTokens))
	return capacity == 0 || v.AssignedTokens+v.HeldTokens+d.tokens <= capacity
}

// slotWait returns the expected time that a call waits for a free slot, or for
// the prefill backlog if a slot is free.
func (v *EngineView) slotWait(entry *waitingItem, backlogSeconds float64) float64 {
	slots := max(v.slots(), 1)
	if v.Occupied() < slots {
		return backlogSeconds
	}
	ahead := v.waiters.ahead(entry)
	return v.serviceSeconds.valueOr(defaultServiceSeconds) * float64(ahead+1) / float64(slots)
}

func (v *EngineView) assign(a *runningCall, missTokens int64, now time.Time) {
	v.Assigned++
	v.Total++
	v.AssignedTokens += a.tokens
	v.churn.add(float64(missTokens), now)
	if v.prefillDoneAt.Before(now) {
		v.prefillDoneAt = now
	}
	work := time.Duration(float64(missTokens) * v.PrefillSecondsPerToken * float64(time.Second))
	v.prefillDoneAt = v.prefillDoneAt.Add(work)
	v.history.record(v.Assigned, missTokens, now)
}

func (v *EngineView) finish(a *runningCall, result Result, now time.Time) {
	v.Assigned--
	v.AssignedTokens -= a.tokens
	v.history.record(v.Assigned, 0, now)
	if !result.Started || result.Failed {
		return
	}
	v.serviceSeconds.add(result.Duration.Seconds())
	v.learnSpeed(result)
}

// learnSpeed updates the learned speeds from an answer. The time to the first
// token includes queueing, so an observation of a slower prefill gets a lower
// weight.
func (v *EngineView) learnSpeed(result Result) {
	computed := result.Usage.PromptTokens - result.Usage.CachedTokens
	if computed >= minimumLearningTokens && result.TimeToFirstToken > 0 {
		observed := result.TimeToFirstToken.Seconds() / float64(computed)
		weight := learningRate
		if observed > v.PrefillSecondsPerToken {
			weight *= learningRate
		}
		v.PrefillSecondsPerToken += weight * (observed - v.PrefillSecondsPerToken)
	}
	if result.Usage.CompletionTokens > 1 && result.Duration > result.TimeToFirstToken {
		observed := (result.Duration - result.TimeToFirstToken).Seconds() / float64(result.Usage.CompletionTokens-1)
		v.DecodeSecondsPerToken += learningRate * (observed - v.DecodeSecondsPerToken)
	}
}

// report applies a load report. Calls beyond the most that this daemon had on
// the engine within reportLag belong to other daemons.
func (v *EngineView) report(report structs.LoadReport, now time.Time) {
	v.Load = report
	v.ForeignCalls = max(report.Running+report.Waiting-v.history.peak(now), 0)
	tokens := float64(report.QueuedPrefillTokens + v.history.recentTokens(now))
	known := now.Add(time.Duration(tokens * v.PrefillSecondsPerToken * float64(time.Second)))
	if v.prefillDoneAt.After(known) {
		v.prefillDoneAt = known
	}
}

// assignedHistory records the number of this daemon's calls on an engine, and
// the prefill work assigned to it, over the last reportLag.
type assignedHistory struct {
	entries []assignedEntry
}

type assignedEntry struct {
	at       time.Time
	assigned int
	// prefillTokens is the prefill work assigned in this step.
	prefillTokens int64
}

// historyStep is the time resolution of the history.
const historyStep = 100 * time.Millisecond

func (h *assignedHistory) record(assigned int, computed int64, now time.Time) {
	last := len(h.entries) - 1
	if last >= 0 && now.Sub(h.entries[last].at) < historyStep {
		h.entries[last].assigned = max(h.entries[last].assigned, assigned)
		h.entries[last].prefillTokens += computed
		return
	}
	h.entries = append(h.entries, assignedEntry{at: now, assigned: assigned, prefillTokens: computed})
	first := 0
	for first < len(h.entries)-1 && now.Sub(h.entries[first+1].at) > reportLag {
		first++
	}
	h.entries = append(h.entries[:0], h.entries[first:]...)
}

// recentTokens returns the prefill work that a load report may not include yet.
func (h *assignedHistory) recentTokens(now time.Time) int64 {
	total := int64(0)
	for _, entry := range h.entries {
		if now.Sub(entry.at) <= reportLag {
			total += entry.prefillTokens
		}
	}
	return total
}

func (h *assignedHistory) peak(now time.Time) int {
	most := 0
	for i, entry := range h.entries {
		current := i == len(h.entries)-1 || now.Sub(h.entries[i+1].at) <= reportLag
		if current {
			most = max(most, entry.assigned)
		}
	}
	return most
}

// rate is an exponentially decaying rate per second.
type rate struct {
	value float64
	at    time.Time
}

// rateTimeConstant is the time constant of the decay.
const rateTimeConstant = 30 * time.Second

func (r *rate) add(amount float64, now time.Time) {
	r.value = r.current(now) + amount/rateTimeConstant.Seconds()
	r.at = now
}

func (r *rate) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}
