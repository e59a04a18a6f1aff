// Package configuration folds the log of the operators' changes into the
// configuration in force. The fold is deterministic and depends on the log
// alone: daemons that have folded up to the same offset have the same
// configuration.
//
// Daemons poll the log, announce their offset to each other and fetch missing
// entries from peers, so that a daemon partitioned from the log follows through
// one that is not. A store never rolls back: entries are folded in order, and a
// starting daemon serves no configuration before it has caught up with the log
// and with the peers that it can reach.
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

// Settings holds the intervals and sizes of a store.
type Settings struct {
	// PollInterval is the pause between reads of the log in a small fleet. It
	// grows with the fleet up to MaximumPollInterval: the first daemon that reads
	// an entry offers it to the others.
	PollInterval        time.Duration
	MaximumPollInterval time.Duration
	// PeerGrace is how long a starting daemon collects its peers' offsets before
	// it serves, so that it notices when its reads of the log are stale.
	PeerGrace time.Duration
	// FetchTimeout is how long a peer may take to answer a fetch.
	FetchTimeout time.Duration
	// Fanout is how many peers get an offer of a new entry in one round.
	Fanout int
	// SecondRoundDelay is the pause before the second round of offers, again to
	// Fanout peers.
	SecondRoundDelay time.Duration
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery int
	// SnapshotPause staggers the daemons that could write a due snapshot.
	SnapshotPause time.Duration
}

// DefaultSettings returns the default settings of a daemon.
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

// Guards disables protections by setting their field, so that simulation tests
// can prove that their checks detect the fault. A daemon sets none.
type Guards struct {
	// SkipDissemination (configuration_late): the store neither offers nor
	// fetches, and stops reading the log once it serves.
	SkipDissemination bool
	// AcceptOlder (configuration_reverted): the store replaces its state with
	// each read of the log, even a stale one.
	AcceptOlder bool
}

// Options are the dependencies and settings of a Store.
type Options struct {
	Self      structs.DaemonID
	Clock     clock.Clock
	Log       framework.EventLog
	Transport peer.Transport
	// Peers returns the other daemons to exchange messages with, in a fixed
	// order. Nil means none.
	Peers    func() []structs.DaemonID
	Settings Settings
	Guards   Guards
	Logger   zerolog.Logger
}

// Status is the published state of a store, updated after each fold.
type Status struct {
	// Configuration is the one in force; nil before the first and until the
	// store has caught up.
	Configuration *structs.Configuration
	Offset        structs.LogOffset
	Digest        uint64
	Revision      structs.Revision
	// Serving is set once the store has caught up after it started.
	Serving bool
	// Divergences counts peers' digests that contradict this fold: the log has
	// returned different entries for one offset.
	Divergences int
}

// Store maintains the configuration in force of one daemon.
type Store struct {
	Options
	queue  serial.Queue
	random *rand.Rand
	status atomic.Pointer[Status]

	listenerMutex sync.Mutex
	listeners     []func(Status)

	// The fields below are accessed only on the queue.
	state    *State
	retained retainedEntries
	stopped  bool
	// graceOver is set by a timer once Settings.PeerGrace has passed since the
	// start; comparing wall-clock times would be wrong after a clock jump.
	graceOver bool
	serving   bool
	diverged  int
	// logCaughtUp is set by a read that reached the end of the log.
	logCaughtUp bool
	peerSync    peerSync
	writer      snapshotWriter
	// publications are the pending publications, oldest first.
	publications []*publication
}

// NewStore returns an empty store.
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

// Status returns the status as last published.
func (s *Store) Status() Status { return *s.status.Load() }

// Current returns the configuration in force, nil before the first and until
// the store has caught up. Callers must not modify it.
func (s *Store) Current() *structs.Configuration { return s.status.Load().Configuration }

// Offset returns the first offset that is not folded yet.
func (s *Store) Offset() structs.LogOffset { return s.status.Load().Offset }

// Digest returns the digest of the state at Offset.
func (s *Store) Digest() uint64 { return s.status.Load().Digest }

// Revision returns the revision in force, 0 before the first.
func (s *Store) Revision() structs.Revision { return s.status.Load().Revision }

// Serving reports whether the store has caught up after it started.
func (s *Store) Serving() bool { return s.status.Load().Serving }

// Note returns the offset and digest to send with heartbeats.
func (s *Store) Note() membership.Note {
	status := s.status.Load()
	return membership.Note{ConfigurationOffset: status.Offset, ConfigurationDigest: status.Digest}
}

// Subscribe registers a listener that is called after each change of the
// status. It must be called before Start.
func (s *Store) Subscribe(listener func(Status)) {
	s.listenerMutex.Lock()
	defer s.listenerMutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// RecentVerdicts calls done with the verdicts in the window, oldest first.
func (s *Store) RecentVerdicts(done func([]Verdict)) {
	s.queue.Do(func() { done(append([]Verdict(nil), s.state.Verdicts...)) })
}

// OperationVerdict calls done with the verdict on an operation, and false if it
// is not in the window.
func (s *Store) OperationVerdict(id string, done func(Verdict, bool)) {
	s.queue.Do(func() { done(s.state.OperationVerdict(id)) })
}

// Check calls done with the verdict that a change would get now, without
// applying it.
func (s *Store) Check(change structs.Change, done func(Verdict)) {
	s.queue.Do(func() {
		verdict, _ := s.state.Check(&change)
		done(verdict)
	})
}

// Start recovers the state from the log and begins to poll it.
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

// Stop makes all timers ineffective.
func (s *Store) Stop() { s.queue.Do(func() { s.stopped = true }) }

// after runs task on the queue after d, unless the store is stopped by then.
func (s *Store) after(d time.Duration, task func()) {
	s.Clock.AfterFunc(d, func() {
		s.queue.Do(func() {
			if !s.stopped {
				task()
			}
		})
	})
}

// fold applies the entries that continue the state, skips the others, and
// reports whether it applied any.
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

// adopt replaces the state by one with a higher offset and reports whether it
// did.
func (s *Store) adopt(state *State) bool {
	if state.Next <= s.state.Next {
		return false
	}
	s.state = state
	s.retained.clear()
	s.afterAdvance()
	return true
}

// afterAdvance runs after each advance of the state: it publishes the status,
// completes publications, offers the entries to peers and schedules a snapshot
// if one is due.
func (s *Store) afterAdvance() {
	s.startServingIfCaughtUp()
	s.publish()
	s.completePublications()
	s.offerToPeers()
	s.scheduleSnapshotIfDue()
}

// startServingIfCaughtUp lets a starting daemon serve once its grace is over, it
// has caught up with every peer that reported an offset, and it has read the log
// to its end or, as when the log is unavailable, received the offset of a peer.
// Otherwise a restart could roll back a configuration that callers have already
// seen in force.
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

// publish stores the status and calls the listeners if it has changed.
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
