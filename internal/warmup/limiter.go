// Package warmup limits the rate of requests that the whole fleet sends to a cold
// instance: one that has just started, or lost its caches, fails at a rate that it serves
// with ease once it is warm.
//
// Each daemon decides by itself, without messages. For each cold instance some of the
// daemons on record in the store are chosen by rendezvous hashing. Each of these sends it
// at most a fixed share; all others pass it over while it is cold. The bound rests on three
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

const (
	// maxEntryAge is how old an instance's entry may be when it is read: entries
	// are written every 1.2 s at least, and read twice a second.
	maxEntryAge = 2 * time.Second
	// unboundedCost is what counts against a cold instance of a service without a rate
	// limit, in requests of its load: it is slow. With a rate limit nothing more counts
	// against it: each daemon knows its own load only, which in a large fleet is less than
	// one request at most instances, so that none would send any to a zone that came back.
	unboundedCost = 1.0
	// refreshPause is the least time between requests to read the record early.
	refreshPause = 300 * time.Millisecond
	// maxShares is the number of shares kept from which on unused ones are dropped; it
	// is above the number of instances of a service that can be cold at once.
	maxShares = 2048
)

// Returns tells when evacuated zones were taken back; zone.Evacuations is one.
type ZoneReturns interface {
	// ReturnedAt returns when that was last heard of a zone, false if it was not. It must
	// not block.
	ReturnedAt(zone string) (time.Time, bool)
}

// Options are what a Limiter works with.
type Options struct {
	Tolerance Tolerance
	// Own is the address under which this daemon is on record.
	OwnAddress string
	// Returns may be nil: then no zone is ever evacuated.
	ZoneReturns ZoneReturns
	Logger      zerolog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// Limiter decides whether this daemon may send a cold instance a request. It is a
// plug-in of instance.Pool, and safe for concurrent use.
type Limiter struct {
	options Options
	// limits are those of the services that have one; nil if none has.
	limits atomic.Pointer[map[string]limit]
	// hurry asks for the record to be read at once.
	hurry *clock.PacedSignal

	mutex  sync.Mutex
	roster *roster
	shares map[string]*share
}

// NewLimiter returns a limiter that knows no services and no daemons yet.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		options: options,
		hurry:   clock.NewPacedSignal(refreshPause),
		roster:  newRoster(options.OwnAddress),
		shares:  map[string]*share{},
	}
}

// SetServices replaces the services and their limits.
func (l *Limiter) SetServices(services map[string]*route.Service) {
	limits := l.options.Tolerance.limitsOf(services)
	if limits == nil {
		l.limits.Store(nil)
		return
	}
	l.limits.Store(&limits)
}

// SetDaemons replaces the addresses of the daemons on record.
func (l *Limiter) SetDaemons(addresses []string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.roster.take(addresses, now)
}

// ConfirmDaemons takes note that the addresses set last were the newest as of a time.
func (l *Limiter) ConfirmDaemons(asOf, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.roster.confirm(asOf, now)
}

// Hurry returns a channel that asks for the record to be read at once.
func (l *Limiter) RefreshRequests() <-chan struct{} { return l.hurry.Asked() }

// Reason implements instance.Filter.
func (l *Limiter) Reason() string { return "cold" }

// IsTemporary implements instance.TemporaryFilter: an instance is cold for some seconds.
func (l *Limiter) IsTemporary() {}

// Admits implements instance.Filter.
func (l *Limiter) Admits(_ *instance.Query, candidate *instance.Instance, now time.Time) bool {
	bound, until, cold := l.limitIfCold(candidate, now)
	if !cold {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	outcome := l.decide(l.shareOf(candidate, bound, until, now), now)
	if outcome != outcomeTaken {
		l.options.Metrics.note(outcome)
	}
	return outcome == outcomeTaken
}

// Reserve implements instance.Reserver.
func (l *Limiter) Reserve(candidate *instance.Instance, now time.Time) (sendBy time.Time, reserved bool) {
	bound, until, cold := l.limitIfCold(candidate, now)
	if !cold {
		return time.Time{}, true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.shareOf(candidate, bound, until, now)
	outcome := l.decide(s, now)
	l.options.Metrics.note(outcome)
	if outcome != outcomeTaken {
		return time.Time{}, false
	}
	s.sentAt = append(s.sentAt, now)
	return now.Add(permitLife), true
}

// Cost implements instance.Scorer.
func (l *Limiter) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	if !candidate.HasColdFor || !now.Before(candidate.ColdUntil()) {
		return 0
	}
	if limits := l.limits.Load(); limits != nil {
		if _, limited := (*limits)[candidate.Service]; limited {
			return 0
		}
	}
	return unboundedCost / float64(max(candidate.Slots, 1))
}

// limitIfCold returns the limit of an instance and until when it applies, and false if the
// instance is not cold or its service has no limit.
func (l *Limiter) limitIfCold(candidate *instance.Instance, now time.Time) (limit, time.Time, bool) {
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

// coldUntil is until when an instance is taken to be cold: until when its entry says so,
// or, if that says nothing, for the service's cold start from when the instance was first
// heard of. An instance in a zone that was taken back may have become cold after its entry
// was written: until one is read that cannot be older than the zone's return, it is also
// taken to be cold for the service's cold start from then on.
func (l *Limiter) coldUntil(candidate *instance.Instance, bound limit) time.Time {
	var until time.Time
	if candidate.HasColdFor {
		until = candidate.ColdUntil()
	} else if !candidate.FirstSeenAt.IsZero() {
		until = candidate.FirstSeenAt.Add(bound.coldFor)
	}
	if l.options.ZoneReturns == nil {
		return until
	}
	returnedAt, returned := l.options.ZoneReturns.ReturnedAt(candidate.Zone)
	if !returned || !candidate.ReceivedAt.Before(returnedAt.Add(maxEntryAge)) {
		return until
	}
	if until.Before(returnedAt.Add(bound.coldFor)) {
		until = returnedAt.Add(bound.coldFor)
	}
	return until
}

// decide tells whether a share has a request left now, or why not.
func (l *Limiter) decide(s *share, now time.Time) string {
	switch {
	case s.allowed == 0:
		return outcomeOthers
	case !l.roster.isCounted(now):
		return outcomeNew
	case s.sentInWindow(now) >= s.allowed:
		return outcomeSpent
	}
	age := l.roster.age(now)
	if age > renewAfter {
		l.hurry.Ask(now)
	}
	if age > freshFor {
		return outcomeUnconfirmed
	}
	return outcomeTaken
}

// shareOf returns this daemon's share of a cold instance, for the roster and rate in
// force. It logs when an instance becomes cold.
func (l *Limiter) shareOf(candidate *instance.Instance, bound limit, until, now time.Time) *share {
	s := l.shares[candidate.ID]
	if s == nil {
		l.dropUnusedShares(now)
		s = &share{hash: hashOf(candidate.ID)}
		l.shares[candidate.ID] = s
	}
	if s.revision != l.roster.revision || s.rate != bound.rate {
		s.revision, s.rate = l.roster.revision, bound.rate
		s.allowed = l.roster.share(s.hash, bound.rate)
	}
	if now.After(s.coldUntil) {
		l.logCold(candidate, s, until, now)
	}
	s.coldUntil = until
	return s
}

// dropUnusedShares makes room for another share. A share without requests in the last
// window is the same as a new one.
func (l *Limiter) dropUnusedShares(now time.Time) {
	if len(l.shares) < maxShares {
		return
	}
	for id, s := range l.shares {
		if s.sentInWindow(now) == 0 && now.After(s.coldUntil) {
			delete(l.shares, id)
		}
	}
}

func (l *Limiter) logCold(candidate *instance.Instance, s *share, until, now time.Time) {
	l.options.Logger.Info().Str("instance", candidate.ID).Str("zone", candidate.Zone).
		Dur("for", until.Sub(now)).Dur("entry_age", now.Sub(candidate.ReceivedAt)).
		Int("per_second", s.rate).Int("share", s.allowed).Int("daemons", len(l.roster.others)+1).
		Dur("record_age", min(l.roster.age(now), time.Hour)).Bool("counted", l.roster.isCounted(now)).
		Msg("Back end is cold. It is sent this daemon's share alone.")
}

var (
	_ instance.TemporaryFilter = (*Limiter)(nil)
	_ instance.Scorer          = (*Limiter)(nil)
	_ instance.Reserver        = (*Limiter)(nil)
)
