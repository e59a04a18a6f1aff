package relay

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/quota"
)

// Quota admits the requests of tenants that have a limit.
type Quota interface {
	// Admit returns the verdict on a request. An error wraps quota.ErrOwnerUnreachable: the owner of
	// the tenant's limit could not be asked.
	Admit(ctx context.Context, ask quota.Request) (quota.Verdict, error)
	// Refund returns the quota of a request that was admitted but did not run.
	Refund(ask quota.Request)
}

// quotaState is a call's request for quota, and the verdict on it.
type quotaState struct {
	asked   quota.Request
	verdict quota.Verdict
	// admittedAfter is how long the call waited to be admitted.
	admittedAfter time.Duration
}

// admitByQuota requests quota for the call. It returns false if the call was ended. A
// request of an ongoing program waits for quota as long as it can still be served in time:
// stopping a program halfway wastes what it has used. Other requests are refused at once.
func (c *callHandler) admitByQuota(ctx context.Context) bool {
	if !c.call.Tenant.IsLimited() {
		return true
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.beginDeadline(started))
	defer cancel()
	ask := c.quotaRequest()
	c.quota.asked = ask
	for {
		verdict, err := c.relay.Quota.Admit(ctx, ask)
		c.quota.verdict = verdict
		switch {
		case err != nil:
			c.refuseQuotaUnknown(ctx, err, started)
			return false
		case verdict.Admitted:
			c.quota.admittedAfter = time.Since(started)
			return true
		case !c.waitForQuota(ctx, ask, verdict):
			c.refuse(Refusal{Reason: ReasonQuota, RetryAfter: verdict.RetryAfter(), Detail: "The tenant's limit has no room for the request."})
			return false
		}
	}
}

func (c *callHandler) quotaRequest() quota.Request {
	ask := quota.Request{
		Tenant:  c.call.Tenant.Name,
		Limit:   quota.Limit{PerSecond: c.call.Tenant.PerSecond, Burst: c.call.Tenant.Burst},
		Version: c.routesVersion(),
		Route:   c.call.Route.Name,
	}
	if program := c.call.Program; program != nil {
		ask.Program = program.ID
		ask.MayStartProgram = c.call.Route.Kind == kindStream && program.Previous == "" && c.call.ResumeAfter == "" &&
			c.relay.sessions.find(program) == ""
	}
	return ask
}

// refundQuota returns the call's quota if it was offered to no instance: otherwise a
// program that has spent its budget and keeps asking would use up its tenant's limit.
func (c *callHandler) refundQuota() {
	if c.quota.verdict.Reason == quota.ReasonAdmitted && c.offers == 0 {
		c.relay.Quota.Refund(c.quota.asked)
	}
}

// waitForQuota waits until the limit may have room. It returns false if the request should
// not wait.
func (c *callHandler) waitForQuota(ctx context.Context, ask quota.Request, verdict quota.Verdict) bool {
	if ask.MayStartProgram || ask.Program == "" {
		return false
	}
	if until, bounded := ctx.Deadline(); bounded && time.Now().Add(verdict.RetryAfter()).After(until) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(verdict.RetryAfter()):
		return true
	}
}

// refuseQuotaUnknown ends a call for which the owner of the tenant's limit could not be
// asked.
func (c *callHandler) refuseQuotaUnknown(ctx context.Context, err error, started time.Time) {
	if isPastShutdownDeadline(ctx) {
		c.refuse(stoppingRefusal)
		return
	}
	c.logger.Info().Err(err).Msg("Owner of the tenant's limit could not be asked.")
	c.decide(admission.ShardMoving, started, time.Now())
	c.refuse(Refusal{Reason: ReasonQuotaUnknown, RetryAfter: c.retryAfter(), Detail: "The tenant's limit can not be asked for."})
}
