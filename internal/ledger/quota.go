package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/quota"
)

// tenantPrefix keeps the names of tenants apart from those of programs where both
// are hashed to shards.
const tenantPrefix = "tenant/"

// RouteConfirmations tell how lately routes, with tenants' keys, were known to be the
// newest. They are safe for concurrent use.
type RouteConfirmations interface {
	// RoutesConfirmed returns the version in force, and a time as of which it is the newest;
	// zero if none is known.
	RoutesConfirmed() (version int64, asOf time.Time)
	// ConfirmRoutes takes another daemon's word that a version was the newest as of a time.
	ConfirmRoutes(version int64, asOf time.Time)
}

// AskQuota asks the owner of a tenant's limit, the holder of the tenant's shard, for
// a request. The error wraps ErrUnavailable. Nothing of a limit is kept in the store:
// the store fences holders, and a holder begins with what is set aside for it.
func (s *Service) AskQuota(ctx context.Context, ask quota.Ask) (quota.Verdict, error) {
	shard := s.shardOf(tenantPrefix + ask.Tenant)
	asked := time.Now()
	response := s.ask(ctx, shard, Request{Quota: &ask})
	if s.Confirmations != nil && response.RoutesVersion > 0 {
		// The owner told an age after the question was asked.
		s.Confirmations.ConfirmRoutes(response.RoutesVersion, asked.Add(-time.Duration(response.RoutesAgeMS)*time.Millisecond))
	}
	if response.Result != resultOK || response.Verdict == nil {
		return quota.Verdict{}, s.heldUp(shard, response.Result)
	}
	return *response.Verdict, nil
}

// decideQuota decides for a tenant. A holder that neither reaches the store nor a
// daemon that does may have been superseded: its callers ask elsewhere.
func (h *holder) decideQuota(o operation, now time.Time) {
	if h.isIsolated() {
		h.refuse(o, resultImpaired)
		return
	}
	verdict := h.limiter.Decide(*o.request.Quota, now)
	if !o.request.Quota.Returned {
		h.metrics.decidedQuota(verdict)
	}
	if !verdict.Admitted && !o.request.Quota.Returned {
		h.logger.Debug().Str("tenant", o.request.Quota.Tenant).Str("program", o.request.Quota.Program).
			Str("reason", string(verdict.Reason)).Float64("tokens", verdict.Tokens).Int("programs", verdict.Programs).
			Float64("per_second", o.request.Quota.Limit.PerSecond).Int64("after_ms", verdict.AfterMS).Msg("Request beyond a tenant's limit.")
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
