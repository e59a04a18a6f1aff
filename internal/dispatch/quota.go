package dispatch

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// quotaSlices is the divisor of a tenant's quota that gives the reserve in
	// a request: asking for this much more than is needed keeps requests rare,
	// and still leaves quota for other shards.
	quotaSlices = 64
	// quotaRetry is the interval after which an unanswered request is sent
	// again.
	quotaRetry = 300 * time.Millisecond
	// quotaTimeout is how long calls wait for a larger allowance before they
	// are refused.
	quotaTimeout = 5 * time.Second
)

// quotaState tracks a leader's requests to tenants' home shards and, as a home
// shard, the allowances that it is granting. It need not survive a takeover:
// totals and the order of requests are recorded.
type quotaState struct {
	// count numbers the requests of this leadership.
	count    uint64
	requests map[structs.QuotaKey]*openQuotaRequest
	// granting marks quotas for which a grant is being recorded. The next grant
	// must be computed from a ledger that contains it.
	granting map[structs.QuotaKey]bool
	// idleSince is when a tenant's program slots were first seen unused.
	idleSince map[structs.TenantName]time.Time
}

// openQuotaRequest is an open request with the calls and submissions that wait for
// its answer.
type openQuotaRequest struct {
	// sentTotal is the total requested by the latest copy sent.
	sentTotal structs.Cost
	ask       structs.QuotaRequest
	since     time.Time
	// returning is set while slots are being returned; none may be taken then.
	returning bool
	calls     []*activeCall
	submits   []quotaSubmit
}

func newQuotaState() *quotaState {
	return &quotaState{
		requests:  map[structs.QuotaKey]*openQuotaRequest{},
		granting:  map[structs.QuotaKey]bool{},
		idleSince: map[structs.TenantName]time.Time{},
	}
}

// quotaHomeKey returns the key whose shard keeps a tenant's quota ledgers.
func quotaHomeKey(tenant structs.TenantName) structs.ProgramKey {
	return structs.ProgramKey{Tenant: tenant}
}

// quotaLimit returns a tenant's quota, and reports whether it is bounded.
func (l *leader) quotaLimit(quota structs.QuotaKey) (structs.Cost, bool) {
	configuration := l.Configurations.Current()
	if configuration == nil {
		return 0, false
	}
	tenant := configuration.Tenants[quota.Tenant]
	limit := tenant.BudgetPerHour
	if quota.Kind == structs.QuotaPrograms {
		limit = structs.Cost(tenant.Programs)
	}
	return limit, limit > 0
}

// requestQuota requests a larger allowance of a quota, or adds to the open
// request.
func (l *leader) requestQuota(quota structs.QuotaKey, needed structs.Cost) *openQuotaRequest {
	request := l.quotas.requests[quota]
	if request != nil {
		if !request.returning {
			request.ask.Wanted += needed
		}
		return request
	}
	window := program.WindowOf(quota.Kind, l.Clock.Now())
	allowance := l.machine.Allowance(quota, window)
	limit, _ := l.quotaLimit(quota)
	used := allowance.Used
	if quota.Kind == structs.QuotaPrograms {
		used = l.programsLive(quota.Tenant)
	}
	request = &openQuotaRequest{since: l.Clock.Now(), ask: structs.QuotaRequest{
		Quota:  quota,
		Window: window,
		Shard:  l.shard,
		Held:   allowance.Granted,
		Wanted: max(used+needed, allowance.Granted) + limit/quotaSlices,
	}}
	l.quotas.requests[quota] = request
	l.sendQuotaRequest(request)
	return request
}

// sendQuotaRequest sends a request to the home shard until it is answered or
// quotaTimeout has passed.
func (l *leader) sendQuotaRequest(request *openQuotaRequest) {
	quota := request.ask.Quota
	if l.Clock.Now().Sub(request.since) >= quotaTimeout {
		l.closeQuotaRequest(request, quotaUnanswered)
		return
	}
	request.ask.BallotNumber = l.nextBallot()
	request.sentTotal = request.ask.Wanted
	route := l.Router.Route(l.Router.Shard(quotaHomeKey(quota.Tenant)))
	if route.Leader != "" {
		l.Transport.Send(route.Leader, &QuotaRequest{Ask: request.ask})
	}
	l.after(quotaRetry, func() {
		if l.quotas.requests[quota] == request {
			l.sendQuotaRequest(request)
		}
	})
}

func (l *leader) nextBallot() structs.Ballot {
	l.quotas.count++
	return structs.Ballot{Epoch: l.leadership.Epoch(), Count: l.quotas.count}
}

// handleQuotaRequest grants an allowance at the home shard. The grant is
// recorded before the answer is sent.
func (l *leader) handleQuotaRequest(from structs.DaemonID, ask structs.QuotaRequest) {
	if l.stopped || l.quotas.granting[ask.Quota] {
		return
	}
	limit, bounded := l.quotaLimit(ask.Quota)
	if !bounded {
		limit = ask.Wanted
	}
	record, granted := l.machine.Grant(ask, limit, l.Clock.Now())
	if !granted {
		return
	}
	l.quotas.granting[ask.Quota] = true
	l.propose([]structs.Record{record}, func() {
		delete(l.quotas.granting, ask.Quota)
		l.Transport.Send(from, &QuotaAnswer{
			Quota:  ask.Quota,
			Window: ask.Window,
			Shard:  ask.Shard,
			Order:  ask.BallotNumber,
			Total:  record.QuotaGranted.Total,
		})
	})
}

// handleQuotaAnswer records a granted allowance before anything is spent of it.
// Only the answer to the latest copy of the request counts.
func (l *leader) handleQuotaAnswer(answer *QuotaAnswer) {
	request := l.quotas.requests[answer.Quota]
	if l.stopped || request == nil || request.ask.BallotNumber != answer.Order {
		return
	}
	received := &structs.QuotaReceived{Quota: answer.Quota, Window: answer.Window, BallotNumber: answer.Order, Total: answer.Total}
	l.propose([]structs.Record{{At: l.Clock.Now(), QuotaReceived: received}}, func() {
		if l.quotas.requests[answer.Quota] != request {
			return
		}
		if answer.Total < request.sentTotal {
			l.closeQuotaRequest(request, quotaExhausted)
			return
		}
		l.closeQuotaRequest(request, quotaExtended)
	})
}

// quotaResult is how a request ended.
type quotaResult int

const (
	// quotaExtended: the requested total was granted.
	quotaExtended quotaResult = iota
	// quotaExhausted: the tenant's quota is used up.
	quotaExhausted
	// quotaUnanswered: the home shard did not answer in time.
	quotaUnanswered
)

// closeQuotaRequest lets everything that waited for the request try again. When
// less than requested was granted, what the allowance does not cover is refused.
func (l *leader) closeQuotaRequest(request *openQuotaRequest, result quotaResult) {
	delete(l.quotas.requests, request.ask.Quota)
	for _, active := range request.calls {
		if active.stage == stageWaitingForQuota {
			l.resumeAfterQuota(active, result)
		}
	}
	for _, waiting := range request.submits {
		if request.returning || result == quotaExtended {
			l.submit(waiting.follower.daemon, waiting.submit)
			continue
		}
		l.resumeAfterSlot(waiting, request.ask.Quota)
	}
}
