package program

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// conversation returns messages of every shape, some longer than a segment.
func conversation(random *rand.Rand, messages int) []structs.Message {
	all := make([]structs.Message, messages)
	for i := range all {
		all[i] = structs.Message{Role: "user", Content: strings.Repeat(fmt.Sprintf("%d é ", random.IntN(1000)), random.IntN(2000))}
		switch random.IntN(4) {
		case 0:
			all[i].ToolCalls = []structs.ToolCall{{ID: "1", Name: "count", Arguments: `{"a":1}`}, {}}
		case 1:
			all[i].Name, all[i].ToolCallID = "count", "1"
		}
	}
	return all
}

func TestPackedHistoryReturnsAppendedMessages(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for range 20 {
		want := conversation(random, 1+random.IntN(60))
		history := History{cache: newUnpackedCache(NewMemory(DefaultMemoryLimits()))}
		history.Append(want...)
		for index := range want {
			if diff := cmp.Diff(want[index:], history.From(index)); diff != "" {
				t.Fatalf("from %d: %s", index, diff)
			}
			if diff := cmp.Diff(want[index], history.At(index)); diff != "" {
				t.Fatalf("at %d: %s", index, diff)
			}
		}
		if diff := cmp.Diff(want, history.All()); diff != "" {
			t.Fatal(diff)
		}
		more := conversation(random, 5)
		history.Append(more...)
		if diff := cmp.Diff(append(want, more...), history.All()); diff != "" {
			t.Fatalf("after appending to an unpacked history: %s", diff)
		}
	}
}

func TestHistoryJSONIsTheSamePackedOrUnpacked(t *testing.T) {
	want := conversation(rand.New(rand.NewPCG(2, 0)), 40)
	plain, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	history := History{cache: newUnpackedCache(NewMemory(DefaultMemoryLimits()))}
	history.Append(want...)
	for _, state := range []string{"packed", "warm"} {
		got, err := json.Marshal(history)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != string(plain) {
			t.Errorf("%s: the JSON differs from that of the messages", state)
		}
		history.All()
	}
	var restored History
	if err := json.Unmarshal(plain, &restored); err != nil {
		t.Fatal(err)
	}
	if !restored.Equal(history) {
		t.Error("the restored history differs")
	}
	if restored.Bytes() != history.Bytes() {
		t.Errorf("a restored history takes %d bytes, want %d: its segments differ", restored.Bytes(), history.Bytes())
	}
}

// runTurns runs turns of a program, each with an answer of the given size.
func runTurns(t testing.TB, shard *Shard, key structs.ProgramKey, turns, answerBytes int, at time.Time) {
	t.Helper()
	if shard.Program(key) == nil {
		shard.Apply(structs.Record{At: at, ProgramStarted: &structs.ProgramStarted{Key: key, Budget: 1000, SystemPrompt: "Be brief."}})
	}
	for range turns {
		sequence := shard.Program(key).Accepted + 1
		request := structs.RequestID(fmt.Sprint(sequence))
		question := structs.Message{Role: "user", Content: fmt.Sprint("Question ", sequence)}
		call := structs.Call{Key: key, RequestID: request, Sequence: sequence, Kind: structs.CallModel, Messages: []structs.Message{question}}
		shard.Apply(structs.Record{At: at, CallAccepted: &structs.CallAccepted{Key: key, Call: call}})
		shard.Apply(structs.Record{At: at, CallDispatched: &structs.CallDispatched{Key: key, RequestID: request, Attempt: 1}})
		answer := structs.Message{Role: "assistant", Content: strings.Repeat("word ", answerBytes/len("word "))}
		outcome := structs.Outcome{Status: structs.OutcomeCompleted, Answer: answer}
		shard.Apply(structs.Record{At: at, CallSettled: &structs.CallSettled{Key: key, RequestID: request, Outcome: outcome}})
	}
}

func TestUnpackedHistoryDoesNotAffectSnapshots(t *testing.T) {
	read, unread := NewShard(), NewShard()
	for _, shard := range []*Shard{read, unread} {
		runTurns(t, shard, rootKey, 30, 3000, start)
	}
	read.Program(rootKey).Prompt(&structs.Call{})
	runTurns(t, read, rootKey, 10, 3000, start.Add(time.Second))
	runTurns(t, unread, rootKey, 10, 3000, start.Add(time.Second))
	first, err := read.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	second, err := unread.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if string(first) != string(second) {
		t.Error("reading a program changed its snapshot")
	}
	if read.memory.ProgramBytes() != unread.memory.ProgramBytes() {
		t.Errorf("programs take %d bytes after a read, %d without", read.memory.ProgramBytes(), unread.memory.ProgramBytes())
	}
}

func TestHistoriesAreEvictedAfterWarmTime(t *testing.T) {
	shard := NewShard()
	runTurns(t, shard, rootKey, 30, 3000, start)
	shard.Program(rootKey).Prompt(&structs.Call{})
	if got := shard.memory.UnpackedBytes(); got < 90_000 {
		t.Fatalf("%d bytes unpacked after a read, want the whole history", got)
	}
	shard.Apply(structs.Record{At: start.Add(DefaultMemoryLimits().WarmTime)})
	if got := shard.memory.UnpackedBytes(); got != 0 {
		t.Errorf("%d bytes unpacked after WarmTime, want 0", got)
	}
	if got := shard.Program(rootKey).History.Len(); got != 60 {
		t.Errorf("%d messages, want 60", got)
	}
}

func TestUnpackedHistoriesStayWithinTheirLimit(t *testing.T) {
	limits := DefaultMemoryLimits()
	limits.Unpacked = 200_000
	shard := NewShardWithMemory(NewMemory(limits))
	for number := range 5 {
		other := structs.ProgramKey{Tenant: rootKey.Tenant, Program: structs.ProgramID(fmt.Sprint("p", number))}
		runTurns(t, shard, other, 30, 3000, start)
		shard.Program(other).Prompt(&structs.Call{})
		if got := shard.memory.UnpackedBytes(); got > limits.Unpacked || got < 90_000 {
			t.Errorf("after %d reads: %d bytes unpacked, want the latest history and at most %d bytes", number+1, got, limits.Unpacked)
		}
	}
}

func TestMemoryCountReturnsToZero(t *testing.T) {
	memory := NewMemory(DefaultMemoryLimits())
	first, second := NewShardWithMemory(memory), NewShardWithMemory(memory)
	for _, shard := range []*Shard{first, second} {
		runTurns(t, shard, rootKey, 30, 3000, start)
		shard.Program(rootKey).Prompt(&structs.Call{})
	}
	snapshot, err := first.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before := memory.ProgramBytes()
	if err := second.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if memory.ProgramBytes() != before {
		t.Errorf("programs take %d bytes after a restore of the same state, want %d", memory.ProgramBytes(), before)
	}
	second.Discard()
	if memory.ProgramBytes() != before/2 {
		t.Errorf("programs take %d bytes after one of two equal shards is discarded, want %d", memory.ProgramBytes(), before/2)
	}
	first.Apply(structs.Record{At: start, ProgramRemoved: &structs.ProgramRemoved{Key: rootKey}})
	if memory.ProgramBytes() != 0 || memory.UnpackedBytes() != 0 {
		t.Errorf("programs take %d bytes and %d unpacked without a program, want 0", memory.ProgramBytes(), memory.UnpackedBytes())
	}
}
