package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

// ErrOwnerUnreachable: the tenant's owner can not be asked, and this daemon has nothing of
// its own to let the request pass on.
var ErrOwnerUnreachable = eris.New("quota: the owner of the tenant's limit can not be asked")

const (
	// ownerPatience is how long the owner may say nothing until a request passes on
	// what this daemon used before: ten ways between zones, or a small owner that has
	// some requests before it. Callers' tools are to answer within 80 to 200 ms.
	fallbackDelay = 60 * time.Millisecond
	// troubledFor is how long after that no request waits for the owner first.
	ownerBackoff = 400 * time.Millisecond
	// askTime bounds a question: a lost owner is noticed and replaced meanwhile.
	askTimeout = 1500 * time.Millisecond
	// unaskedFor is how long a daemon lets requests pass that hears of no owner. The
	// store is out for some seconds, or the daemon is cut off, and then better left.
	fallbackPeriod = 10 * time.Second
	// unaskedCapacity is how many requests may pass at once then.
	fallbackCapacity = 1.0
	// usedSlots is the number of slots in which a daemon counts what it used.
	usedSlots = 10
	// gateLimit bounds the tenants that a gate remembers.
	maxTenants = 8192
)

// Owner asks the owner of a tenant's limit. It is safe for concurrent use.
type Owner interface {
	// AskQuota returns the owner's verdict. An error tells that none could be had.
	AskQuota(ctx context.Context, ask Request) (Verdict, error)
}

// Gate is a daemon's way to the owners of its callers' tenants. Where an owner can
// not be asked, a daemon lets as many requests of the tenant pass as it did before:
// daemons together then let pass what they did together, which was within the limit.
// It is safe for concurrent use.
type Gate struct {
	owner  Owner
	window time.Duration
	// begun is when slots are counted from: the time of day may jump.
	startedAt time.Time

	mutex   sync.Mutex
	tenants map[string]*usage
}

// NewGate returns a gate; terms are the operators'.
func NewGate(owner Owner, tolerance Tolerance) *Gate {
	return &Gate{owner: owner, window: tolerance.Window, startedAt: time.Now(), tenants: map[string]*usage{}}
}

// usage is what this daemon let pass of one tenant's requests.
type usage struct {
	// slots count them by time; newest is the number of the slot of the latest.
	slots  [usedSlots]int
	newest int64
	// troubledAt is when the owner was last silent, zero if it answered since, and
	// lostAt when it was first.
	lastSilentAt time.Time
	silentSince  time.Time
	// unasked is what requests pass on meanwhile.
	fallback tokenbucket.Bucket
}

type answer struct {
	verdict Verdict
	err     error
}

// Admit asks the owner for a request. It returns its verdict, or ErrOwnerUnreachable once it
// is certain that none can be had, or ctx ends.
func (g *Gate) Admit(ctx context.Context, ask Request) (Verdict, error) {
	answers := make(chan answer, 1)
	go func() {
		// A takeover that the question sets off is of use to later ones, too.
		asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer cancel()
		verdict, err := g.owner.AskQuota(asking, ask)
		answers <- answer{verdict, err}
	}()
	ownerTimer := time.NewTimer(g.ownerTimeout(ask.Tenant, time.Now()))
	defer ownerTimer.Stop()
	for {
		select {
		case got := <-answers:
			return g.handleAnswer(ask, got)
		case <-ownerTimer.C:
			after := g.admitWithoutOwner(ask.Tenant, time.Now())
			if after == 0 {
				return Verdict{Admitted: true, Reason: ReasonOwnerSilent}, nil
			}
			ownerTimer.Reset(after)
		case <-ctx.Done():
			return Verdict{}, eris.Wrapf(ErrOwnerUnreachable, "%v", context.Cause(ctx))
		}
	}
}

// Refund gives back what a request was admitted on that did not run. It returns at
// once. One whose word is lost only makes the owner refuse a request too many.
func (g *Gate) Refund(ask Request) {
	ask.Refund = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		_, _ = g.owner.AskQuota(ctx, ask) // nobody waits for it; see above
	}()
}

// take takes the owner's answer.
func (g *Gate) handleAnswer(ask Request, got answer) (Verdict, error) {
	now := time.Now()
	if got.err != nil {
		if g.admitWithoutOwner(ask.Tenant, now) == 0 {
			return Verdict{Admitted: true, Reason: ReasonOwnerSilent}, nil
		}
		return Verdict{}, eris.Wrapf(ErrOwnerUnreachable, "%v", got.err)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.usageOf(ask.Tenant)
	u.lastSilentAt, u.silentSince = time.Time{}, time.Time{}
	if got.verdict.Admitted {
		u.count(g.slot(now))
	}
	return got.verdict, nil
}

// patience is how long the owner is waited for before a request may pass without it.
func (g *Gate) ownerTimeout(tenant string, now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.usageOf(tenant)
	if !u.lastSilentAt.IsZero() && now.Sub(u.lastSilentAt) < ownerBackoff {
		return 0
	}
	return fallbackDelay
}

// passUnasked lets a request pass on what this daemon used before, if that has room,
// and returns 0; or else it returns when to try again.
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

// usageOf returns what is known of a tenant; the mutex must be held.
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

// count counts a request in a slot.
func (u *usage) count(slot int64) {
	u.forget(slot)
	u.slots[slot%usedSlots]++
}

// used returns how many passed within a window before the end of a slot.
func (u *usage) used(slot int64) int {
	u.forget(slot)
	total := 0
	for _, count := range u.slots {
		total += count
	}
	return total
}

// forget drops what passed more than a window before a slot.
func (u *usage) forget(slot int64) {
	if slot-u.newest >= usedSlots || slot < u.newest {
		u.slots = [usedSlots]int{}
		u.newest = slot
	}
	for ; u.newest < slot; u.newest++ {
		u.slots[(u.newest+1)%usedSlots] = 0
	}
}
