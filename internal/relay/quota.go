package relay

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/quota"
)

// Quota admits the requests of tenants that have a limit.
type Quota interface {
	// Admit returns the verdict on a request. The error wraps quota.ErrUnasked: it
	// is not known whether the tenant's limit has room.
	Admit(ctx context.Context, ask quota.Ask) (quota.Verdict, error)
	// Return gives back what a request was admitted on that did not run.
	Return(ask quota.Ask)
}

// quotaState is what a call asked for by its tenant's limit, and the verdict on it.
type quotaState struct {
	asked   quota.Ask
	verdict quota.Verdict
	// admittedAfter is how long the call waited until it was admitted.
	admittedAfter time.Duration
}

// admitByQuota makes sure that the tenant's limit has room for the request. False
// means that the call was ended. A request of a program under way waits for room
// while it is still served in time then: a program that is stopped half-way has cost
// all that it used. Others are refused at once.
func (c *carrier) admitByQuota(ctx context.Context) bool {
	if !c.call.Tenant.IsLimited() {
		return true
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.beginUntil(started))
	defer cancel()
	ask := c.quotaAsk()
	c.quota.asked = ask
	for {
		verdict, err := c.relay.Quota.Admit(ctx, ask)
		c.quota.verdict = verdict
		switch {
		case err != nil:
			c.refuseUnasked(ctx, err, started)
			return false
		case verdict.Admitted:
			c.quota.admittedAfter = time.Since(started)
			return true
		case !c.waitForQuota(ctx, ask, verdict):
			c.refuse(Refusal{Reason: ReasonQuota, RetryAfter: verdict.After(), Detail: "The tenant's limit has no room for the request."})
			return false
		}
	}
}

func (c *carrier) quotaAsk() quota.Ask {
	ask := quota.Ask{
		Tenant:  c.call.Tenant.Name,
		Limit:   quota.Limit{PerSecond: c.call.Tenant.PerSecond, Burst: c.call.Tenant.Burst},
		Version: c.routesVersion(),
		Route:   c.call.Route.Name,
	}
	if program := c.call.Program; program != nil {
		ask.Program = program.ID
		ask.Begins = c.call.Route.Kind == kindStream && program.Previous == "" && c.call.ResumeAfter == "" &&
			c.relay.sessions.find(program) == ""
	}
	return ask
}

// returnQuota gives back what the call was admitted on, if no instance was offered it:
// a program that has spent its budget asks again and again.
func (c *carrier) returnQuota() {
	if c.quota.verdict.Reason == quota.ReasonRoom && c.offers == 0 {
		c.relay.Quota.Return(c.quota.asked)
	}
}

// waitForQuota waits until the limit may have room. False means that the request is
// not to wait for that.
func (c *carrier) waitForQuota(ctx context.Context, ask quota.Ask, verdict quota.Verdict) bool {
	if ask.Begins || ask.Program == "" {
		return false
	}
	if until, bounded := ctx.Deadline(); bounded && time.Now().Add(verdict.After()).After(until) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(verdict.After()):
		return true
	}
}

// refuseUnasked ends a call for which the owner of the tenant's limit can not be
// asked.
func (c *carrier) refuseUnasked(ctx context.Context, err error, started time.Time) {
	if isStopBound(ctx) {
		c.refuse(stopping)
		return
	}
	c.logger.Info().Err(err).Msg("Owner of the tenant's limit not asked.")
	c.decide(admission.ShardMoving, started, time.Now())
	c.refuse(Refusal{Reason: ReasonQuotaUnknown, RetryAfter: c.returnAfter(), Detail: "The tenant's limit can not be asked for."})
}
