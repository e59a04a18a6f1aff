package schedule

import (
	"time"

	"github.com/google/btree"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// tenantAccount tracks a tenant's use of engines in virtual time: one virtual
// second passes when the tenant has used what its share grants in a second.
type tenantAccount struct {
	name        structs.TenantName
	share       float64
	virtualTime float64
	waiting     int
	// penalty delays the tenant's calls, in seconds.
	penalty float64
	active  bool
}

// fairness keeps the accounts of all tenants, for weighted fair sharing of
// engine time.
type fairness struct {
	enabled   bool
	tolerance float64
	accounts  map[structs.TenantName]*tenantAccount
	// active orders tenants with waiting calls by their virtual time.
	active       *btree.BTreeG[*tenantAccount]
	activeShares float64
	// virtualNow is the least virtual time of the active tenants; it never
	// decreases.
	virtualNow float64
}

func newFairness(profile Profile) *fairness {
	return &fairness{
		enabled:   profile.FairShares,
		tolerance: profile.ShareTolerance.Seconds(),
		accounts:  map[structs.TenantName]*tenantAccount{},
		active: btree.NewG(treeDegree, func(a, b *tenantAccount) bool {
			if a.virtualTime != b.virtualTime {
				return a.virtualTime < b.virtualTime
			}
			return a.name < b.name
		}),
	}
}

func (f *fairness) account(name structs.TenantName) *tenantAccount {
	known := f.accounts[name]
	if known == nil {
		known = &tenantAccount{name: name, share: 1}
		f.accounts[name] = known
	}
	return known
}

// callAdded records that a call of the tenant waits. A tenant that becomes
// active starts at virtualNow at least, so that it earns no credit for idle
// time.
func (f *fairness) callAdded(account *tenantAccount, share float64) {
	account.waiting++
	if account.active {
		return
	}
	account.share = share
	account.virtualTime = max(account.virtualTime, f.virtualNow)
	account.active = true
	f.activeShares += share
	f.active.ReplaceOrInsert(account)
	f.advance()
}

// callRemoved records that a call of the tenant no longer waits.
func (f *fairness) callRemoved(account *tenantAccount) {
	account.waiting--
	if account.waiting > 0 || !account.active {
		return
	}
	f.active.Delete(account)
	account.active = false
	f.activeShares -= account.share
	f.advance()
}

// minimumEngines is the least number of engines' worth of work that a daemon is
// assumed to assign.
const minimumEngines = 0.25

// charge adds engine time to the account of a tenant that has waiting calls or
// just lost its last. engines is the number of engines' worth of work that this
// daemon assigns.
func (f *fairness) charge(account *tenantAccount, engineSeconds, engines float64) {
	shares := f.activeShares
	if account.active {
		f.active.Delete(account)
	} else {
		shares += account.share
	}
	account.virtualTime += engineSeconds * shares / (account.share * max(engines, minimumEngines))
	if account.active {
		f.active.ReplaceOrInsert(account)
	}
	f.advance()
}

func (f *fairness) advance() {
	if least, found := f.active.Min(); found {
		f.virtualNow = max(f.virtualNow, least.virtualTime)
	}
}

// penaltyWeight is the delay in seconds for each second that a tenant is ahead
// of its share beyond the tolerance. It exceeds 1 because a queue policy lets
// long-running programs gain up to its bound: at a weight of 1, a tenant with
// such programs could stay that far ahead of all others.
const penaltyWeight = 8

// penaltyOf returns the delay of a tenant's calls in seconds.
func (f *fairness) penaltyOf(account *tenantAccount) float64 {
	if !f.enabled {
		return 0
	}
	return penaltyWeight * max(account.virtualTime-f.virtualNow-f.tolerance, 0)
}

// mostOverShare returns the tenant whose part of the queue is largest relative
// to its share, counting one more call of the newcomer.
func (f *fairness) mostOverShare(newcomer *tenantAccount) *tenantAccount {
	worst, worstUse := newcomer, float64(newcomer.waiting+1)/newcomer.share
	f.active.Ascend(func(account *tenantAccount) bool {
		if use := float64(account.waiting) / account.share; account != newcomer && use > worstUse {
			worst, worstUse = account, use
		}
		return true
	})
	return worst
}

// dequeueRate tracks how fast calls leave the queue.
type dequeueRate struct {
	rate rate
}

// Bounds on the retry delay of refusals.
const (
	minimumRetryAfter = 500 * time.Millisecond
	maximumRetryAfter = 60 * time.Second
)

// retryAfter estimates how long it takes to serve the waiting calls.
func (d *dequeueRate) retryAfter(waiting int, now time.Time) time.Duration {
	perSecond := d.rate.current(now)
	if perSecond <= 0 {
		return maximumRetryAfter
	}
	after := time.Duration(float64(waiting) / perSecond * float64(time.Second))
	return min(max(after, minimumRetryAfter), maximumRetryAfter)
}
