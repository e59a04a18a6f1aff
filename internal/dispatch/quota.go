package dispatch

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// quotaSlices is into how many slices a tenant's quota is cut at most: few
	// enough to ask seldom, many enough to leave something for other shards.
	quotaSlices = 64
	// quotaRetry is the pause before an unanswered question is asked again.
	quotaRetry = 300 * time.Millisecond
	// quotaPatience is how long calls wait for a slice before they are refused.
	quotaPatience = 5 * time.Second
)

// quotaBroker is a leader's memory of what it asks of tenants' home shards, and,
// as a home shard, of what it is handing out. Neither needs to survive: totals
// and the order of questions are in the records.
type quotaBroker struct {
	// count numbers this leadership's questions.
	count     uint64
	questions map[structs.QuotaKey]*quotaQuestion
	// granting marks quotas of which a slice is being recorded; a second one
	// must not be worked out before the first is in the ledger.
	granting map[structs.QuotaKey]bool
	// idleSince is when a tenant's program slots were first seen unused.
	idleSince map[structs.TenantName]time.Time
}

// quotaQuestion is a question under way and who waits for its answer.
type quotaQuestion struct {
	// sentWanted is the total wanted by the latest copy that was sent.
	sentWanted structs.Cost
	ask        structs.QuotaRequest
	since      time.Time
	// returning is set while slots are given back; none may be taken then.
	returning bool
	calls     []*activeCall
	submits   []quotaSubmit
}

func newQuotaBroker() *quotaBroker {
	return &quotaBroker{
		questions: map[structs.QuotaKey]*quotaQuestion{},
		granting:  map[structs.QuotaKey]bool{},
		idleSince: map[structs.TenantName]time.Time{},
	}
}

// quotaHome returns the key whose shard keeps a tenant's ledgers.
func quotaHome(tenant structs.TenantName) structs.ProgramKey {
	return structs.ProgramKey{Tenant: tenant}
}

// quotaLimit returns a tenant's quota; false means that it is unbounded.
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

// question asks for more of a quota, unless that is under way.
func (l *leader) question(quota structs.QuotaKey, needed structs.Cost) *quotaQuestion {
	question := l.quotas.questions[quota]
	if question != nil {
		if !question.returning {
			question.ask.Wanted += needed
		}
		return question
	}
	window := program.WindowOf(quota.Kind, l.Clock.Now())
	allowance := l.machine.Allowance(quota, window)
	limit, _ := l.quotaLimit(quota)
	used := allowance.Used
	if quota.Kind == structs.QuotaPrograms {
		used = l.programsLive(quota.Tenant)
	}
	question = &quotaQuestion{since: l.Clock.Now(), ask: structs.QuotaRequest{
		Quota:  quota,
		Window: window,
		Shard:  l.shard,
		Held:   allowance.Granted,
		Wanted: max(used+needed, allowance.Granted) + limit/quotaSlices,
	}}
	l.quotas.questions[quota] = question
	l.sendQuestion(question)
	return question
}

// sendQuestion asks the home shard until it answers or patience ends.
func (l *leader) sendQuestion(question *quotaQuestion) {
	quota := question.ask.Quota
	if l.Clock.Now().Sub(question.since) >= quotaPatience {
		l.closeQuestion(question, quotaUnanswered)
		return
	}
	question.ask.BallotNumber = l.nextOrder()
	question.sentWanted = question.ask.Wanted
	route := l.Router.Route(l.Router.Shard(quotaHome(quota.Tenant)))
	if route.Leader != "" {
		l.Transport.Send(route.Leader, &QuotaAsk{Ask: question.ask})
	}
	l.after(quotaRetry, func() {
		if l.quotas.questions[quota] == question {
			l.sendQuestion(question)
		}
	})
}

func (l *leader) nextOrder() structs.Ballot {
	l.quotas.count++
	return structs.Ballot{Epoch: l.leadership.Epoch(), Count: l.quotas.count}
}

// quotaAsked hands out a slice at the home shard: it is in the ledger of a
// majority before the answer leaves.
func (l *leader) quotaAsked(from structs.DaemonID, ask structs.QuotaRequest) {
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

// quotaAnswered records a slice before anything is spent of it. Only the
// answer to the latest question counts.
func (l *leader) quotaAnswered(answer *QuotaAnswer) {
	question := l.quotas.questions[answer.Quota]
	if l.stopped || question == nil || question.ask.BallotNumber != answer.Order {
		return
	}
	received := &structs.QuotaReceived{Quota: answer.Quota, Window: answer.Window, BallotNumber: answer.Order, Total: answer.Total}
	l.propose([]structs.Record{{At: l.Clock.Now(), QuotaReceived: received}}, func() {
		if l.quotas.questions[answer.Quota] != question {
			return
		}
		if answer.Total < question.sentWanted {
			l.closeQuestion(question, quotaExhausted)
			return
		}
		l.closeQuestion(question, quotaExtended)
	})
}

// quotaResult is how a question ended.
type quotaResult int

const (
	// quotaExtended: all that was asked for was granted.
	quotaExtended quotaResult = iota
	// quotaExhausted: the tenant has no more.
	quotaExhausted
	// quotaUnanswered: the home shard did not answer in time.
	quotaUnanswered
)

// closeQuestion lets everybody who waited try again. When there is no more to
// be had, those whom the slice does not cover are refused.
func (l *leader) closeQuestion(question *quotaQuestion, result quotaResult) {
	delete(l.quotas.questions, question.ask.Quota)
	for _, active := range question.calls {
		if active.stage == stageWaitingForQuota {
			l.spendingAnswered(active, result)
		}
	}
	for _, waiting := range question.submits {
		if question.returning || result == quotaExtended {
			l.submit(waiting.follower.daemon, waiting.submit)
			continue
		}
		l.slotAnswered(waiting, question.ask.Quota)
	}
}
