package schedule

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// tickInterval is how often the assignment of waiting calls is retried.
const tickInterval = 200 * time.Millisecond

// Options configures a Scheduler.
type Options struct {
	Clock clock.Clock
	// QueueLimit is how many calls may wait.
	QueueLimit int
	// Zone is the daemon's zone.
	Zone           structs.ZoneName
	Profile        Profile
	Configurations Configurations
}

// Scheduler queues the model calls of one daemon and assigns them to engines.
// It is safe for concurrent use; callbacks run outside its lock.
type Scheduler struct {
	clock          clock.Clock
	limit          int
	zone           structs.ZoneName
	profile        Profile
	configurations Configurations
	plugins        plugins
	start          time.Time

	mutex   sync.Mutex
	waiting map[*Item]*waitingItem
	classes map[classKey]*class
	// sortedClasses holds the classes sorted by key.
	sortedClasses []*class
	deadlines     *deadlineTree
	fairness      *fairness
	dequeueRate   dequeueRate
	sequence      uint64
	// candidates is scratch space of a decision: the engines that may serve the
	// call, and how much of its prompt each is assumed to hold.
	candidates []engineHit
	// hits and stored are scratch space of the prefix index.
	hits   [maximumEngines]int32
	stored []*cachedBlock
	// candidate and preferredCandidate are scratch space for calling plug-ins.
	candidate, preferredCandidate Candidate
	// cacheWeight is the configured cache weight, read once per task.
	cacheWeight float64
	// meanOccupied and leastOccupied are the mean and the least number of calls
	// on an engine in the last survey.
	meanOccupied  float64
	leastOccupied int
	// transferSpeed is learned from earlier transfers.
	transferSpeed transferSpeed
	// transferSource is scratch space of a decision.
	transferSource transferSource
	engines        map[structs.EngineID]*EngineView
	// sortedEngines holds the engines sorted by identifier.
	sortedEngines []*EngineView
	running       map[*Item]*runningCall
	index         *prefixIndex
	estimates     *estimates
	// held holds the caches held for paused programs.
	held  heldByExpiry
	timer clock.Timer
	// pendingCallbacks run after the lock is released.
	pendingCallbacks []func()
}

// runningCall is a call that was assigned to an engine.
type runningCall struct {
	engine  *EngineView
	tokens  int64
	outlook Outlook
	// holdFor is how long the cache is held afterwards, 0 for not at all.
	holdFor time.Duration
	// cachedBlocks are the index entries of the prompt's blocks.
	cachedBlocks []*cachedBlock
}

// New returns a scheduler with the default profile and a queue limit.
func New(c clock.Clock, limit int) *Scheduler {
	return NewWithOptions(Options{Clock: c, QueueLimit: limit, Profile: DefaultProfile()})
}

// NewWithOptions returns a scheduler without engines.
func NewWithOptions(options Options) *Scheduler {
	return &Scheduler{
		clock:          options.Clock,
		limit:          options.QueueLimit,
		zone:           options.Zone,
		profile:        options.Profile,
		configurations: options.Configurations,
		plugins:        newPlugins(options.Profile),
		start:          options.Clock.Now(),
		waiting:        map[*Item]*waitingItem{},
		classes:        map[classKey]*class{},
		deadlines:      newDeadlineTree(),
		fairness:       newFairness(options.Profile),
		engines:        map[structs.EngineID]*EngineView{},
		running:        map[*Item]*runningCall{},
		index:          newPrefixIndex(),
		estimates:      newEstimates(),
	}
}

// withLock runs task under the lock, and then the callbacks that it left.
func (s *Scheduler) withLock(task func()) {
	s.mutex.Lock()
	s.cacheWeight = s.configuredCacheWeight()
	task()
	s.armTimer()
	outbox := s.pendingCallbacks
	s.pendingCallbacks = nil
	s.mutex.Unlock()
	for _, callback := range outbox {
		callback()
	}
}

// Enqueue takes an item; its Assign or Refuse is called later, once.
func (s *Scheduler) Enqueue(item *Item) {
	s.withLock(func() { s.enqueue(item) })
}

func (s *Scheduler) enqueue(item *Item) {
	now := s.clock.Now()
	state := s.estimates.recordArrival(item, now)
	if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
		s.refuse(item, deadlineRefusal())
		return
	}
	s.sequence++
	outlook := s.estimates.outlook(item)
	entry := &waitingItem{
		Item:         item,
		outlook:      outlook,
		due:          s.due(item, outlook, now.Sub(s.start).Seconds()),
		sequence:     s.sequence,
		program:      state,
		neededTokens: s.ownTokens(item, item.PromptTokens+int64(outlook.AnswerTokens)),
	}
	account := s.fairness.account(item.Key.Tenant)
	if !s.makeRoom(entry, account, now) {
		return
	}
	s.addEntry(entry, account)
	s.assignArrival(entry, now)
}

// Remove removes an item that was neither assigned nor refused, and reports
// whether there was one.
func (s *Scheduler) Remove(item *Item) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := s.waiting[item]
	if entry == nil {
		return false
	}
	s.removeEntry(entry)
	return true
}

// Finished returns the slot of an assignment.
func (s *Scheduler) Finished(assignment Assignment, result Result) {
	s.withLock(func() { s.finished(assignment, result) })
}

func (s *Scheduler) finished(assignment Assignment, result Result) {
	now := s.clock.Now()
	record := s.running[assignment.Item]
	if record == nil {
		return
	}
	delete(s.running, assignment.Item)
	view := record.engine
	view.finish(record, result, now)
	s.estimates.recordFinish(assignment.Item, assignment.Engine, result, now)
	s.holdAfter(assignment, record, result, now)
	switch {
	case result.Started && !result.Failed:
		s.confirmServed(record, result.Usage, now)
	case result.Started:
		s.evictUncached(assignment.Item, assignment.Engine, result.Usage.CachedTokens)
	}
	if result.Draining {
		view.Engine.Leaving = true
	}
	s.fill(view, now)
}

// holdAfter records the cache that the engine holds for the program until its
// next call.
func (s *Scheduler) holdAfter(assignment Assignment, record *runningCall, result Result, now time.Time) {
	state := s.estimates.programs[assignment.Item.Key]
	if state == nil || record.holdFor <= 0 || !result.Started || result.Failed || result.ProgramEnded {
		return
	}
	tokens := s.ownTokens(assignment.Item, result.Usage.PromptTokens+result.Usage.CompletionTokens)
	s.addHold(state, record.engine, tokens, now.Add(record.holdFor))
}
