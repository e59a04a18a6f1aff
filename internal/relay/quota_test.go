package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/tenant"
)

// scriptedQuota returns its verdicts in order and repeats the last one.
type scriptedQuota struct {
	verdicts []quota.Verdict
	err      error
	asked    []quota.Request
	returned []quota.Request
}

// Admit implements Quota.
func (q *scriptedQuota) Admit(_ context.Context, ask quota.Request) (quota.Verdict, error) {
	q.asked = append(q.asked, ask)
	if q.err != nil {
		return quota.Verdict{}, q.err
	}
	return q.verdicts[min(len(q.asked), len(q.verdicts))-1], nil
}

// Refund implements Quota.
func (q *scriptedQuota) Refund(ask quota.Request) { q.returned = append(q.returned, ask) }

var (
	admittedVerdict = quota.Verdict{Admitted: true, Reason: quota.ReasonAdmitted}
	spentVerdict    = quota.Verdict{Reason: quota.ReasonExhausted, RetryAfterMS: 100}
)

// tenantTurn returns a turn of a tenant that has a limit.
func tenantTurn(previous string) *Call {
	call := newTurn(newRoute(kindStream))
	call.Tenant = &tenant.Tenant{Name: "north", PerSecond: 10, Burst: 10}
	call.Program.Previous = previous
	return call
}

// A turn of an ongoing program waits until the limit has room. A first turn is refused at
// once with a Retry-After.
func TestOngoingProgramWaitsForQuota(t *testing.T) {
	for name, test := range map[string]struct {
		previous string
		served   bool
	}{"ongoing program": {"t0", true}, "first turn": {"", false}} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, step{body: "id: 1\ndata: x\n\n"})
			q := &scriptedQuota{verdicts: []quota.Verdict{spentVerdict, spentVerdict, admittedVerdict}}
			h.relay.Quota = q
			started := time.Now()
			r := h.serve(tenantTurn(test.previous))
			waited := time.Since(started)
			if r.ended != test.served || test.served != (waited == 200*time.Millisecond) {
				t.Errorf("%s: served %v after %s", name, r.ended, waited)
			}
			if !test.served && (r.refusal == nil || r.refusal.Reason != ReasonQuota || r.refusal.RetryAfter != 100*time.Millisecond) {
				t.Errorf("%s: refused with %+v", name, r.refusal)
			}
		})
	}
}

// A program that has spent its budget and keeps asking must not use up its tenant's limit.
func TestQuotaIsReturnedForCallThatNeverRan(t *testing.T) {
	h := newHarness(t, step{body: "id: 1\ndata: x\n\n"})
	q := &scriptedQuota{verdicts: []quota.Verdict{admittedVerdict}}
	h.relay.Quota = q
	h.serve(tenantTurn("t0"))
	if len(q.returned) != 0 {
		t.Errorf("quota of a call that ran was returned")
	}
	h.ledger.setError(ledger.ErrBudgetSpent)
	h.serve(tenantTurn("t0"))
	if len(q.returned) != 1 || q.returned[0].Program != "north|p" {
		t.Errorf("returned quota: %+v", q.returned)
	}
}

func TestUnreachableQuotaOwnerRefusesAsNotRun(t *testing.T) {
	h := newHarness(t, step{body: "id: 1\ndata: x\n\n"})
	h.relay.Quota = &scriptedQuota{err: quota.ErrOwnerUnreachable}
	r := h.serve(tenantTurn("t0"))
	if r.refusal == nil || r.refusal.Reason != ReasonQuotaUnknown || !r.refusal.Reason.PromisesNotRun() || r.refusal.RetryAfter == 0 {
		t.Errorf("refused with %+v", r.refusal)
	}
	if len(h.driver.sent) != 0 {
		t.Error("the call was sent")
	}
}

// The ledger gets program and turn IDs that are scoped by tenant.
func TestProgramAndTurnIDsAreScopedByTenant(t *testing.T) {
	h := newHarness(t, step{body: "id: 1\ndata: x\n\n"})
	h.relay.Quota = &scriptedQuota{verdicts: []quota.Verdict{admittedVerdict}}
	h.serve(tenantTurn("t0"))
	got := h.ledger.turns[0]
	if got.Program != "north|p" || got.Previous != "north|t0" || got.ID != "north|q" || h.ledger.outcomes[0].Turn != "north|q" {
		t.Errorf("the ledger got %+v and %+v", got, h.ledger.outcomes[0])
	}
}
