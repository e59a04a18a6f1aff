package enginemodel

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumEvents limits the cache events that are kept for readers.
const maximumEvents = 4096

// eventLog publishes changes of the cache with delay and loss.
type eventLog struct {
	engine   *Engine
	sequence uint64
	entries  []publishedEvent
	// pending collects the blocks of one change into one event.
	pending   structs.CacheEvent
	namespace namespace
}

// publishedEvent is an event and the time from which it is visible.
type publishedEvent struct {
	event       structs.CacheEvent
	visibleFrom time.Time
}

func newEventLog(e *Engine) *eventLog { return &eventLog{engine: e} }

// stored implements cacheListener.
func (e *Engine) stored(key blockKey) {
	e.events.addToPending(structs.CacheStored, key)
	if e.options.BlockHistory != nil {
		e.options.BlockHistory.stored(key)
	}
}

// evicted implements cacheListener.
func (e *Engine) evicted(b *block, now time.Time) {
	e.events.addToPending(structs.CacheEvicted, b.key)
	e.countEvictedIdle(b, now)
}

func (l *eventLog) addToPending(kind structs.CacheEventKind, key blockKey) {
	if l.pending.Kind != kind || l.namespace != key.namespace {
		l.flush()
	}
	l.pending.Kind, l.pending.Model, l.namespace = kind, key.namespace.model, key.namespace
	l.pending.Blocks = append(l.pending.Blocks, key.hash)
}

// flush numbers the pending event and publishes it, or drops it with
// probability EventLoss.
func (l *eventLog) flush() {
	if len(l.pending.Blocks) == 0 && l.pending.Kind != structs.CacheCleared {
		return
	}
	l.sequence++
	event := l.pending
	event.Engine, event.Sequence = l.engine.options.ID, l.sequence
	l.pending = structs.CacheEvent{}
	publication := l.engine.parameters.Publication
	if publication.EventLoss > 0 && l.engine.options.Random.Float64() < publication.EventLoss {
		return
	}
	l.entries = append(l.entries, publishedEvent{event, l.engine.now().Add(publication.EventDelay)})
	if len(l.entries) > maximumEvents {
		l.entries = l.entries[1:]
	}
}

// CacheEvents returns the visible events after a sequence number.
func (e *Engine) CacheEvents(after uint64) []structs.CacheEvent {
	e.events.flush()
	var events []structs.CacheEvent
	for _, entry := range e.events.entries {
		if entry.event.Sequence > after && !entry.visibleFrom.After(e.now()) {
			events = append(events, entry.event)
		}
	}
	return events
}

// lastVisible returns the last visible sequence number.
func (l *eventLog) lastVisible(now time.Time) uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if !l.entries[i].visibleFrom.After(now) {
			return l.entries[i].event.Sequence
		}
	}
	return 0
}

// loadHistory keeps an engine's states for as long as reports lag.
type loadHistory struct{ states []loadState }

// loadState is the state of an engine from a point in time on.
type loadState struct {
	from           time.Time
	running        int
	waiting        int
	queuedPrefill  int64
	cacheBlocks    int
	pinnedBlocks   int
	draining       bool
	models         []structs.ModelName
	loading        []structs.ModelName
	role           structs.EngineRole
	versions       map[structs.ModelName]string
	adapters       []structs.EngineAdapter
	eventsSequence uint64
}

// recordLoadState records the current state for load reports.
func (e *Engine) recordLoadState() {
	now := e.now()
	state := loadState{
		from:           now,
		running:        len(e.running),
		waiting:        len(e.waiting),
		queuedPrefill:  e.queuedPrefill(),
		cacheBlocks:    e.cache.used(),
		pinnedBlocks:   e.cache.pinnedBlocks,
		draining:       e.draining,
		models:         e.orders.loaded,
		loading:        e.orders.loading,
		role:           e.orders.role,
		versions:       e.orders.versions,
		adapters:       e.adapterReport(),
		eventsSequence: e.events.sequence,
	}
	e.loads.add(state, now.Add(-e.parameters.Publication.LoadLag))
}

func (e *Engine) queuedPrefill() int64 {
	tokens := int64(0)
	for _, s := range e.waiting {
		tokens += s.target
	}
	for _, s := range e.running {
		tokens += max(s.target-s.computed, 0)
	}
	return tokens
}

func (h *loadHistory) add(state loadState, visible time.Time) {
	last := len(h.states) - 1
	if last >= 0 && h.states[last].from.Equal(state.from) {
		h.states[last] = state
		return
	}
	h.states = append(h.states, state)
	h.trim(visible)
}

// trim drops the states before the one that was current at a time.
func (h *loadHistory) trim(visible time.Time) {
	for len(h.states) > 1 && !h.states[1].from.After(visible) {
		h.states = h.states[1:]
	}
}

// Load returns the state of LoadLag ago as a report.
func (e *Engine) Load() structs.LoadReport {
	e.loads.trim(e.now().Add(-e.parameters.Publication.LoadLag))
	state := e.loads.states[0]
	return structs.LoadReport{
		Engine:              e.options.ID,
		Models:              state.models,
		Loading:             state.loading,
		Role:                state.role,
		Versions:            state.versions,
		Adapters:            state.adapters,
		MaximumAdapters:     e.parameters.MaximumAdapters,
		Running:             state.running,
		Waiting:             state.waiting,
		QueuedPrefillTokens: state.queuedPrefill,
		MaximumRunning:      e.parameters.MaximumRunning,
		CacheTokens:         int64(state.cacheBlocks) * prefix.BlockTokens,
		CacheCapacityTokens: int64(e.cache.capacity) * prefix.BlockTokens,
		HeldTokens:          int64(state.pinnedBlocks) * prefix.BlockTokens,
		Draining:            state.draining,
		CacheEventSequence:  e.events.lastVisible(e.now()),
		StartedUnixNano:     e.startedAt.UnixNano(),
	}
}
