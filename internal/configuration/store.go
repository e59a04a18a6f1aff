// Package configuration folds the operators' stream of changes into the
// configuration in force. The fold depends on the log alone, so that every
// daemon that has folded up to the same offset has the same configuration.
//
// Daemons read the log, tell each other how far they are and hand each other
// what is missing, so that a daemon cut off from the log follows through one
// that is not. A store never goes back: entries are folded one after another,
// and a daemon that starts serves no configuration before it has caught up
// with the log and with the peers it can hear.
package configuration

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Settings bound a store.
type Settings struct {
	// PollInterval is the pause between readings of the log in a small fleet. It
	// grows with the fleet up to MaximumPollInterval: the first daemon that reads
	// an entry tells the others.
	PollInterval        time.Duration
	MaximumPollInterval time.Duration
	// PeerGrace is how long a daemon that starts listens to its peers before it
	// serves, so that a lagging reader of the log is found out.
	PeerGrace time.Duration
	// FetchTimeout is how long a peer may take to hand over what is missing.
	FetchTimeout time.Duration
	// Fanout is how many peers are told at once of a new entry.
	Fanout int
	// SecondRoundDelay is the pause before as many others are told.
	SecondRoundDelay time.Duration
	// SnapshotEvery is how many entries come between snapshots.
	SnapshotEvery int
	// SnapshotPause spaces out the daemons that might write a snapshot.
	SnapshotPause time.Duration
}

// DefaultSettings returns settings for the sizes of the brief.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:        500 * time.Millisecond,
		MaximumPollInterval: 10 * time.Second,
		PeerGrace:           time.Second,
		FetchTimeout:        time.Second,
		Fanout:              3,
		SecondRoundDelay:    250 * time.Millisecond,
		SnapshotEvery:       256,
		SnapshotPause:       10 * time.Second,
	}
}

// Guards switches protections off, so that the simulation can show that its
// checks notice. All are off in a daemon.
type Guards struct {
	// SkipDissemination (configuration_late): once it serves, the store stops
	// reading the log, and never tells or asks peers.
	SkipDissemination bool
	// AcceptOlder (configuration_reverted): the store takes whatever a reader
	// of the log returns for the whole log.
	AcceptOlder bool
}

// Options gives a Store what it works with.
type Options struct {
	Self      structs.DaemonID
	Clock     clock.Clock
	Log       framework.EventLog
	Transport peer.Transport
	// Peers returns the daemons that may be told and asked, in a fixed order,
	// without this one. Nil means none.
	Peers    func() []structs.DaemonID
	Settings Settings
	Guards   Guards
	Logger   zerolog.Logger
}

// Status is what a store publishes of itself after each step.
type Status struct {
	// Configuration is the one in force; nil before the first, and while the
	// store has not caught up yet.
	Configuration *structs.Configuration
	Offset        structs.LogOffset
	Digest        uint64
	Revision      structs.Revision
	// Serving is set once the store has caught up after its start.
	Serving bool
	// Diverged counts peers' words that contradict this fold: the log has
	// given two daemons different entries for one offset.
	Divergences int
}

// Store keeps the configuration in force.
type Store struct {
	Options
	queue  serial.Queue
	random *rand.Rand
	status atomic.Pointer[Status]

	listenerMutex sync.Mutex
	listeners     []func(Status)

	// The rest belongs to the queue.
	state    *State
	retained retainedEntries
	stopped  bool
	// graceOver is set once Settings.PeerGrace has passed since the start. A
	// timer tells, as the wall clock may jump.
	graceOver bool
	serving   bool
	diverged  int
	// logCaughtUp is set by a reading that ended at the log's end.
	logCaughtUp bool
	peerSync    peerSync
	writer      snapshotWriter
	// publications wait for the verdict on their change, oldest first.
	publications []*publication
}

// NewStore returns a store that has folded nothing.
func NewStore(options Options) *Store {
	if options.Peers == nil {
		options.Peers = func() []structs.DaemonID { return nil }
	}
	seed := xxhash.Sum64String(string(options.Self))
	s := &Store{
		Options:  options,
		random:   rand.New(rand.NewPCG(seed, uint64(len(options.Self)))),
		state:    NewState(),
		peerSync: newPeerSync(),
	}
	s.status.Store(&Status{Digest: s.state.Digest()})
	return s
}

// Status returns what the store last published.
func (s *Store) Status() Status { return *s.status.Load() }

// Current returns the configuration in force, nil before the first and until
// the store has caught up. It must not be changed.
func (s *Store) Current() *structs.Configuration { return s.status.Load().Configuration }

// Offset returns the first offset that is not folded yet.
func (s *Store) Offset() structs.LogOffset { return s.status.Load().Offset }

// Digest identifies the fold at Offset.
func (s *Store) Digest() uint64 { return s.status.Load().Digest }

// Revision returns the revision in force, 0 before the first.
func (s *Store) Revision() structs.Revision { return s.status.Load().Revision }

// Serving reports whether the store has caught up after its start.
func (s *Store) Serving() bool { return s.status.Load().Serving }

// Note returns the store's word about itself for heartbeats.
func (s *Store) Note() membership.Note {
	status := s.status.Load()
	return membership.Note{ConfigurationOffset: status.Offset, ConfigurationDigest: status.Digest}
}

// Subscribe calls listener after each step that changed the status. It must
// be called before Start.
func (s *Store) Subscribe(listener func(Status)) {
	s.listenerMutex.Lock()
	defer s.listenerMutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// RecentVerdicts calls done with the verdicts that are remembered, oldest first.
func (s *Store) RecentVerdicts(done func([]Verdict)) {
	s.queue.Do(func() { done(append([]Verdict(nil), s.state.Verdicts...)) })
}

// OperationVerdict calls done with the verdict on an operation, if it is remembered.
func (s *Store) OperationVerdict(id string, done func(Verdict, bool)) {
	s.queue.Do(func() { done(s.state.OperationVerdict(id)) })
}

// Check calls done with what the verdict on a change would be now.
func (s *Store) Check(change structs.Change, done func(Verdict)) {
	s.queue.Do(func() {
		verdict, _ := s.state.Check(&change)
		done(verdict)
	})
}

// Start begins to read the log and to listen to peers.
func (s *Store) Start() {
	s.queue.Do(func() {
		s.after(s.Settings.PeerGrace, func() {
			s.graceOver = true
			s.startServingIfCaughtUp()
		})
		s.requestPeerOffsets()
		s.recover()
	})
}

// Stop ends all timers.
func (s *Store) Stop() { s.queue.Do(func() { s.stopped = true }) }

// after runs task on the queue, d from now, unless the store was stopped.
func (s *Store) after(d time.Duration, task func()) {
	s.Clock.AfterFunc(d, func() {
		s.queue.Do(func() {
			if !s.stopped {
				task()
			}
		})
	})
}

// fold applies what continues the state and returns whether anything did.
func (s *Store) fold(entries []framework.LogEntry) bool {
	changed := false
	for _, entry := range entries {
		verdict, folded := s.state.Fold(entry)
		if !folded {
			continue
		}
		changed = true
		s.retained.add(entry)
		s.logVerdict(&verdict)
	}
	if changed {
		s.afterAdvance()
	}
	return changed
}

func (s *Store) logVerdict(verdict *Verdict) {
	if verdict.Reason == VerdictSnapshot {
		return
	}
	event := s.Logger.Info()
	if !verdict.Accepted {
		event = s.Logger.Warn().Str("reason", string(verdict.Reason))
	}
	event.Int64("offset", int64(verdict.Offset)).Int64("revision", int64(verdict.Revision)).
		Str("operation", verdict.OperationID).Bool("accepted", verdict.Accepted).Msg("Configuration entry folded.")
}

// adopt takes a state that is ahead of the present one.
func (s *Store) adopt(state *State) bool {
	if state.Next <= s.state.Next {
		return false
	}
	s.state = state
	s.retained.clear()
	s.afterAdvance()
	return true
}

// advanced follows each step forward: publish, tell a few peers, and see to
// snapshots.
func (s *Store) afterAdvance() {
	s.startServingIfCaughtUp()
	s.publish()
	s.completePublications()
	s.offerToPeers()
	s.scheduleSnapshotIfDue()
}

// considerServing lets a daemon that started serve once its grace is over and
// it has caught up: with every peer it has heard, and with the log or, where
// the log does not answer, with at least one peer. Without that a restart could
// take a configuration back that callers had already seen in force.
func (s *Store) startServingIfCaughtUp() {
	if s.serving || s.stopped {
		return
	}
	caughtUp := s.logCaughtUp || s.peerSync.hasPeerOffset
	if !s.graceOver || !caughtUp || s.state.Next < s.peerSync.highestOffset {
		return
	}
	s.serving = true
	s.publish()
	s.scheduleSnapshotIfDue()
}

// publish makes the status visible and calls the listeners.
func (s *Store) publish() {
	status := &Status{
		Offset:      s.state.Next,
		Digest:      s.state.Digest(),
		Revision:    s.state.Revision(),
		Serving:     s.serving,
		Divergences: s.diverged,
	}
	if s.serving {
		status.Configuration = s.state.Configuration
	}
	if *s.status.Load() == *status {
		return
	}
	s.status.Store(status)
	s.listenerMutex.Lock()
	listeners := s.listeners
	s.listenerMutex.Unlock()
	for _, listener := range listeners {
		listener(*status)
	}
}
