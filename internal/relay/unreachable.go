package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

const (
	// tryTime bounds a try to connect to an instance that is silent: the system there
	// answers it, however busy the instance is, within some ways to another region.
	tryTime = 200 * time.Millisecond
	// triesInVain in a row tell that the instance is not reached: one may be lost.
	triesInVain = 2
	// tryAgainAfter is when an instance that was reached is tried again that stays
	// silent: a new connection costs it a moment, and a burst makes all silent.
	tryAgainAfter = 2 * time.Second
)

// tried is what tries to connect to an instance tell. Its silences' mutex guards it.
type tried struct {
	underway bool
	// failures counts those in vain since one that was not; the first of them began at
	// since. at is when the latest ended.
	failures  int
	since, at time.Time
}

// isReached tells whether the instance of a silent offer can be reached as far as is
// known, and tries to connect to it if that is due.
func (s *silences) isReached(u *underway, now time.Time) bool {
	t := s.tried[u.target.ID]
	if t == nil {
		t = &tried{}
		s.tried[u.target.ID] = t
	}
	if t.since.Before(u.waitingSince) {
		t.failures = 0 // it was heard since
	}
	due := t.failures > 0 || now.Sub(t.at) >= tryAgainAfter
	if due && !t.underway {
		t.underway = true
		go s.try(u.target, t, now)
	}
	return t.failures < triesInVain
}

func (s *silences) try(target instance.Instance, t *tried, began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), tryTime)
	defer cancel()
	err := s.relay.Driver.Connect(ctx, target, s.relay.connectionLimit(target.Service))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.underway = false
	t.at = time.Now()
	switch {
	case err == nil || errors.Is(err, httpconn.ErrNoConnection):
		t.failures = 0
	default:
		if t.failures == 0 {
			t.since = began
		}
		t.failures++
	}
}

// Try connects to an instance of a zone, and takes note that the zone can be reached if
// that can be done. It implements reach.Connections.
func (r *Relay) Try(zone string) {
	target, found := r.Pool.AnyIn(zone)
	if !found {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tryTime)
		defer cancel()
		if r.Driver.Connect(ctx, target, r.connectionLimit(target.Service)) == nil {
			r.Zones.Heard(zone, time.Now())
		}
	}()
}

// forgetTries drops what is known of instances at which no offer waits.
func (s *silences) forgetTries(now time.Time) {
	for id, t := range s.tried {
		if !t.underway && now.Sub(t.at) > tryAgainAfter {
			delete(s.tried, id)
		}
	}
}
