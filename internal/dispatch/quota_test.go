package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// setTenantQuotas sets the tenant's quotas.
func (f *fixture) setTenantQuotas(budgetPerHour structs.Cost, programs int) {
	tenant := f.configuration.Tenants["bakery"]
	tenant.BudgetPerHour = budgetPerHour
	tenant.Programs = programs
	f.configuration.Tenants["bakery"] = tenant
}

func numberedCall(i int) structs.Call {
	call := applicationCall(fmt.Sprintf("r%d", i))
	call.Key.Program = structs.ProgramID(fmt.Sprintf("order-%d", i))
	return call
}

func TestTenantBudgetPerHourHolds(t *testing.T) {
	f := newFixture(t)
	f.setTenantQuotas(21, 0)
	counts := map[structs.OutcomeStatus]int{}
	for i := range 5 {
		caller, _ := f.submit(numberedCall(i))
		f.run(time.Second)
		counts[caller.status(t)]++
	}
	if counts[structs.OutcomeCompleted] != 3 || counts[structs.OutcomeNotRun] != 2 {
		t.Errorf("outcomes %v, want 3 completed at 7 each and 2 not run", counts)
	}
	f.run(time.Hour)
	caller, _ := f.submit(numberedCall(9))
	f.run(time.Second)
	if got := caller.status(t); got != structs.OutcomeCompleted {
		t.Errorf("in the next hour: %s", got)
	}
}

func TestTenantProgramSlotsAreTakenAndReturned(t *testing.T) {
	f := newFixture(t)
	f.setTenantQuotas(0, 2)
	last := numberedCall(1)
	last.EndProgram = true
	var outcomes []structs.Outcome
	for _, call := range []structs.Call{last, numberedCall(2), numberedCall(3), numberedCall(4)} {
		caller, _ := f.submit(call)
		f.run(100 * time.Millisecond)
		caller.status(t)
		outcomes = append(outcomes, caller.outcomes[0])
	}
	for i, want := range []structs.OutcomeStatus{structs.OutcomeCompleted, structs.OutcomeCompleted, structs.OutcomeCompleted, structs.OutcomeNotRun} {
		if outcomes[i].Status != want {
			t.Errorf("program %d: %s, want %s (%+v)", i+1, outcomes[i].Status, want, outcomes[i])
		}
	}
	if outcomes[3].Reason != structs.ReasonTenantQuota || outcomes[3].RetryAfter == 0 {
		t.Errorf("refusal %+v", outcomes[3])
	}
}

func TestOutdatedQuotaRequestIsIgnored(t *testing.T) {
	shard := program.NewShard()
	quota := structs.QuotaKey{Tenant: "bakery", Kind: structs.QuotaSpending}
	ask := structs.QuotaRequest{Quota: quota, Window: 7, Shard: 3, BallotNumber: structs.Ballot{Epoch: 2, Count: 5}, Wanted: 60}
	record, granted := shard.Grant(ask, 100, begin)
	if !granted || record.QuotaGranted.Total != 60 {
		t.Fatalf("granted %v: %+v", granted, record.QuotaGranted)
	}
	shard.Apply(record)
	ask.BallotNumber.Count = 4
	if _, granted := shard.Grant(ask, 100, begin); granted {
		t.Error("an outdated request was granted")
	}
	other := structs.QuotaRequest{Quota: quota, Window: 7, Shard: 4, BallotNumber: structs.Ballot{Epoch: 1, Count: 1}, Wanted: 60}
	if record, _ := shard.Grant(other, 100, begin); record.QuotaGranted.Total != 40 {
		t.Errorf("the second shard got %d, want what is left: 40", record.QuotaGranted.Total)
	}
	other.Window = 6
	if _, granted := shard.Grant(other, 100, begin); granted {
		t.Error("a request for a past window was granted")
	}
}

func TestOutdatedQuotaAnswerIsIgnored(t *testing.T) {
	shard := program.NewShard()
	quota := structs.QuotaKey{Tenant: "bakery", Kind: structs.QuotaPrograms}
	receive := func(count uint64, total structs.Cost) {
		shard.Apply(structs.Record{QuotaReceived: &structs.QuotaReceived{Quota: quota, BallotNumber: structs.Ballot{Epoch: 1, Count: count}, Total: total}})
	}
	receive(1, 5)
	receive(3, 2)
	receive(2, 5)
	if got := shard.Allowance(quota, 0).Granted; got != 2 {
		t.Errorf("allowance %d, want 2: the rest was returned", got)
	}
}
