package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Statistics are counts over all runs of an engine.
type Statistics struct {
	// PromptTokens counts prompt tokens of admitted attempts, CachedTokens
	// those of them found in the cache, PrefilledTokens the computed ones,
	// including work repeated after a preemption.
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	PrefilledTokens  int64 `json:"prefilled_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Preemptions      int64 `json:"preemptions"`
	// RecomputedTokens counts prefilled tokens of blocks that some engine had
	// stored before; it needs a BlockHistory.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	// IdleTokenSeconds is the memory that blocks occupied from their last use
	// to their eviction.
	IdleTokenSeconds float64 `json:"idle_token_seconds"`
}

// AttemptRun is one execution of an attempt, as seen by the engine.
type AttemptRun struct {
	Engine    structs.EngineID   `json:"engine"`
	Attempt   structs.AttemptID  `json:"attempt"`
	Program   structs.ProgramKey `json:"program"`
	Epoch     structs.Epoch      `json:"epoch"`
	StartedAt time.Time          `json:"started_at"`
	EndedAt   time.Time          `json:"ended_at"`
	Kind      framework.EndKind  `json:"kind"`
	Usage     structs.Usage      `json:"usage"`
}

// Recorder is notified of every attempt that an engine accepts.
type Recorder interface {
	AttemptStarted(run AttemptRun)
	AttemptEnded(run AttemptRun)
}

// BlockHistory records which blocks any engine of a fleet has ever stored.
type BlockHistory struct{ held map[blockKey]struct{} }

// NewBlockHistory returns an empty history.
func NewBlockHistory() *BlockHistory { return &BlockHistory{held: map[blockKey]struct{}{}} }

func (l *BlockHistory) stored(key blockKey) { l.held[key] = struct{}{} }

func (l *BlockHistory) knows(key blockKey) bool {
	_, found := l.held[key]
	return found
}

// Statistics returns the counts so far. Blocks that are still cached count as
// idle only after CountIdleBlocks.
func (e *Engine) Statistics() Statistics { return e.statistics }

// CountIdleBlocks counts the blocks that are cached and not in use as idle
// since their last use, as if they were evicted now. It is called at the end
// of a run.
func (e *Engine) CountIdleBlocks() {
	idle := int64(0)
	for _, b := range e.cache.blocks {
		if b.sequenceRefs == 0 {
			idle += int64(e.now().Sub(b.lastUse))
			b.lastUse = e.now()
		}
	}
	e.addIdleTime(idle)
}

func (e *Engine) countEvictedIdle(b *block, now time.Time) { e.addIdleTime(int64(now.Sub(b.lastUse))) }

func (e *Engine) addIdleTime(nanoseconds int64) {
	e.statistics.IdleTokenSeconds += float64(nanoseconds) / float64(time.Second) * prefix.BlockTokens
}

// countHits counts a sequence's prompt and cache hits on its first admission.
func (e *Engine) countHits(s *sequence) {
	if s.hitsCounted {
		return
	}
	s.hitsCounted = true
	s.cached = s.computed
	e.statistics.PromptTokens += s.attempt.request.PromptTokens
	e.statistics.CachedTokens += s.computed
}

// countComputed counts prefilled tokens just added to a sequence.
func (e *Engine) countComputed(s *sequence, tokens int64) {
	e.statistics.PrefilledTokens += tokens
	if e.options.BlockHistory == nil {
		return
	}
	first := (s.computed - tokens) / prefix.BlockTokens
	last := s.computed / prefix.BlockTokens
	for i := first; i < last; i++ {
		hash, named := s.hash(int(i))
		if named && e.options.BlockHistory.knows(blockKey{s.namespace(), hash}) {
			e.statistics.RecomputedTokens += prefix.BlockTokens
		}
	}
}

func (e *Engine) recordStart(a *attempt) {
	if e.options.Recorder == nil {
		return
	}
	a.recorded = &AttemptRun{
		Engine:    e.options.ID,
		Attempt:   a.request.Attempt,
		Program:   a.request.Program,
		Epoch:     a.request.Epoch,
		StartedAt: e.now(),
	}
	e.options.Recorder.AttemptStarted(*a.recorded)
}

func (e *Engine) recordEnd(a *attempt, end framework.AttemptEnd) {
	if a.recorded == nil {
		return
	}
	run := *a.recorded
	run.Epoch, run.EndedAt, run.Kind, run.Usage = a.epoch, e.now(), end.Kind, end.Usage
	if a.sequence != nil {
		run.Usage = a.sequence.usage()
	}
	a.recorded = nil
	e.options.Recorder.AttemptEnded(run)
}

// HeldTokens returns the tokens pinned by holds.
func (e *Engine) HeldTokens() int64 { return int64(e.cache.pinnedBlocks) * prefix.BlockTokens }

// CachedTokens returns the tokens in the cache, in use or not.
func (e *Engine) CachedTokens() int64 { return int64(e.cache.used()) * prefix.BlockTokens }
