package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// waitForBudget holds back a call while its tenant's allowance in this shard
// does not cover it, and reports whether it does.
func (l *leader) waitForBudget(p *program.Program, active *activeCall) bool {
	quota := structs.QuotaKey{Tenant: active.key.Tenant, Kind: structs.QuotaSpending}
	if _, bounded := l.quotaLimit(quota); !bounded {
		return false
	}
	open := l.openCall(active)
	if open == nil {
		return false
	}
	price := l.priceOf(p, active.call)
	reservation, refusal := l.machine.Reserve(p, l.describeAttempt(active, open, price))
	if refusal != nil || !l.exceedsAllowance(active, reservation.Cost) {
		return false
	}
	active.stage = stageWaitingForQuota
	request := l.requestQuota(quota, reservation.Cost)
	request.calls = append(request.calls, active)
	return true
}

func (l *leader) exceedsAllowance(active *activeCall, cost structs.Cost) bool {
	quota := structs.QuotaKey{Tenant: active.key.Tenant, Kind: structs.QuotaSpending}
	if _, bounded := l.quotaLimit(quota); !bounded || l.Guards.SkipBudget {
		return false
	}
	allowance := l.machine.Allowance(quota, program.WindowOf(quota.Kind, l.Clock.Now()))
	return allowance.Granted-allowance.Used < cost
}

func (l *leader) resumeAfterQuota(active *activeCall, result quotaResult) {
	p, open := l.machine.Program(active.key), l.openCall(active)
	if open == nil {
		return
	}
	reservation, refusal := l.machine.Reserve(p, l.describeAttempt(active, open, l.priceOf(p, active.call)))
	if result != quotaExtended && refusal == nil && l.exceedsAllowance(active, reservation.Cost) {
		now := l.Clock.Now()
		retryAfter := program.WindowEnd(program.WindowOf(structs.QuotaSpending, now)).Sub(now)
		message := "The tenant's budget for this hour is spent or reserved."
		if result == quotaUnanswered {
			retryAfter, message = quotaTimeout, "The tenant's budget could not be asked for."
		}
		l.settle(active, l.amendIfMayHaveRun(active, structs.Refused(structs.ReasonTenantQuota, "budget_per_hour", message, retryAfter)))
		return
	}
	active.stage = stageWaiting
	l.advance(active.key)
}
