package quota

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

const (
	// lookInterval separates looks for programs that have ended.
	idleScanInterval = 500 * time.Millisecond
	// programLimit bounds the programs that are remembered of a tenant: more can not
	// be under way within any limit met so far (some 100 a second).
	maxPrograms = 4096
	// longestAfter bounds what a caller is told to wait.
	maxRetryAfter = 5 * time.Second
)

// horizons are the times ahead at which programs under way must find room for a
// further one to begin: the next request, a turn with its tools, and a window.
var horizons = [...]time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second}

// Limiter decides for the tenants that one shard owns. It has no clock, and is not
// safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	// first: there was no owner before this one, which has decided since a time.
	firstOwner bool
	ownerSince time.Time
	tenants    map[string]*bucket
	forecast   forecast
}

// NewLimiter returns the limiter of an owner that decides from now on. first tells
// that there was no owner before: then buckets are full from the start.
func NewLimiter(tolerance Tolerance, firstOwner bool, now time.Time) *Limiter {
	return &Limiter{tolerance: tolerance, firstOwner: firstOwner, ownerSince: now, tenants: map[string]*bucket{}}
}

// bucket is what is left to one tenant.
type bucket struct {
	tokenbucket.Bucket
	limit   Limit
	version int64
	// programs are those under way, and byRoute counts them by route.
	programs  map[string]*program
	byRoute   map[string]int
	scannedAt time.Time
}

// program is one that made requests lately.
type program struct {
	route    string
	requests int
	firstAt  time.Time
	lastAt   time.Time
}

// Decide admits a request or tells when one like it is admitted.
func (l *Limiter) Decide(ask Request, now time.Time) Verdict {
	b := l.bucketOf(ask, now)
	b.Refill(now)
	if now.Sub(b.scannedAt) >= idleScanInterval {
		b.scannedAt = now
		l.endIdlePrograms(b, now)
	}
	known := b.programs[ask.Program]
	if ask.Refund {
		b.refund(known)
	}
	verdict := Verdict{Tokens: b.Tokens, Programs: len(b.programs)}
	switch {
	case ask.Refund:
		return verdict
	case b.Tokens < 1:
		verdict.Reason = ReasonExhausted
		verdict.RetryAfterMS = b.timeUntil(1).Milliseconds() + 1
		return verdict
	case known == nil && ask.MayStartProgram && l.knowsAllPrograms(now):
		if room := l.timeUntilRoom(b, ask.Route); room > 0 {
			verdict.Reason = ReasonProgramsUnderWay
			verdict.RetryAfterMS = room.Milliseconds() + 1
			return verdict
		}
	}
	b.Tokens--
	b.record(ask, known, now)
	verdict.Admitted, verdict.Reason = true, ReasonAdmitted
	return verdict
}

// bucketOf returns a tenant's bucket, with the newest limit that was told.
func (l *Limiter) bucketOf(ask Request, now time.Time) *bucket {
	b := l.tenants[ask.Tenant]
	if b == nil {
		b = &bucket{scannedAt: now, programs: map[string]*program{}, byRoute: map[string]int{}}
		b.UpdatedAt = l.ownerSince
		b.Tokens = b.setLimit(ask, l.tolerance).initial
		if l.firstOwner {
			b.Tokens = b.Capacity
		}
		b.Refill(now)
		l.tenants[ask.Tenant] = b
	}
	if ask.Version > b.version && ask.Limit != b.limit {
		b.Refill(now)
		b.setLimit(ask, l.tolerance)
	}
	b.version = max(b.version, ask.Version)
	return b
}

// set puts a limit in force, and returns what it makes of the bucket.
func (b *bucket) setLimit(ask Request, tolerance Tolerance) bounds {
	b.limit, b.version = ask.Limit, ask.Version
	made := tolerance.boundsOf(ask.Limit)
	b.Rate, b.Capacity = made.rate, made.capacity
	b.Tokens = min(b.Tokens, b.Capacity)
	return made
}

// giveBack takes back what a request was admitted on that did not run.
func (b *bucket) refund(known *program) {
	b.Tokens = min(b.Tokens+1, b.Capacity)
	if known != nil && known.requests > 0 {
		known.requests--
	}
}

// timeUntil is when the bucket holds so much.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	return min(b.TimeToFill(max(tokens-b.Tokens, 0)), maxRetryAfter)
}

// knowsPrograms tells whether every program under way was seen here: for some seconds
// after a takeover those that are not known may have begun at the owner before.
func (l *Limiter) knowsAllPrograms(now time.Time) bool {
	return l.firstOwner || now.Sub(l.ownerSince) >= idleAfter
}

// roomFor returns after which time a program of a route finds room beside those
// under way; 0 if it does now. A program that is stopped half-way has cost all that
// it used, and the limit ends none if no more are begun than it carries.
func (l *Limiter) timeUntilRoom(b *bucket, route string) time.Duration {
	if len(b.programs) == 0 {
		return 0 // or else a program that needs more than there ever is would never begin
	}
	var longest time.Duration
	for _, horizon := range horizons {
		wanted := l.forecast.forRoute(route).requestsWithin(horizon)
		for underway, count := range b.byRoute {
			wanted += float64(count) * l.forecast.forRoute(underway).remainingWithin(horizon)
		}
		if got := b.Tokens + b.Rate*horizon.Seconds(); wanted > got {
			longest = max(longest, b.TimeToFill(wanted-got))
		}
	}
	return min(longest, maxRetryAfter)
}

// note takes a request that was admitted.
func (b *bucket) record(ask Request, known *program, now time.Time) {
	if ask.Program == "" {
		return
	}
	if known == nil {
		if len(b.programs) >= maxPrograms {
			return
		}
		known = &program{route: ask.Route, firstAt: now}
		b.programs[ask.Program] = known
		b.byRoute[known.route]++
	}
	known.requests++
	known.lastAt = now
}

// endIdle learns from the programs that have ended, and forgets them.
func (l *Limiter) endIdlePrograms(b *bucket, now time.Time) {
	for id, p := range b.programs {
		if now.Sub(p.lastAt) >= idleAfter {
			l.forecast.observe(p)
			delete(b.programs, id)
			if b.byRoute[p.route]--; b.byRoute[p.route] == 0 {
				delete(b.byRoute, p.route)
			}
		}
	}
}
