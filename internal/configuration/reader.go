package configuration

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
)

const (
	// maximumReadEntries bounds the entries of one read.
	maximumReadEntries = 100
	// membersAtPollInterval is the fleet size up to which each daemon polls the
	// log at Settings.PollInterval. In a larger fleet the interval grows with the
	// size, which keeps the total rate of reads constant.
	membersAtPollInterval = 8
	// jitterFraction spreads the reads of daemons that started together.
	jitterFraction = 0.2
)

// poll reads the log and schedules the next read.
func (s *Store) poll() {
	if s.Guards.SkipDissemination && s.serving {
		return
	}
	from := s.state.Next
	if s.Guards.AcceptOlder {
		s.rereadAll(NewState())
		return
	}
	s.Log.Read(framework.StreamConfiguration, from, maximumReadEntries, func(entries []framework.LogEntry, err error) {
		s.queue.Do(func() { s.handleRead(entries, err) })
	})
}

// readOnce reads the log outside the regular polling.
func (s *Store) readOnce() {
	s.Log.Read(framework.StreamConfiguration, s.state.Next, maximumReadEntries, func(entries []framework.LogEntry, err error) {
		s.queue.Do(func() {
			if !s.stopped && err == nil {
				s.fold(entries)
			}
		})
	})
}

func (s *Store) handleRead(entries []framework.LogEntry, err error) {
	if s.stopped {
		return
	}
	if err != nil {
		s.Logger.Debug().Err(err).Msg("Configuration log could not be read.")
		s.after(s.interval(), s.poll)
		return
	}
	if s.fold(entries) && len(entries) == maximumReadEntries {
		s.poll()
		return
	}
	if len(entries) < maximumReadEntries {
		s.logCaughtUp = true
		s.startServingIfCaughtUp()
	}
	s.after(s.interval(), s.poll)
}

// interval returns the pause before the next read, with jitter.
func (s *Store) interval() time.Duration {
	members := 1 + len(s.Peers())
	interval := s.Settings.PollInterval * time.Duration(max(members, membersAtPollInterval)) / membersAtPollInterval
	interval = min(interval, max(s.Settings.MaximumPollInterval, s.Settings.PollInterval))
	jitter := 1 + jitterFraction*(2*s.random.Float64()-1)
	return time.Duration(float64(interval) * jitter)
}

// rereadAll implements the fault of Guards.AcceptOlder: it folds the log from
// the beginning and replaces the state by the result, even if that is older.
func (s *Store) rereadAll(fresh *State) {
	s.Log.Read(framework.StreamConfiguration, fresh.Next, maximumReadEntries, func(entries []framework.LogEntry, err error) {
		s.queue.Do(func() { s.handleReread(fresh, entries, err) })
	})
}

func (s *Store) handleReread(fresh *State, entries []framework.LogEntry, err error) {
	if s.stopped {
		return
	}
	before := fresh.Next
	for _, entry := range entries {
		fresh.Fold(entry)
	}
	if err == nil && fresh.Next > before && len(entries) == maximumReadEntries {
		s.rereadAll(fresh)
		return
	}
	if err == nil {
		s.state = fresh
		s.retained.clear()
		s.logCaughtUp = true
		s.startServingIfCaughtUp()
		s.publish()
	}
	s.after(s.interval(), s.poll)
}
