// Package warmup keeps the fleet from sending a cold instance more than it bears: one
// that has just started, or whose caches were lost, falls over at a rate that it takes
// with ease once it is warm.
//
// Each daemon decides for itself and no message passes. Among the daemons on record in
// the store some are chosen for each cold instance, by rendezvous; each of these sends it
// a fixed share, and all others pass it over while it is cold. The bound rests on three
// rules, for daemons that are cut off, frozen, killed or just started alike:
//
//   - A daemon sends only on a reading of the record that is at most freshFor old, and
//     only if it has found itself there for countedAfter. So all who send within one second
//     have read of each other, and rank each other alike: no more than there are seats
//     count themselves in, and those that know more daemons take smaller shares.
//   - A share is counted in the times of the last requests, over a window that is longer
//     than a second by permitLife: nothing is saved up, and windows may slide.
//   - A request that is not sent within permitLife of its choice is not sent on it: a
//     daemon that stood still chooses anew.
//
// What daemons send that have yet to hear that an instance became cold is not bounded
// here: they learn it from its entry, which is some 2 s old at most.
package warmup

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

const (
	// entryAge is how old what an instance's entry says may be when it is heard: entries
	// are written every 1.2 s at least, and read twice a second.
	entryAge = 2 * time.Second
	// unboundedCost is what being cold counts against an instance whose service tells no
	// rate that it bears then, in requests of its load: it is slow. Where there is a
	// rate, that is all that keeps requests away: each daemon knows its own load alone,
	// and by a cost of one request no daemon of many would send any to a zone that came
	// back while others still have theirs.
	unboundedCost = 1.0
	// hurryPause separates requests to read the record before its time.
	hurryPause = 300 * time.Millisecond
	// shareLimit bounds the instances whose shares are remembered; it is above the
	// number of instances of a service that can be cold at once.
	shareLimit = 2048
)

// Returns tells when a zone that operators had emptied was given back.
type Returns interface {
	// ReturnedAt returns when that was last heard, false if it never was. It must not
	// block.
	ReturnedAt(zone string) (time.Time, bool)
}

// Options are what a Limiter works with.
type Options struct {
	Terms Terms
	// Own is the address under which this daemon is on record.
	Own string
	// Returns may be nil: then no zone was ever emptied.
	Returns Returns
	Logger  zerolog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// Limiter decides whether this daemon may send a cold instance a request. It is a
// plug-in of instance.Pool, and safe for concurrent use.
type Limiter struct {
	options Options
	// limits are those of the services that have one; nil if none has.
	limits atomic.Pointer[map[string]limit]
	hurry  chan struct{}

	mutex     sync.Mutex
	roster    *roster
	shares    map[string]*share
	hurriedAt time.Time
}

// share is this daemon's of one cold instance.
type share struct {
	hash uint64
	// size is how many requests it is in each window, as of the roster's revision and
	// the service's rate.
	size     int
	revision uint64
	rate     int
	// sentAt are the times of the requests of the last window, the oldest first.
	sentAt []time.Time
	// coldUntil is the latest end of its being cold that was logged.
	coldUntil time.Time
}

// NewLimiter returns a limiter that knows no services and no daemons yet.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		options: options,
		hurry:   make(chan struct{}, 1),
		roster:  newRoster(options.Own),
		shares:  map[string]*share{},
	}
}

// TakeServices takes the services in force.
func (l *Limiter) TakeServices(services map[string]*route.Service) {
	limits := l.options.Terms.limitsOf(services)
	if limits == nil {
		l.limits.Store(nil)
		return
	}
	l.limits.Store(&limits)
}

// TakeRecord takes the addresses of the daemons on record.
func (l *Limiter) TakeRecord(addresses []string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.roster.take(addresses, now)
}

// ConfirmRecord takes note that the record taken last is the newest as of a time.
func (l *Limiter) ConfirmRecord(asOf, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.roster.confirm(asOf, now)
}

// Hurry returns a channel that asks for the record to be read at once.
func (l *Limiter) Hurry() <-chan struct{} { return l.hurry }

// Reason implements instance.Filter.
func (l *Limiter) Reason() string { return "cold" }

// IsTemporary implements instance.TemporaryFilter: an instance is cold for some seconds.
func (l *Limiter) IsTemporary() {}

// Admits implements instance.Filter.
func (l *Limiter) Admits(_ *instance.Query, candidate *instance.Instance, now time.Time) bool {
	bound, until, cold := l.cold(candidate, now)
	if !cold {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	outcome := l.judge(l.shareOf(candidate, bound, until, now), now)
	if outcome != outcomeTaken {
		l.options.Metrics.note(outcome)
	}
	return outcome == outcomeTaken
}

// Reserve implements instance.Reserver.
func (l *Limiter) Reserve(candidate *instance.Instance, now time.Time) (sendBy time.Time, reserved bool) {
	bound, until, cold := l.cold(candidate, now)
	if !cold {
		return time.Time{}, true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.shareOf(candidate, bound, until, now)
	outcome := l.judge(s, now)
	l.options.Metrics.note(outcome)
	if outcome != outcomeTaken {
		return time.Time{}, false
	}
	s.sentAt = append(s.sentAt, now)
	return now.Add(permitLife), true
}

// Cost implements instance.Scorer.
func (l *Limiter) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	if !candidate.TellsCold || !now.Before(candidate.ColdUntil()) {
		return 0
	}
	if limits := l.limits.Load(); limits != nil {
		if _, limited := (*limits)[candidate.Service]; limited {
			return 0
		}
	}
	return unboundedCost / float64(max(candidate.Slots, 1))
}

// cold returns the limit of an instance and until when it is held to it, and false if
// it is not cold or has none.
func (l *Limiter) cold(candidate *instance.Instance, now time.Time) (limit, time.Time, bool) {
	limits := l.limits.Load()
	if limits == nil {
		return limit{}, time.Time{}, false
	}
	bound, limited := (*limits)[candidate.Service]
	if !limited {
		return limit{}, time.Time{}, false
	}
	until := l.coldUntil(candidate, bound)
	return bound, until, now.Before(until)
}

// coldUntil is until when an instance is believed to be cold. Its entry has the word. An
// instance that tells nothing is cold from when it was first heard of. One in a zone that
// was given back may have become cold shortly before, when its entry was already written.
func (l *Limiter) coldUntil(candidate *instance.Instance, bound limit) time.Time {
	var until time.Time
	if candidate.TellsCold {
		until = candidate.ColdUntil()
	} else if !candidate.NewAt.IsZero() {
		until = candidate.NewAt.Add(bound.lasts)
	}
	if l.options.Returns == nil {
		return until
	}
	returnedAt, returned := l.options.Returns.ReturnedAt(candidate.Zone)
	if !returned || !candidate.HeardAt.Before(returnedAt.Add(entryAge)) {
		return until
	}
	if until.Before(returnedAt.Add(bound.lasts)) {
		until = returnedAt.Add(bound.lasts)
	}
	return until
}

// judge tells whether a share has a request left now, or why not.
func (l *Limiter) judge(s *share, now time.Time) string {
	switch {
	case s.size == 0:
		return outcomeOthers
	case !l.roster.isCounted(now):
		return outcomeNew
	case s.used(now) >= s.size:
		return outcomeSpent
	}
	age := l.roster.age(now)
	if age > renewAfter {
		l.askForRecord(now)
	}
	if age > freshFor {
		return outcomeUnconfirmed
	}
	return outcomeTaken
}

func (l *Limiter) askForRecord(now time.Time) {
	if now.Sub(l.hurriedAt) < hurryPause {
		return
	}
	l.hurriedAt = now
	select {
	case l.hurry <- struct{}{}:
	default:
	}
}

// shareOf returns this daemon's share of a cold instance by what is known now.
func (l *Limiter) shareOf(candidate *instance.Instance, bound limit, until, now time.Time) *share {
	s := l.shares[candidate.ID]
	if s == nil {
		l.forgetUnused(now)
		s = &share{hash: hashOf(candidate.ID)}
		l.shares[candidate.ID] = s
	}
	if s.revision != l.roster.revision || s.rate != bound.rate {
		s.revision, s.rate = l.roster.revision, bound.rate
		s.size = l.roster.share(s.hash, bound.rate)
	}
	if now.After(s.coldUntil) {
		l.logCold(candidate, s, until, now)
	}
	s.coldUntil = until
	return s
}

// forgetUnused makes room for another share; those that were not used lately are as new.
func (l *Limiter) forgetUnused(now time.Time) {
	if len(l.shares) < shareLimit {
		return
	}
	for id, s := range l.shares {
		if s.used(now) == 0 && now.After(s.coldUntil) {
			delete(l.shares, id)
		}
	}
}

func (l *Limiter) logCold(candidate *instance.Instance, s *share, until, now time.Time) {
	l.options.Logger.Info().Str("instance", candidate.ID).Str("zone", candidate.Zone).
		Dur("for", until.Sub(now)).Dur("entry_age", now.Sub(candidate.HeardAt)).
		Int("per_second", s.rate).Int("share", s.size).Int("daemons", len(l.roster.others)+1).
		Dur("record_age", min(l.roster.age(now), time.Hour)).Bool("counted", l.roster.isCounted(now)).
		Msg("Back end is cold. It is sent this daemon's share alone.")
}

// used returns how many requests were sent on it in the last window.
func (s *share) used(now time.Time) int {
	old := 0
	for old < len(s.sentAt) && now.Sub(s.sentAt[old]) >= window {
		old++
	}
	s.sentAt = slices.Delete(s.sentAt, 0, old)
	return len(s.sentAt)
}

var (
	_ instance.TemporaryFilter = (*Limiter)(nil)
	_ instance.Scorer          = (*Limiter)(nil)
	_ instance.Reserver        = (*Limiter)(nil)
)
