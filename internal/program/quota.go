package program

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// QuotaWindow is the length of the window over which spending is bounded.
const QuotaWindow = time.Hour

// liveWindow is the only window of a quota of live programs, which are not counted
// over time.
const liveWindow int64 = 0

// WindowOf returns the window of a quota that contains a time.
func WindowOf(kind structs.QuotaKind, at time.Time) int64 {
	if kind == structs.QuotaPrograms {
		return liveWindow
	}
	return at.Unix() / int64(QuotaWindow/time.Second)
}

// WindowEnd returns when a spending window ends.
func WindowEnd(window int64) time.Time {
	return time.Unix((window+1)*int64(QuotaWindow/time.Second), 0)
}

// Allowance is the part of a tenant's quota that this shard may use in one window. The
// tenant's home shard grants it.
type Allowance struct {
	Quota  structs.QuotaKey `json:"quota"`
	Window int64            `json:"window"`
	// BallotNumber orders the requests for the quota; it is that of the request which the
	// grant answers.
	BallotNumber structs.Ballot `json:"order"`
	Granted      structs.Cost   `json:"granted"`
	// Used is what calls dispatched in the window reserved or cost. For program quotas
	// the live programs are counted instead.
	Used structs.Cost `json:"used"`
}

// Ledger is the home shard's account of one tenant's quota in one window: the
// allowance granted to each shard. The sum never exceeds the tenant's quota.
type Ledger struct {
	Quota         structs.QuotaKey                       `json:"quota"`
	Window        int64                                  `json:"window"`
	Totals        map[structs.ShardNumber]structs.Cost   `json:"totals"`
	BallotNumbers map[structs.ShardNumber]structs.Ballot `json:"orders"`
}

// Allowance returns the shard's allowance of a quota in a window; zero when it has none.
func (s *Shard) Allowance(quota structs.QuotaKey, window int64) Allowance {
	allowance := s.allowances[quota]
	if allowance == nil || allowance.Window != window {
		return Allowance{Quota: quota, Window: window}
	}
	current := *allowance
	if quota.Kind == structs.QuotaSpending && !s.recoveredAt.IsZero() && window <= WindowOf(quota.Kind, s.recoveredAt) {
		// What the shard spent in this window before the loss is not known.
		current.Used = max(current.Used, current.Granted)
	}
	return current
}

// LivePrograms counts a tenant's root programs that have not ended.
func (s *Shard) LivePrograms(tenant structs.TenantName) structs.Cost {
	live := structs.Cost(0)
	for key, program := range s.programs {
		if key.Tenant == tenant && key.Program.Parent() == "" && !program.Ended {
			live++
		}
	}
	return live
}

// ProgramQuotas returns the program quotas of which this shard has an allowance,
// ordered by tenant.
func (s *Shard) ProgramQuotas() []structs.QuotaKey {
	var quotas []structs.QuotaKey
	for quota, allowance := range s.allowances {
		if quota.Kind == structs.QuotaPrograms && allowance.Granted > 0 {
			quotas = append(quotas, quota)
		}
	}
	slices.SortFunc(quotas, func(a, b structs.QuotaKey) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return quotas
}

// Grant decides at the home shard on another shard's total allowance, and returns the
// record that grants it. It returns false for a request older than one
// already answered, or for a past window.
func (s *Shard) Grant(ask structs.QuotaRequest, limit structs.Cost, now time.Time) (structs.Record, bool) {
	ledger := s.ledgers[ask.Quota]
	if ledger == nil || ledger.Window < ask.Window {
		ledger = newLedger(ask.Quota, ask.Window)
	}
	if ledger.Window > ask.Window || !ledger.BallotNumbers[ask.Shard].Before(ask.BallotNumber) {
		return structs.Record{}, false
	}
	others := structs.Cost(0)
	for shard, total := range ledger.Totals {
		if shard != ask.Shard {
			others += total
		}
	}
	total := max(min(ask.Wanted, limit-others), ask.Held)
	if s.RecentlyRecovered(now) {
		// What was granted before the loss is not known.
		total = ask.Held
	}
	return structs.Record{At: now, QuotaGranted: &structs.QuotaGranted{
		Quota:        ask.Quota,
		Window:       ask.Window,
		Shard:        ask.Shard,
		BallotNumber: ask.BallotNumber,
		Total:        total,
	}}, true
}

func newLedger(quota structs.QuotaKey, window int64) *Ledger {
	return &Ledger{
		Quota:         quota,
		Window:        window,
		Totals:        map[structs.ShardNumber]structs.Cost{},
		BallotNumbers: map[structs.ShardNumber]structs.Ballot{},
	}
}

func (s *Shard) applyQuotaGranted(granted *structs.QuotaGranted) {
	ledger := s.ledgers[granted.Quota]
	if ledger == nil || ledger.Window < granted.Window {
		ledger = newLedger(granted.Quota, granted.Window)
		s.ledgers[granted.Quota] = ledger
	}
	if ledger.Window != granted.Window || !ledger.BallotNumbers[granted.Shard].Before(granted.BallotNumber) {
		return
	}
	ledger.Totals[granted.Shard] = granted.Total
	ledger.BallotNumbers[granted.Shard] = granted.BallotNumber
}

// applyQuotaReceived sets the shard's allowance. An answer to an older request changes
// nothing: its grant may have been returned since.
func (s *Shard) applyQuotaReceived(received *structs.QuotaReceived) {
	allowance := s.allowances[received.Quota]
	if allowance == nil || allowance.Window < received.Window {
		allowance = &Allowance{Quota: received.Quota, Window: received.Window}
		s.allowances[received.Quota] = allowance
	}
	if allowance.Window != received.Window || !allowance.BallotNumber.Before(received.BallotNumber) {
		return
	}
	allowance.Granted = received.Total
	allowance.BallotNumber = received.BallotNumber
}

// chargeAllowance adds to what the tenant has used of its allowance in a window. A
// negative amount releases a reservation.
func (s *Shard) chargeAllowance(tenant structs.TenantName, window int64, amount structs.Cost) {
	allowance := s.allowances[structs.QuotaKey{Tenant: tenant, Kind: structs.QuotaSpending}]
	if allowance == nil || allowance.Window != window {
		return
	}
	allowance.Used += amount
}
