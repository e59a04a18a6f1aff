package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/mintpulley/mintpulley/internal/structs"
)

var (
	start       = time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC)
	rootKey     = structs.ProgramKey{Tenant: "bakery", Program: "order"}
	subKey      = structs.ProgramKey{Tenant: "bakery", Program: "order/flour"}
	basicPolicy = Policy{Template: "orders", Budget: 1000, Limits: structs.Limits{Turns: 5, Repetitions: 2, AnswerTokens: 10}}
	price       = structs.Price{Prompt: 1, Completion: 2}
)

func userCall(key structs.ProgramKey, request string, sequence uint64) structs.Call {
	return structs.Call{
		Key:       key,
		RequestID: structs.RequestID(request),
		Sequence:  sequence,
		Kind:      structs.CallModel,
		History:   structs.HistoryAppend,
		Messages:  []structs.Message{{Role: "user", Content: "call " + request}},
	}
}

// admit admits a call that must be accepted and applies its records.
func admit(t *testing.T, shard *Shard, call structs.Call) {
	t.Helper()
	admission := shard.Admit(call, basicPolicy, nil, start)
	if admission.Verdict != VerdictAccept {
		t.Fatalf("call %s: verdict %d, refusal %+v", call.RequestID, admission.Verdict, admission.Refusal)
	}
	for _, record := range admission.Records {
		shard.Apply(record)
	}
}

func dispatchRecord(key structs.ProgramKey, request string, attempt int, reserved structs.Cost, disproved bool) structs.Record {
	return structs.Record{At: start, CallDispatched: &structs.CallDispatched{
		Key: key, RequestID: structs.RequestID(request), Attempt: attempt, BackEnd: "engine", Reserved: reserved, Price: price, PreviousNotRun: disproved,
	}}
}

func settleRecord(key structs.ProgramKey, request string, outcome structs.Outcome) structs.Record {
	return structs.Record{At: start, CallSettled: &structs.CallSettled{Key: key, RequestID: structs.RequestID(request), Outcome: outcome}}
}

func completed(text string, cost structs.Cost) structs.Outcome {
	return structs.Outcome{Status: structs.OutcomeCompleted, Answer: structs.Message{Role: "assistant", Content: text}, Cost: cost}
}

func TestCallsKeepTheirOrder(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	if verdict := shard.Admit(userCall(rootKey, "c", 3), basicPolicy, nil, start).Verdict; verdict != VerdictWait {
		t.Errorf("call 3 before call 2: verdict %d, want wait", verdict)
	}
	admit(t, shard, userCall(rootKey, "b", 2))
	if head := shard.Program(rootKey).Head().Call.RequestID; head != "a" {
		t.Errorf("head is %q, want a", head)
	}
	if got := shard.Admit(userCall(rootKey, "d", 1), basicPolicy, nil, start); got.Refusal.Reason != structs.ReasonSequenceConflict {
		t.Errorf("a used sequence number: %+v", got.Refusal)
	}
}

func TestKnownRequestIsNotAcceptedAgain(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	if verdict := shard.Admit(userCall(rootKey, "a", 0), basicPolicy, nil, start).Verdict; verdict != VerdictKnown {
		t.Errorf("open request: verdict %d, want known", verdict)
	}
	shard.Apply(dispatchRecord(rootKey, "a", 1, 50, false))
	shard.Apply(settleRecord(rootKey, "a", completed("yes", 20)))
	if verdict := shard.Admit(userCall(rootKey, "a", 0), basicPolicy, nil, start).Verdict; verdict != VerdictKnown {
		t.Errorf("settled request: verdict %d, want known", verdict)
	}
	conflict := shard.Admit(userCall(rootKey, "a", 2), basicPolicy, nil, start)
	if conflict.Refusal.Reason != structs.ReasonRequestConflict {
		t.Errorf("same request with another sequence number: %+v", conflict.Refusal)
	}
	outcome, _ := shard.Program(rootKey).Outcome("a")
	if outcome.Answer.Content != "yes" {
		t.Errorf("recorded answer is %q", outcome.Answer.Content)
	}
}

func TestRefusedCallMayBeSentAgain(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	shard.Apply(settleRecord(rootKey, "a", structs.Refused(structs.ReasonOverloaded, "", "", 0)))
	admit(t, shard, userCall(rootKey, "a", 1))
}

func TestRefusedCallWithSuccessorStaysRefused(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	admit(t, shard, userCall(rootKey, "b", 2))
	shard.Apply(settleRecord(rootKey, "a", structs.Refused(structs.ReasonOverloaded, "", "", 0)))
	if verdict := shard.Admit(userCall(rootKey, "a", 1), basicPolicy, nil, start).Verdict; verdict != VerdictKnown {
		t.Errorf("verdict %d, want known: it would run after its successor", verdict)
	}
}

func TestFullHistoryIsReducedToWhatIsNew(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	shard.Apply(dispatchRecord(rootKey, "a", 1, 50, false))
	shard.Apply(settleRecord(rootKey, "a", completed("yes", 20)))
	call := userCall(rootKey, "b", 2)
	call.History = structs.HistoryFull
	call.Messages = []structs.Message{{Role: "user", Content: "call a"}, {Role: "assistant", Content: "yes"}, {Role: "user", Content: "and?"}}
	admission := shard.Admit(call, basicPolicy, nil, start)
	if diff := cmp.Diff([]structs.Message{{Role: "user", Content: "and?"}}, admission.Call.Messages); diff != "" {
		t.Errorf("new messages (-want +got):\n%s", diff)
	}
	call.Messages = []structs.Message{{Role: "user", Content: "something else"}, {Role: "assistant", Content: "yes"}}
	if got := shard.Admit(call, basicPolicy, nil, start); got.Refusal.Reason != structs.ReasonHistoryConflict {
		t.Errorf("another history: %+v", got.Refusal)
	}
}

func TestFamilySharesTheBudget(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	admit(t, shard, userCall(subKey, "a", 1))
	shard.Apply(dispatchRecord(subKey, "a", 1, 900, false))
	if remaining := shard.Remaining(rootKey); remaining != 100 {
		t.Errorf("remaining budget of the parent is %d, want 100", remaining)
	}
	attempt := Attempt{Call: &shard.Program(rootKey).Head().Call, Price: structs.Price{Prompt: 100}}
	if _, refusal := shard.Reserve(shard.Program(rootKey), attempt); refusal == nil || refusal.Reason != structs.ReasonBudgetExhausted {
		t.Errorf("over budget: %+v", refusal)
	}
}

func TestLostAttemptKeepsItsReservation(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	shard.Apply(dispatchRecord(rootKey, "a", 1, 300, false))
	shard.Apply(dispatchRecord(rootKey, "a", 2, 200, false))
	if remaining := shard.Remaining(rootKey); remaining != 500 {
		t.Errorf("after a lost attempt: remaining %d, want 500", remaining)
	}
	shard.Apply(dispatchRecord(rootKey, "a", 3, 200, true))
	if remaining := shard.Remaining(rootKey); remaining != 500 {
		t.Errorf("after a disproved attempt: remaining %d, want 500", remaining)
	}
	shard.Apply(settleRecord(rootKey, "a", completed("yes", 50)))
	if root := shard.Program(rootKey); root.Spent != 350 || root.Reserved != 0 {
		t.Errorf("spent %d reserved %d, want 350 and 0", root.Spent, root.Reserved)
	}
}

func TestUnknownOutcomeIsChargedUntilResolved(t *testing.T) {
	shard := NewShard()
	call := userCall(rootKey, "a", 1)
	call.Kind = structs.CallApplication
	admit(t, shard, call)
	shard.Apply(dispatchRecord(rootKey, "a", 1, 300, false))
	shard.Apply(settleRecord(rootKey, "a", structs.Outcome{Status: structs.OutcomeUnknown}))
	if spent := shard.Program(rootKey).Spent; spent != 300 {
		t.Errorf("unknown outcome charged %d, want 300", spent)
	}
	shard.Apply(settleRecord(rootKey, "a", structs.Outcome{Status: structs.OutcomeCompleted, Cost: 40}))
	if spent := shard.Program(rootKey).Spent; spent != 40 {
		t.Errorf("resolved outcome charged %d, want 40", spent)
	}
}

func TestRunawayProgramEndsWithItsReason(t *testing.T) {
	shard := NewShard()
	same := func(i int) structs.Call {
		call := userCall(rootKey, fmt.Sprint(i), uint64(i))
		call.Messages = []structs.Message{{Role: "user", Content: "again"}}
		return call
	}
	admit(t, shard, same(1))
	admit(t, shard, same(2))
	admission := shard.Admit(same(3), basicPolicy, nil, start)
	if admission.Refusal.Reason != structs.ReasonRepetitionLimit || len(admission.Records) != 1 {
		t.Fatalf("third identical call: %+v", admission)
	}
	shard.Apply(admission.Records[0])
	if p := shard.Program(rootKey); !p.Ended || p.EndReason != structs.ReasonRepetitionLimit || len(p.Open) != 0 {
		t.Errorf("the program has not ended: %+v", p)
	}
}

func TestEndCoversDescendantsAndRootStaysForTheBudget(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	admit(t, shard, userCall(subKey, "a", 1))
	shard.Apply(dispatchRecord(subKey, "a", 1, 100, false))
	shard.Apply(EndRecord(rootKey, structs.ReasonTimeLimit, start))
	if sub := shard.Program(subKey); !sub.Ended || len(sub.Open) != 1 {
		t.Errorf("the child's dispatched call must stay open: %+v", sub)
	}
	later := start.Add(time.Hour)
	if due := shard.Expired(later, time.Minute); len(due) != 0 {
		t.Errorf("removed while a child has an open call: %+v", due)
	}
	shard.Apply(settleRecord(subKey, "a", completed("late", 60)))
	if spent := shard.Program(rootKey).Spent; spent != 60 {
		t.Errorf("spent %d, want 60", spent)
	}
}

func TestSnapshotRestoresEqualState(t *testing.T) {
	shard := NewShard()
	admit(t, shard, userCall(rootKey, "a", 1))
	shard.Apply(dispatchRecord(rootKey, "a", 1, 300, false))
	shard.Apply(settleRecord(rootKey, "a", completed("yes", 50)))
	admit(t, shard, userCall(rootKey, "b", 2))
	data, err := shard.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewShard()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(shard.Programs(), restored.Programs()); diff != "" {
		t.Errorf("restored state (-want +got):\n%s", diff)
	}
	if err := restored.Restore([]byte("{")); err == nil {
		t.Error("Restore accepted a malformed snapshot")
	}
}

// TestBudgetNeverExceeded applies random records, some of them twice, and checks the
// budget's invariants after each.
func TestBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shard := NewShard()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.SampledFrom([]structs.ProgramKey{rootKey, subKey}).Draw(t, "key")
			randomStep(t, shard, key, step)
			if root := shard.Program(rootKey); root != nil {
				if root.Spent+root.Reserved > root.Budget || root.Reserved < 0 || root.Spent < 0 {
					t.Fatalf("spent %d reserved %d budget %d", root.Spent, root.Reserved, root.Budget)
				}
			}
		}
	})
}

func randomStep(t *rapid.T, shard *Shard, key structs.ProgramKey, step int) {
	policy := basicPolicy
	policy.Limits.Turns = 0
	switch rapid.IntRange(0, 3).Draw(t, "action") {
	case 0:
		for _, record := range shard.Admit(userCall(key, fmt.Sprint(step), 0), policy, nil, start).Records {
			applyMaybeTwice(t, shard, record)
		}
	case 1:
		p := shard.Program(key)
		if p == nil || p.Head() == nil {
			return
		}
		head := p.Head()
		disproved := rapid.Bool().Draw(t, "disproved")
		attempt := Attempt{Call: &head.Call, Price: price}
		if disproved {
			attempt.Freed = head.Reserved
		}
		reservation, refusal := shard.Reserve(p, attempt)
		if refusal == nil {
			applyMaybeTwice(t, shard, dispatchRecord(key, string(head.Call.RequestID), head.Attempt+1, reservation.Cost, disproved))
		}
	case 2:
		p := shard.Program(key)
		if p == nil || p.Head() == nil {
			return
		}
		cost := structs.Cost(rapid.IntRange(0, 500).Draw(t, "cost"))
		status := rapid.SampledFrom([]structs.OutcomeStatus{structs.OutcomeCompleted, structs.OutcomeNotRun, structs.OutcomeUnknown}).Draw(t, "status")
		applyMaybeTwice(t, shard, settleRecord(key, string(p.Head().Call.RequestID), structs.Outcome{Status: status, Cost: cost}))
	case 3:
		if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
			applyMaybeTwice(t, shard, EndRecord(key, structs.ReasonTimeLimit, start))
		}
	}
}

func applyMaybeTwice(t *rapid.T, shard *Shard, record structs.Record) {
	shard.Apply(record)
	if rapid.Bool().Draw(t, "twice") {
		shard.Apply(record)
	}
}
