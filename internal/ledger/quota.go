package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/quota"
)

// tenantPrefix keeps the names of tenants apart from those of programs where both
// are hashed to shards.
const tenantPrefix = "tenant/"

// AskQuota asks the owner of a tenant's limit, the holder of the tenant's shard, for
// a request. The error wraps ErrUnavailable. Nothing of a limit is kept in the store:
// the store fences holders, and a holder begins with what is set aside for it.
func (s *Service) AskQuota(ctx context.Context, ask quota.Ask) (quota.Verdict, error) {
	shard := s.shardOf(tenantPrefix + ask.Tenant)
	response := s.ask(ctx, shard, Request{Quota: &ask})
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
	h.answer(o, Response{Result: resultOK, Verdict: &verdict})
}
