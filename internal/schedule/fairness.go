package schedule

import (
	"time"

	"github.com/google/btree"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// tenantAccount follows a tenant's use of engines in virtual time: a second of
// it passes when the tenant has used what its share gives in a second.
type tenantAccount struct {
	name        structs.TenantName
	share       float64
	virtualTime float64
	waiting     int
	// penalty puts the tenant's calls back, in seconds.
	penalty float64
	active  bool
}

// fairness keeps the accounts of all tenants.
type fairness struct {
	enabled   bool
	tolerance float64
	accounts  map[structs.TenantName]*tenantAccount
	// active orders tenants with waiting calls by their virtual time.
	active       *btree.BTreeG[*tenantAccount]
	activeShares float64
	// now is the virtual time of the active tenant that has had least.
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

// joined notes that a call of the tenant waits. A tenant that waited for
// nothing has no claim on the past.
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

// left notes that a call of the tenant no longer waits.
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

// leastEngines bounds from below what a daemon is taken to have of the engines.
const minimumEngines = 0.25

// charge books engine time on a tenant that still waits or just left. engines
// is how many engines' worth of work this daemon gives out.
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

// penaltyWeight is how many seconds a tenant's calls are put back for each
// second that it ran ahead of its share beyond tolerance. Programs gain up to
// the bound of the queue policy by their age, so that at a weight of 1 a tenant
// whose programs go on for long could stay that bound ahead of all others.
const penaltyWeight = 8

// penaltyOf returns by how many seconds a tenant's calls are put back.
func (f *fairness) penaltyOf(account *tenantAccount) float64 {
	if !f.enabled {
		return 0
	}
	return penaltyWeight * max(account.virtualTime-f.virtualNow-f.tolerance, 0)
}

// mostOverShare returns the tenant that holds most of the queue for its share,
// counting one more call of a newcomer.
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

// drain follows how fast calls leave the queue.
type dequeueRate struct {
	rate rate
}

// Bounds on what a refused caller is told.
const (
	minimumRetryAfter = 500 * time.Millisecond
	maximumRetryAfter = 60 * time.Second
)

// retryAfter estimates when so many waiting calls will have been served.
func (d *dequeueRate) retryAfter(waiting int, now time.Time) time.Duration {
	perSecond := d.rate.current(now)
	if perSecond <= 0 {
		return maximumRetryAfter
	}
	after := time.Duration(float64(waiting) / perSecond * float64(time.Second))
	return min(max(after, minimumRetryAfter), maximumRetryAfter)
}
