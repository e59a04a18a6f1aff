package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/quota"
)

// tenantPrefix distinguishes the names of tenants from those of programs when they are
// hashed to shards.
const tenantPrefix = "tenant/"

// RouteConfirmations track how recently the routes, with tenants' keys, were known to be
// the newest. Implementations must be safe for concurrent use.
type RouteConfirmations interface {
	// RoutesConfirmed returns the version in force and the time at which it was known to be
	// the newest; zero if there is none.
	RoutesConfirmed() (version int64, asOf time.Time)
	// ConfirmRoutes records another daemon's confirmation that a version was the newest at
	// a time.
	ConfirmRoutes(version int64, asOf time.Time)
}

// AskQuota asks the owner of a tenant's limit, which is the holder of the tenant's shard,
// to admit a request. The error wraps ErrUnavailable. The state of limits is not stored:
// the store fences holders, and a new holder starts with a reserve set aside for it.
func (s *Service) AskQuota(ctx context.Context, ask quota.Request) (quota.Verdict, error) {
	shard := s.shardOf(tenantPrefix + ask.Tenant)
	asked := time.Now()
	response := s.ask(ctx, shard, Request{Quota: &ask})
	if s.Confirmations != nil && response.RoutesVersion > 0 {
		// The age is relative to a time after the question was sent.
		s.Confirmations.ConfirmRoutes(response.RoutesVersion, asked.Add(-time.Duration(response.RoutesAgeMS)*time.Millisecond))
	}
	if response.Result != resultOK || response.Verdict == nil {
		return quota.Verdict{}, s.unavailableError(shard, response.Result)
	}
	return *response.Verdict, nil
}

// decideQuota decides on a tenant's request. A holder that reaches neither the store nor a
// daemon that does may have been superseded, so its callers must ask elsewhere.
func (h *holder) decideQuota(ctx context.Context, o operation, now time.Time) {
	if h.isIsolated() {
		h.refuse(o, resultImpaired)
		return
	}
	if !h.mayDecide(now) {
		h.awaitOwnership(ctx, o)
		return
	}
	h.renewOwnership(ctx, now)
	verdict := h.limiter.Decide(*o.request.Quota, now)
	if !o.request.Quota.Refund {
		h.metrics.decidedQuota(verdict)
	}
	if !verdict.Admitted && !o.request.Quota.Refund {
		h.logger.Debug().Str("tenant", o.request.Quota.Tenant).Str("program", o.request.Quota.Program).
			Str("reason", string(verdict.Reason)).Float64("tokens", verdict.Tokens).Int("programs", verdict.Programs).
			Float64("per_second", o.request.Quota.Limit.PerSecond).Int64("after_ms", verdict.RetryAfterMS).Msg("Request exceeds the tenant's limit.")
	}
	response := Response{Result: resultOK, Verdict: &verdict}
	if h.confirmations != nil {
		if version, asOf := h.confirmations.RoutesConfirmed(); !asOf.IsZero() {
			response.RoutesVersion = version
			response.RoutesAgeMS = now.Sub(asOf).Milliseconds() + 1
		}
	}
	h.answer(o, response)
}
