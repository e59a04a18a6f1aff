// Package submit sends calls from the daemon that a caller reached to the daemon that
// leads the call's shard, follows changes of leader, and delivers each part of the
// answer to the caller exactly once.
package submit

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Caller receives the answer to one submission. Its methods are called one at a time
// and must not block.
type Caller interface {
	// Chunks delivers the next pieces of the answer, in order.
	Chunks(chunks []structs.Chunk)
	// Outcome delivers the outcome. It is called once, at the end.
	Outcome(outcome structs.Outcome)
}

// Router returns the leaders of shards, and is updated from redirections.
type Router interface {
	Shard(key structs.ProgramKey) structs.ShardNumber
	Route(shard structs.ShardNumber) replication.Route
	Learn(shard structs.ShardNumber, route replication.Route)
	// Alive reports whether a daemon is believed to be up.
	Alive(daemon structs.DaemonID) bool
}

// Settings are the submitter's timeouts and retry intervals. All are positive.
type Settings struct {
	// AnswerTimeout is how long a leader may take to accept a call or answer a query.
	AnswerTimeout time.Duration
	// KeepAliveInterval is how long the leader of an accepted call may be silent
	// before it is queried.
	KeepAliveInterval time.Duration
	// RouteRetryInterval is the pause between lookups of a shard's leader.
	RouteRetryInterval time.Duration
	// LeaderTimeout is how long a call waits for a shard without a leader.
	LeaderTimeout time.Duration
	// NoMajorityRetryAfter is the retry delay given to callers whose shard has lost
	// its majority.
	NoMajorityRetryAfter time.Duration
	// LeaderRetryAfter is the retry delay given to callers whose deadline passed while
	// the shard had no leader but may soon have one.
	LeaderRetryAfter time.Duration
}

// DefaultSettings returns settings for the fleet sizes of docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		AnswerTimeout:        300 * time.Millisecond,
		KeepAliveInterval:    time.Second,
		RouteRetryInterval:   100 * time.Millisecond,
		LeaderTimeout:        15 * time.Second,
		NoMajorityRetryAfter: 5 * time.Second,
		LeaderRetryAfter:     time.Second,
	}
}

// Guards lets a simulation disable a safeguard, to show that its checker detects the
// consequences. The zero value has every guard on.
type Guards struct {
	// SkipResume passes on what a leader sends, even if the caller has it already.
	SkipResume bool
}

// Submitter holds the submissions of one daemon.
type Submitter struct {
	// Guards are all on in production; set them before the first Submit.
	Guards Guards

	clock     clock.Clock
	transport peer.Transport
	router    Router
	settings  Settings

	mutex   sync.Mutex
	next    dispatch.SubmissionID
	pending map[dispatch.SubmissionID]*Submission
}

// New returns a submitter without submissions.
func New(c clock.Clock, transport peer.Transport, router Router, settings Settings) *Submitter {
	return &Submitter{
		clock:     c,
		transport: transport,
		router:    router,
		settings:  settings,
		pending:   map[dispatch.SubmissionID]*Submission{},
	}
}

// Submit starts a submission; its answer is delivered to caller.
func (s *Submitter) Submit(call structs.Call, caller Caller) *Submission {
	s.mutex.Lock()
	s.next++
	submission := &Submission{
		submitter: s,
		id:        s.next,
		call:      call,
		caller:    caller,
		shard:     s.router.Shard(call.Key),
		received:  call.ResumeAt,
		startedAt: s.clock.Now(),
	}
	s.pending[submission.id] = submission
	s.mutex.Unlock()
	submission.queue.Do(submission.route)
	return submission
}

// Pending returns the number of submissions without an outcome.
func (s *Submitter) Pending() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.pending)
}

func (s *Submitter) find(id dispatch.SubmissionID) *Submission {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pending[id]
}

func (s *Submitter) forget(id dispatch.SubmissionID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, id)
}

// Receive handles a message from a leader, and reports whether it is one.
func (s *Submitter) Receive(from structs.DaemonID, message peer.Message) bool {
	switch m := message.(type) {
	case *dispatch.Accepted:
		s.deliver(m.Submission, func(sub *Submission) { sub.accepted(from) })
	case *dispatch.Redirected:
		s.deliver(m.Submission, func(sub *Submission) { sub.redirected(from, m.Route) })
	case *dispatch.NotKnown:
		s.deliver(m.Submission, func(sub *Submission) { sub.notKnown(from) })
	case *dispatch.Answer:
		s.deliver(m.Submission, func(sub *Submission) { sub.answer(from, m.Chunks) })
	case *dispatch.Settled:
		s.deliver(m.Submission, func(sub *Submission) { sub.settled(from, m) })
	default:
		return false
	}
	return true
}

func (s *Submitter) deliver(id dispatch.SubmissionID, task func(*Submission)) {
	submission := s.find(id)
	if submission == nil {
		return
	}
	submission.queue.Do(func() {
		if !submission.done {
			task(submission)
		}
	})
}
