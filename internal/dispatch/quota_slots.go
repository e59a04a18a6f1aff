package dispatch

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// retryWithoutSlot is the retry delay when the tenant has reached its limit
	// of live programs.
	retryWithoutSlot = 5 * time.Second
	// slotIdleTimeout is how long a program slot stays unused before it is
	// returned.
	slotIdleTimeout = 5 * time.Second
)

// quotaSubmit is a submission that waits for a program slot.
type quotaSubmit struct {
	follower attachment
	submit   *Submit
}

// waitForProgramSlot holds back the first call of a program while its tenant
// has no slot left in this shard, and reports whether it does.
func (l *leader) waitForProgramSlot(follower attachment, submit *Submit, admission program.Admission) bool {
	started := admission.Records[0].ProgramStarted
	if started == nil || started.Key.Program.Parent() != "" {
		return false
	}
	quota := structs.QuotaKey{Tenant: started.Key.Tenant, Kind: structs.QuotaPrograms}
	if _, bounded := l.quotaLimit(quota); !bounded {
		return false
	}
	openRequest := l.quotas.requests[quota]
	returning := openRequest != nil && openRequest.returning
	if !returning && l.programsLive(quota.Tenant) < l.machine.Allowance(quota, program.WindowOf(quota.Kind, l.Clock.Now())).Granted {
		return false
	}
	request := l.requestQuota(quota, 1)
	request.submits = append(request.submits, quotaSubmit{follower: follower, submit: submit})
	return true
}

// programsLive counts a tenant's live programs in this shard, including those
// being recorded.
func (l *leader) programsLive(tenant structs.TenantName) structs.Cost {
	live := l.machine.LivePrograms(tenant)
	for key := range l.proposed {
		if key.Tenant == tenant && key.Program.Parent() == "" && l.machine.Program(key) == nil {
			live++
		}
	}
	return live
}

func (l *leader) resumeAfterSlot(waiting quotaSubmit, quota structs.QuotaKey) {
	granted := l.machine.Allowance(quota, program.WindowOf(quota.Kind, l.Clock.Now())).Granted
	if l.programsLive(quota.Tenant) < granted {
		l.submit(waiting.follower.daemon, waiting.submit)
		return
	}
	l.refuseTemporarily(waiting.follower, waiting.submit.Call, structs.Refused(structs.ReasonTenantQuota, "programs",
		"The tenant has as many live programs as it may.", retryWithoutSlot))
}

// returnProgramSlots returns unused slots, so that other shards can use them.
// The smaller total is recorded here before it is sent to the home shard.
func (l *leader) returnProgramSlots() {
	for _, quota := range l.machine.ProgramQuotas() {
		if l.quotas.requests[quota] != nil {
			continue
		}
		l.returnSlots(quota)
	}
}

func (l *leader) returnSlots(quota structs.QuotaKey) {
	now := l.Clock.Now()
	live := l.programsLive(quota.Tenant)
	allowance := l.machine.Allowance(quota, program.WindowOf(quota.Kind, now))
	if allowance.Granted <= live {
		delete(l.quotas.idleSince, quota.Tenant)
		return
	}
	since, known := l.quotas.idleSince[quota.Tenant]
	if !known {
		l.quotas.idleSince[quota.Tenant] = now
		return
	}
	if now.Sub(since) < slotIdleTimeout {
		return
	}
	delete(l.quotas.idleSince, quota.Tenant)
	ask := structs.QuotaRequest{Quota: quota, Window: allowance.Window, Shard: l.shard, Held: live, Wanted: live}
	request := &openQuotaRequest{since: now, ask: ask, returning: true}
	l.quotas.requests[quota] = request
	received := &structs.QuotaReceived{Quota: quota, Window: allowance.Window, BallotNumber: l.nextBallot(), Total: live}
	l.propose([]structs.Record{{At: now, QuotaReceived: received}}, func() { l.sendQuotaRequest(request) })
}
