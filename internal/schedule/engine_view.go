package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// defaultPrefillSecondsPerToken and defaultDecodeSecondsPerToken are
	// expected of an engine before any answer came from it.
	defaultPrefillSecondsPerToken = 1.0 / 8000
	defaultDecodeSecondsPerToken  = 0.02
	// learnFromTokens is the least prompt work from which speed is learned.
	minimumLearningTokens = 256
	// reportLag is the age that a load report may have.
	reportLag = 3 * time.Second
)

// EngineView is what the scheduler knows of one engine: its last load report,
// corrected by what this daemon did since, and what answers taught.
type EngineView struct {
	Engine structs.Engine
	Load   structs.LoadReport
	// Assigned counts this daemon's own calls there, AssignedTokens the
	// memory they need.
	Assigned       int
	AssignedTokens int64
	// Total counts the calls ever assigned.
	Total int64
	// HeldTokens is what it keeps for this daemon's paused programs.
	HeldTokens int64
	// ForeignCalls is the number of calls there from others.
	ForeignCalls int
	// prefillUntil is when the prompt work sent there will be done.
	prefillDoneAt time.Time
	// PrefillSecondsPerToken and DecodeSecondsPerToken are learned.
	PrefillSecondsPerToken float64
	DecodeSecondsPerToken  float64
	// service is the time that a call takes there.
	serviceSeconds mean
	history        assignedHistory
	// batchFraction is the profile's.
	batchFraction float64
	// residences is the belief about its cache, nil for none.
	cache *cacheMirror
	// home holds waiting calls that would best run here.
	waiters engineQueue
	// churn follows how fast the cache is refilled, in tokens a second.
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

// backlog returns the expected time until the prompt work sent there is done.
func (v *EngineView) backlog(now time.Time) time.Duration {
	return max(v.prefillDoneAt.Sub(now), 0)
}

// Occupied returns the calls there as far as known.
func (v *EngineView) Occupied() int { return v.Assigned + v.ForeignCalls }

// Serves tells whether the engine takes new work for a model.
func (v *EngineView) Serves(model structs.ModelName) bool {
	if v.Engine.Leaving || v.Load.Draining || v.Load.MaximumRunning == 0 {
		return false
	}
	return slices.Contains(v.Load.Models, model)
}

// places returns how many calls may run there at once.
func (v *EngineView) slots() int {
	if v.batchFraction == 0 {
		return v.Load.MaximumRunning
	}
	return max(int(v.batchFraction*float64(v.Load.MaximumRunning)), 1)
}

// hasRoom tells whether the engine can take a call now.
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

// fits tells whether the engine's memory holds a call beside the others.
func (v *EngineView) fitsInMemory(d requirements) bool {
	if v.Assigned == 0 {
		return true
	}
	capacity := int64(d.memoryFraction * float64(v.Load.CacheCapacityTokens))
	return capacity == 0 || v.AssignedTokens+v.HeldTokens+d.tokens <= capacity
}

// slotWait returns the expected wait of a call for a place behind others.
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

// learnSpeed moves the learned speeds towards what an answer showed. The time
// to the first token includes waiting, so a slow one teaches little.
func (v *EngineView) learnSpeed(result Result) {
	computed := result.Usage.PromptTokens - result.Usage.CachedTokens
	if computed >= minimumLearningTokens && result.TimeToFirstToken > 0 {
		seen := result.TimeToFirstToken.Seconds() / float64(computed)
		weight := learningRate
		if seen > v.PrefillSecondsPerToken {
			weight *= learningRate
		}
		v.PrefillSecondsPerToken += weight * (seen - v.PrefillSecondsPerToken)
	}
	if result.Usage.CompletionTokens > 1 && result.Duration > result.TimeToFirstToken {
		seen := (result.Duration - result.TimeToFirstToken).Seconds() / float64(result.Usage.CompletionTokens-1)
		v.DecodeSecondsPerToken += learningRate * (seen - v.DecodeSecondsPerToken)
	}
}

// report takes a load report. What it counts beyond the most that this daemon
// had there within the lag belongs to others.
func (v *EngineView) report(report structs.LoadReport, now time.Time) {
	v.Load = report
	v.ForeignCalls = max(report.Running+report.Waiting-v.history.peak(now), 0)
	tokens := float64(report.QueuedPrefillTokens + v.history.recentTokens(now))
	known := now.Add(time.Duration(tokens * v.PrefillSecondsPerToken * float64(time.Second)))
	if v.prefillDoneAt.After(known) {
		v.prefillDoneAt = known
	}
}

// assignedHistory remembers how many own calls an engine had of late.
type assignedHistory struct {
	entries []assignedEntry
}

type assignedEntry struct {
	at       time.Time
	assigned int
	// computed is the prompt work sent in this step of time.
	prefillTokens int64
}

// historyStep is the resolution of the history.
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

// tokens returns the prompt work that a report may not show yet.
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

// rateMemory is the time constant of rates.
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
