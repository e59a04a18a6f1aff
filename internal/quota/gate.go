package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

// ErrOwnerUnreachable: the owner of the tenant's limit cannot be reached, and this
// daemon has no former rate at which to admit the request.
var ErrOwnerUnreachable = eris.New("quota: the owner of the tenant's limit cannot be reached")

const (
	// fallbackDelay is how long the owner may be silent before a request is admitted
	// at the tenant's former rate. It must exceed several round trips between zones, and
	// leave callers' tools time to answer within 80 to 200 ms.
	fallbackDelay = 60 * time.Millisecond
	// ownerBackoff is how long after such a timeout requests do not wait for the owner
	// first.
	ownerBackoff = 400 * time.Millisecond
	// askTimeout bounds a request to the owner. It leaves time to detect and replace a
	// lost owner.
	askTimeout = 1500 * time.Millisecond
	// fallbackPeriod is how long a daemon admits requests without an owner. It covers
	// a short outage of the store; a daemon that is cut off for longer admits none.
	fallbackPeriod = 10 * time.Second
	// fallbackCapacity is how many requests may be admitted at once without an owner.
	fallbackCapacity = 1.0
	// usedSlots is the number of time slots per window in which a daemon counts
	// admitted requests.
	usedSlots = 10
	// maxTenants bounds the tenants that a gate tracks.
	maxTenants = 8192
)

// Owner sends requests to the owner of a tenant's limit. It is safe for concurrent
// use.
type Owner interface {
	// AskQuota returns the owner's verdict, or an error if there is none.
	AskQuota(ctx context.Context, request Request) (Verdict, error)
}

// Gate asks the owners of tenants' limits on behalf of a daemon's callers. When an
// owner cannot be reached, the daemon admits the tenant's requests at its former rate:
// all daemons together stayed within the limit at their former rates, and still do. It
// is safe for concurrent use.
type Gate struct {
	owner  Owner
	window time.Duration
	// startedAt is the origin of the time slots, on the monotonic clock.
	startedAt time.Time

	mutex   sync.Mutex
	tenants map[string]*usage
}

// NewGate returns a gate for the operators' tolerance.
func NewGate(owner Owner, tolerance Tolerance) *Gate {
	return &Gate{owner: owner, window: tolerance.Window, startedAt: time.Now(), tenants: map[string]*usage{}}
}

// usage counts the requests of one tenant that this daemon admitted.
type usage struct {
	// slots counts them by time slot; newest is the number of the latest slot.
	slots  [usedSlots]int
	newest int64
	// lastSilentAt is when the owner last failed to answer, zero if it has answered
	// since; silentSince is when that began.
	lastSilentAt time.Time
	silentSince  time.Time
	// fallback is the bucket for requests without an owner.
	fallback tokenbucket.Bucket
}

type answer struct {
	verdict Verdict
	err     error
}

// Admit asks the owner to admit a request and returns its verdict. It returns
// ErrOwnerUnreachable if there is none and the fallback does not apply either, or when
// ctx ends.
func (g *Gate) Admit(ctx context.Context, request Request) (Verdict, error) {
	answers := make(chan answer, 1)
	go func() {
		// Detached from ctx: a takeover that this triggers also serves later requests.
		asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer cancel()
		verdict, err := g.owner.AskQuota(asking, request)
		answers <- answer{verdict, err}
	}()
	ownerTimer := time.NewTimer(g.ownerTimeout(request.Tenant, time.Now()))
	defer ownerTimer.Stop()
	for {
		select {
		case got := <-answers:
			return g.handleAnswer(request, got)
		case <-ownerTimer.C:
			after := g.admitWithoutOwner(request.Tenant, time.Now())
			if after == 0 {
				return Verdict{Admitted: true, Reason: ReasonOwnerSilent}, nil
			}
			ownerTimer.Reset(after)
		case <-ctx.Done():
			return Verdict{}, eris.Wrapf(ErrOwnerUnreachable, "%v", context.Cause(ctx))
		}
	}
}

// Refund takes back the admission of a request that did not run. It returns at once.
// If the message is lost, the owner admits one request fewer than it could.
func (g *Gate) Refund(request Request) {
	request.Refund = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		_, _ = g.owner.AskQuota(ctx, request) // a lost refund is safe
	}()
}

// handleAnswer returns the owner's verdict, or the fallback's after an error.
func (g *Gate) handleAnswer(request Request, got answer) (Verdict, error) {
	now := time.Now()
	if got.err != nil {
		if g.admitWithoutOwner(request.Tenant, now) == 0 {
			return Verdict{Admitted: true, Reason: ReasonOwnerSilent}, nil
		}
		return Verdict{}, eris.Wrapf(ErrOwnerUnreachable, "%v", got.err)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.usageOf(request.Tenant)
	u.lastSilentAt, u.silentSince = time.Time{}, time.Time{}
	if got.verdict.Admitted {
		u.count(g.slot(now))
	}
	return got.verdict, nil
}

// ownerTimeout returns how long to wait for the owner before the fallback.
func (g *Gate) ownerTimeout(tenant string, now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.usageOf(tenant)
	if !u.lastSilentAt.IsZero() && now.Sub(u.lastSilentAt) < ownerBackoff {
		return 0
	}
	return fallbackDelay
}

// admitWithoutOwner admits a request at the tenant's former rate and returns 0, or
// returns when to try again.
func (g *Gate) admitWithoutOwner(tenant string, now time.Time) (after time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.usageOf(tenant)
	u.lastSilentAt = now
	if u.silentSince.IsZero() {
		u.silentSince = now
		rate := float64(u.used(g.slot(now))) / g.window.Seconds()
		u.fallback = tokenbucket.Bucket{Rate: rate, Capacity: fallbackCapacity, Tokens: fallbackCapacity, UpdatedAt: now}
	}
	bucket := &u.fallback
	bucket.Refill(now)
	switch {
	case bucket.Rate == 0 && bucket.Tokens < 1, now.Sub(u.silentSince) > fallbackPeriod:
		return askTimeout
	case bucket.Tokens < 1:
		return bucket.TimeToFill(1-bucket.Tokens) + 1
	}
	bucket.Tokens--
	return 0
}

// usageOf returns a tenant's usage; the mutex must be held.
func (g *Gate) usageOf(tenant string) *usage {
	u := g.tenants[tenant]
	if u == nil {
		if len(g.tenants) >= maxTenants {
			clear(g.tenants)
		}
		u = &usage{}
		g.tenants[tenant] = u
	}
	return u
}

func (g *Gate) slot(now time.Time) int64 {
	return int64(now.Sub(g.startedAt)) / max(int64(g.window)/usedSlots, 1)
}

func (u *usage) count(slot int64) {
	u.forget(slot)
	u.slots[slot%usedSlots]++
}

// used returns the number of requests admitted within a window up to the end of a
// slot.
func (u *usage) used(slot int64) int {
	u.forget(slot)
	total := 0
	for _, count := range u.slots {
		total += count
	}
	return total
}

// forget clears the slots that are more than a window before a slot.
func (u *usage) forget(slot int64) {
	if slot-u.newest >= usedSlots || slot < u.newest {
		u.slots = [usedSlots]int{}
		u.newest = slot
	}
	for ; u.newest < slot; u.newest++ {
		u.slots[(u.newest+1)%usedSlots] = 0
	}
}
