package quota

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

const (
	// idleScanInterval is the pause between scans for ended programs.
	idleScanInterval = 500 * time.Millisecond
	// maxPrograms bounds the programs tracked for a tenant. Under limits of some hundred
	// requests a second, more cannot be under way.
	maxPrograms = 4096
	// maxRetryAfter bounds the retry delay that is given to a caller.
	maxRetryAfter = 5 * time.Second
)

// horizons are the times ahead at which the bucket must still have tokens for the
// running programs if a further one starts.
var horizons = [...]time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second}

// Limiter decides on the requests of the tenants that one shard owns. The caller
// passes in the time. It is not safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	// firstOwner: the shard had no owner before this one. ownerSince is when this one
	// took over.
	firstOwner bool
	ownerSince time.Time
	// fillsFrom is when buckets begin to fill.
	fillsFrom time.Time
	tenants   map[string]*bucket
	forecast  forecast
}

// NewLimiter returns the limiter of an owner that takes over now. With firstOwner,
// there was no owner before and buckets start full.
func NewLimiter(tolerance Tolerance, firstOwner bool, now time.Time) *Limiter {
	return &Limiter{tolerance: tolerance, firstOwner: firstOwner, ownerSince: now, fillsFrom: now, tenants: map[string]*bucket{}}
}

// AwaitFormer makes the limiter start as the successor of an owner that may not know that it was
// replaced: buckets begin to fill once that has stopped deciding.
func (l *Limiter) AwaitFormer() { l.fillsFrom = l.ownerSince.Add(OwnerOverlap) }

// bucket is the token bucket of one tenant, with its running programs.
type bucket struct {
	tokenbucket.Bucket
	limit   Limit
	version int64
	// programs are the running ones; byRoute counts them by route.
	programs  map[string]*program
	byRoute   map[string]int
	scannedAt time.Time
}

// program is a program that made requests recently.
type program struct {
	route    string
	requests int
	firstAt  time.Time
	lastAt   time.Time
}

// Decide admits a request, or returns when a similar one would be admitted. For a
// refund it returns the token.
func (l *Limiter) Decide(request Request, now time.Time) Verdict {
	b := l.bucketOf(request, now)
	b.Refill(now)
	if now.Sub(b.scannedAt) >= idleScanInterval {
		b.scannedAt = now
		l.endIdlePrograms(b, now)
	}
	known := b.programs[request.Program]
	if request.Refund {
		b.refund(known)
	}
	verdict := Verdict{Tokens: b.Tokens, Programs: len(b.programs)}
	switch {
	case request.Refund:
		return verdict
	case b.Tokens < 1:
		verdict.Reason = ReasonExhausted
		verdict.RetryAfterMS = b.timeUntil(1).Milliseconds() + 1
		return verdict
	case known == nil && request.MayStartProgram && l.knowsAllPrograms(now):
		if wait := l.timeUntilRoom(b, request.Route); wait > 0 {
			verdict.Reason = ReasonProgramsUnderWay
			verdict.RetryAfterMS = wait.Milliseconds() + 1
			return verdict
		}
	}
	b.Tokens--
	b.record(request, known, now)
	verdict.Admitted, verdict.Reason = true, ReasonAdmitted
	return verdict
}

// bucketOf returns a tenant's bucket, updated to the newest limit received.
func (l *Limiter) bucketOf(request Request, now time.Time) *bucket {
	b := l.tenants[request.Tenant]
	if b == nil {
		b = &bucket{scannedAt: now, programs: map[string]*program{}, byRoute: map[string]int{}}
		b.UpdatedAt = l.fillsFrom
		b.Tokens = b.setLimit(request, l.tolerance).initial
		if l.firstOwner {
			b.Tokens = b.Capacity
		}
		b.Refill(now)
		l.tenants[request.Tenant] = b
	}
	if request.Version > b.version && request.Limit != b.limit {
		b.Refill(now)
		b.setLimit(request, l.tolerance)
	}
	b.version = max(b.version, request.Version)
	return b
}

// setLimit applies a limit and returns the resulting bounds.
func (b *bucket) setLimit(request Request, tolerance Tolerance) bounds {
	b.limit, b.version = request.Limit, request.Version
	made := tolerance.boundsOf(request.Limit)
	b.Rate, b.Capacity = made.rate, made.capacity
	b.Tokens = min(b.Tokens, b.Capacity)
	return made
}

// refund returns the token of an admitted request that did not run.
func (b *bucket) refund(known *program) {
	b.Tokens = min(b.Tokens+1, b.Capacity)
	if known != nil && known.requests > 0 {
		known.requests--
	}
}

// timeUntil returns the time until the bucket holds a number of tokens, at most
// maxRetryAfter.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	return min(b.TimeToFill(max(tokens-b.Tokens, 0)), maxRetryAfter)
}

// knowsAllPrograms reports whether every running program has been seen here. For
// idleAfter after a takeover, an unknown program may have started at the former owner.
func (l *Limiter) knowsAllPrograms(now time.Time) bool {
	return l.firstOwner || now.Sub(l.ownerSince) >= idleAfter
}

// timeUntilRoom returns when a new program of a route fits in beside the running ones,
// 0 if it does now. Cutting a program short wastes all that it has used, so programs
// are refused at their start rather than half-way.
func (l *Limiter) timeUntilRoom(b *bucket, route string) time.Duration {
	if len(b.programs) == 0 {
		return 0 // otherwise a program that needs more than a full bucket would never start
	}
	var longest time.Duration
	for _, horizon := range horizons {
		needed := l.forecast.forRoute(route).requestsWithin(horizon)
		for running, count := range b.byRoute {
			needed += float64(count) * l.forecast.forRoute(running).remainingWithin(horizon)
		}
		if available := b.Tokens + b.Rate*horizon.Seconds(); needed > available {
			longest = max(longest, b.TimeToFill(needed-available))
		}
	}
	return min(longest, maxRetryAfter)
}

// record counts an admitted request for its program.
func (b *bucket) record(request Request, known *program, now time.Time) {
	if request.Program == "" {
		return
	}
	if known == nil {
		if len(b.programs) >= maxPrograms {
			return
		}
		known = &program{route: request.Route, firstAt: now}
		b.programs[request.Program] = known
		b.byRoute[known.route]++
	}
	known.requests++
	known.lastAt = now
}

// endIdlePrograms removes the programs that have ended and updates the forecast from
// them.
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
