package program

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// recoveredShard returns a shard that lost all its replicas while its one program had
// two settled calls and the given open ones.
func recoveredShard(t *testing.T, open ...structs.CallKind) *Shard {
	t.Helper()
	shard := NewShard()
	for i, request := range []string{"1", "2"} {
		admit(t, shard, userCall(rootKey, request, uint64(i+1)))
		shard.Apply(dispatchRecord(rootKey, request, 1, 10, false))
		shard.Apply(settleRecord(rootKey, request, completed("answer "+request, 5)))
	}
	for i, kind := range open {
		call := userCall(rootKey, string(rune('3'+i)), uint64(i+3))
		call.Kind = kind
		admit(t, shard, call)
	}
	if len(open) > 0 {
		shard.Apply(dispatchRecord(rootKey, "3", 1, 10, false))
	}
	shard.Apply(structs.Record{At: start, ShardRecovered: &structs.ShardRecovered{Index: 9}})
	return shard
}

func withFullHistory(call structs.Call, messages ...structs.Message) structs.Call {
	call.History = structs.HistoryFull
	call.Messages = append(messages, call.Messages...)
	return call
}

func historyMessages(t *testing.T, shard *Shard) []structs.Message {
	t.Helper()
	return shard.Program(rootKey).History.From(0)
}

// admitAsLeader admits a call as a leader does: AdmitRecovered first, then Admit.
func admitAsLeader(shard *Shard, call structs.Call, sentBefore bool, at time.Time) Admission {
	if admission, unsure := shard.AdmitRecovered(call, sentBefore, nil, at); unsure {
		return admission
	}
	return shard.Admit(call, basicPolicy, nil, at)
}

func TestRecoveredProgramsContinueOnlyWithoutAGap(t *testing.T) {
	other := rootKey
	other.Program = "other"
	anonymous := userCall(other, "x", 0)
	anonymous.Anonymous = true
	update := userCall(rootKey, "x", 0)
	update.Kind = structs.CallApplication
	lostTurn := []structs.Message{{Role: "user", Content: "call 3"}, {Role: "assistant", Content: "answer 3"}}
	cases := map[string]struct {
		call       structs.Call
		sentBefore bool
		open       []structs.CallKind
		after      time.Duration
		verdict    Verdict
		status     structs.OutcomeStatus
		reason     structs.Reason
	}{
		"settled call retried":                       {call: userCall(rootKey, "2", 2), sentBefore: true, verdict: VerdictKnown},
		"unknown call retried":                       {call: userCall(rootKey, "x", 3), sentBefore: true, verdict: VerdictRefuse, status: structs.OutcomeUnknown, reason: structs.ReasonRecordsLost},
		"next call, appended":                        {call: userCall(rootKey, "x", 3), verdict: VerdictAccept},
		"call after the next, appended":              {call: userCall(rootKey, "x", 4), verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonHistoryGap},
		"call without a number, appended":            {call: userCall(rootKey, "x", 0), verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonHistoryGap},
		"application call without a number":          {call: update, verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonHistoryGap},
		"call after the next, full history":          {call: withFullHistory(userCall(rootKey, "x", 4), append(historyMessages(t, recoveredShard(t)), lostTurn...)...), verdict: VerdictAccept},
		"call without a number, full history":        {call: withFullHistory(userCall(rootKey, "x", 0), append(historyMessages(t, recoveredShard(t)), lostTurn...)...), verdict: VerdictAccept},
		"full history that contradicts":              {call: withFullHistory(userCall(rootKey, "x", 4), lostTurn...), verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonHistoryConflict},
		"open model call made again":                 {call: userCall(rootKey, "x", 3), open: []structs.CallKind{structs.CallModel}, verdict: VerdictAccept},
		"call after an open model call":              {call: userCall(rootKey, "x", 4), open: []structs.CallKind{structs.CallModel}, verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonHistoryGap},
		"open application call retried":              {call: userCall(rootKey, "3", 3), sentBefore: true, open: []structs.CallKind{structs.CallApplication}, verdict: VerdictKnown},
		"call after an open application call":        {call: userCall(rootKey, "x", 4), open: []structs.CallKind{structs.CallApplication}, verdict: VerdictAccept},
		"model call before an open application call": {call: userCall(rootKey, "x", 5), open: []structs.CallKind{structs.CallModel, structs.CallApplication}, verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonHistoryGap},
		"new program, call 1":                        {call: userCall(other, "x", 1), verdict: VerdictAccept},
		"new program for the call alone":             {call: anonymous, verdict: VerdictAccept},
		"call 1 of a program, retried":               {call: userCall(other, "x", 1), sentBefore: true, verdict: VerdictRefuse, status: structs.OutcomeUnknown, reason: structs.ReasonRecordsLost},
		"program that may be lost":                   {call: userCall(other, "x", 0), verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonRecordsLost},
		"later call of a lost program":               {call: userCall(other, "x", 7), verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonRecordsLost},
		"new program after the window":               {call: userCall(other, "x", 0), after: RecoveryWindow, verdict: VerdictAccept},
		"gap, long after the window":                 {call: userCall(rootKey, "x", 0), after: 10 * RecoveryWindow, verdict: VerdictRefuse, status: structs.OutcomeNotRun, reason: structs.ReasonHistoryGap},
		"unknown call long after, sent once":         {call: userCall(rootKey, "x", 3), after: 10 * RecoveryWindow, verdict: VerdictAccept},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got := admitAsLeader(recoveredShard(t, test.open...), test.call, test.sentBefore, start.Add(test.after))
			if got.Verdict != test.verdict || got.Refusal.Status != test.status || got.Refusal.Reason != test.reason {
				t.Errorf("verdict %d, refusal %+v; want %d, %s, %s", got.Verdict, got.Refusal, test.verdict, test.status, test.reason)
			}
		})
	}
}

func TestWholeConversationFillsTheGapOnceItIsAnswered(t *testing.T) {
	shard := recoveredShard(t)
	lostTurn := []structs.Message{{Role: "user", Content: "call 3"}, {Role: "assistant", Content: "answer 3"}}
	call := withFullHistory(userCall(rootKey, "x", 4), append(historyMessages(t, shard), lostTurn...)...)
	for _, record := range admitAsLeader(shard, call, false, start).Records {
		shard.Apply(record)
	}
	follow := userCall(rootKey, "y", 5)
	if got := admitAsLeader(shard, follow, false, start); got.Refusal.Reason != structs.ReasonHistoryGap {
		t.Errorf("a call after one that may still fail: %+v, want a gap", got)
	}
	shard.Apply(settleRecord(rootKey, "x", structs.Refused(structs.ReasonBudgetExhausted, "", "", 0)))
	if got := admitAsLeader(shard, follow, false, start); got.Refusal.Reason != structs.ReasonHistoryGap {
		t.Errorf("after the whole conversation did not run: %+v, want a gap", got)
	}
	for _, record := range admitAsLeader(shard, call, false, start).Records {
		shard.Apply(record)
	}
	shard.Apply(settleRecord(rootKey, "x", completed("answer 4", 0)))
	want := []structs.Message{
		{Role: "user", Content: "call 1"}, {Role: "assistant", Content: "answer 1"},
		{Role: "user", Content: "call 2"}, {Role: "assistant", Content: "answer 2"},
		lostTurn[0], lostTurn[1],
		{Role: "user", Content: "call x"}, {Role: "assistant", Content: "answer 4"},
	}
	if diff := cmp.Diff(want, historyMessages(t, shard)); diff != "" {
		t.Error(diff)
	}
	if got := admitAsLeader(shard, follow, false, start); got.Verdict != VerdictAccept {
		t.Errorf("after the gap is filled: %+v, want it accepted", got.Refusal)
	}
}

func TestRecoveredProgramsHaveNoBudgetLeft(t *testing.T) {
	shard := recoveredShard(t, structs.CallModel)
	if got := shard.Remaining(rootKey); got != 0 {
		t.Errorf("remaining budget is %d, want 0: what was spent after the archive's end is not known", got)
	}
	restored := NewShard()
	snapshot, err := shard.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if !restored.RecentlyRecovered(start) || restored.Remaining(rootKey) != 0 || restored.Program(rootKey).Gap != GapPossible {
		t.Error("a restored replica does not know that the shard was recovered")
	}
}

func TestRecoveredHomeShardGrantsNothingNew(t *testing.T) {
	shard := NewShard()
	quota := structs.QuotaKey{Tenant: "bakery", Kind: structs.QuotaSpending}
	shard.Apply(structs.Record{At: start, ShardRecovered: &structs.ShardRecovered{}})
	ask := structs.QuotaRequest{Quota: quota, Window: WindowOf(quota.Kind, start), Shard: 3, BallotNumber: structs.Ballot{Epoch: 1, Count: 1}, Held: 10, Wanted: 50}
	record, granted := shard.Grant(ask, 100, start)
	if !granted || record.QuotaGranted.Total != 10 {
		t.Errorf("granted %v, want the 10 that the shard holds already", record.QuotaGranted)
	}
}

func TestRecoveredProgramsEndAfterTheRecoveryWindow(t *testing.T) {
	shard := recoveredShard(t)
	if records := shard.Expired(start.Add(RecoveryWindow-time.Second), time.Minute); len(records) > 0 {
		t.Errorf("ended within the window: %+v", records)
	}
	records := shard.Expired(start.Add(RecoveryWindow), time.Minute)
	if len(records) != 1 || records[0].ProgramEnded == nil || records[0].ProgramEnded.Reason != structs.ReasonRecordsLost {
		t.Errorf("records %+v, want the program's end", records)
	}
}

func TestFrozenStateDoesNotChange(t *testing.T) {
	shard := NewShard()
	runTurns(t, shard, rootKey, 20, 3000, start)
	shard.Program(rootKey).Prompt(&structs.Call{})
	call := userCall(rootKey, "open", shard.Program(rootKey).Accepted+1)
	shard.Apply(structs.Record{At: start, CallAccepted: &structs.CallAccepted{Key: rootKey, Call: call}})
	quota := structs.QuotaKey{Tenant: "bakery", Kind: structs.QuotaSpending}
	shard.Apply(structs.Record{At: start, QuotaReceived: &structs.QuotaReceived{Quota: quota, BallotNumber: structs.Ballot{Epoch: 1, Count: 1}, Total: 5}})
	shard.Apply(structs.Record{At: start, QuotaGranted: &structs.QuotaGranted{Quota: quota, Shard: 1, BallotNumber: structs.Ballot{Epoch: 1, Count: 1}, Total: 5}})
	want, err := shard.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	encode := shard.Freeze()
	shard.Apply(dispatchRecord(rootKey, "open", 1, 10, false))
	shard.Apply(settleRecord(rootKey, "open", completed("done", 3)))
	runTurns(t, shard, rootKey, 20, 3000, start.Add(time.Minute))
	shard.Apply(structs.Record{At: start, QuotaReceived: &structs.QuotaReceived{Quota: quota, BallotNumber: structs.Ballot{Epoch: 1, Count: 2}, Total: 50}})
	shard.Apply(structs.Record{At: start, QuotaGranted: &structs.QuotaGranted{Quota: quota, Shard: 2, BallotNumber: structs.Ballot{Epoch: 1, Count: 2}, Total: 50}})
	got, err := encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Error("the frozen state changed with the shard")
	}
}
