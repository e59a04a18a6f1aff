// Package warmup limits the rate of requests that the whole fleet sends to a cold instance.
// An instance that has just started or lost its caches fails at a rate that it serves with
// ease once it is warm.
//
// Each daemon decides by itself, without messages. For each cold instance some of the
// daemons in the store's registry are chosen by rendezvous hashing. Each of these sends it
// at most a fixed share; all others skip it while it is cold. The limit also holds for
// daemons that are partitioned, paused, killed or just started, by three rules:
//
//   - A daemon sends only if its read of the registry is at most maxRosterAge old and it
//     has found itself there for membershipDelay. So all daemons that send within one
//     second know of each other and rank each other alike: their shares add up to at
//     most the rate, and those that know more daemons take smaller shares.
//   - A share is counted by the times of the last requests, over a sliding window that is
//     longer than a second by permitTTL. Unused shares do not accumulate.
//   - A request that is not sent within permitTTL of the choice of its instance is not
//     sent there: a daemon that was paused chooses again.
//
// Requests from daemons that do not know yet that an instance became cold are not limited
// here: they learn it from its entry, which is about 2 s old at most.
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
	// maxReadDelay is how long after it was written an entry may be read: entries are read
	// twice a second.
	maxReadDelay = 800 * time.Millisecond
	// coldCost is the cost of a cold instance of a service without a rate limit, in
	// requests in flight, as the instance is slow. With a rate limit nothing is added: each
	// daemon knows only its own load, which in a large fleet is below one request at most
	// instances, so that no daemon would send any to a zone that returned.
	coldCost = 1.0
	// minRefreshInterval is the minimum time between triggered reads of the registry.
	minRefreshInterval = 300 * time.Millisecond
	// maxShares is the number of shares from which on unused ones are dropped; it exceeds
	// the number of instances of a service that can be cold at once.
	maxShares = 2048
)

// ZoneReturns reports when the evacuations of zones ended. zone.Evacuations implements it.
type ZoneReturns interface {
	// ReturnedAt returns when a zone's evacuation was last known to end; false if none is
	// remembered. It must not block.
	ReturnedAt(zone string) (time.Time, bool)
}

// Options holds the configuration and dependencies of a Limiter.
type Options struct {
	Tolerance Tolerance
	// OwnAddress is the address of this daemon in the registry.
	OwnAddress string
	// Heartbeat is the interval at which instances write their entries; 0 for
	// instance.DefaultHeartbeat.
	Heartbeat time.Duration
	// ZoneReturns may be nil if no zone is ever evacuated.
	ZoneReturns ZoneReturns
	Logger      zerolog.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// Limiter decides whether this daemon may send a request to a cold instance. It is a
// plug-in of instance.Pool, and safe for concurrent use.
type Limiter struct {
	options Options
	// limits holds the limits by service, only of services that have one; nil if none has.
	limits atomic.Pointer[map[string]limit]
	// refresh triggers an immediate read of the registry.
	refresh *clock.RateLimitedSignal

	mutex  sync.Mutex
	roster *roster
	shares map[string]*share
}

// NewLimiter returns a limiter without services and daemons.
func NewLimiter(options Options) *Limiter {
	if options.Heartbeat == 0 {
		options.Heartbeat = instance.DefaultHeartbeat
	}
	return &Limiter{
		options: options,
		refresh: clock.NewRateLimitedSignal(minRefreshInterval),
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

// SetDaemons replaces the registered daemons' addresses.
func (l *Limiter) SetDaemons(addresses []string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.roster.update(addresses, now)
}

// ConfirmDaemons records that the addresses set last were current as of the given time.
func (l *Limiter) ConfirmDaemons(asOf, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.roster.confirm(asOf, now)
}

// RefreshRequests returns a channel that requests an immediate read of the registry.
func (l *Limiter) RefreshRequests() <-chan struct{} { return l.refresh.C() }

// Reason implements instance.Filter.
func (l *Limiter) Reason() string { return "cold" }

// IsTemporary implements instance.TemporaryFilter: an instance is cold for some seconds
// only.
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
	return now.Add(permitTTL), true
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
	return coldCost / float64(max(candidate.Slots, 1))
}

// limitIfCold returns the limit of an instance and until when it applies; false if the
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

// coldUntil returns the time until which an instance is considered cold: as its entry
// reports, or, if it reports nothing, for the service's cold start from when the instance
// was first seen. An instance in a zone whose evacuation ended may have become cold after
// its entry was written. Until an entry is read that cannot be older than the zone's
// return, the instance is also considered cold for the service's cold start from the
// return.
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
	if !returned || !candidate.ReceivedAt.Before(returnedAt.Add(l.options.Heartbeat+maxReadDelay)) {
		return until
	}
	if until.Before(returnedAt.Add(bound.coldFor)) {
		until = returnedAt.Add(bound.coldFor)
	}
	return until
}

// decide returns outcomeTaken if the share permits a request now, else the reason why not.
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
	if age > refreshAge {
		l.refresh.Send(now)
	}
	if age > maxRosterAge {
		return outcomeUnconfirmed
	}
	return outcomeTaken
}

// shareOf returns this daemon's share of a cold instance for the current roster and rate.
// It logs when an instance becomes cold.
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

// dropUnusedShares removes unused shares once there are maxShares. A share without requests
// in the last window equals a new one.
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
		Msg("Back end is cold. Its request rate is limited.")
}

var (
	_ instance.TemporaryFilter = (*Limiter)(nil)
	_ instance.Scorer          = (*Limiter)(nil)
	_ instance.Reserver        = (*Limiter)(nil)
)
