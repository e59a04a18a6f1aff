package historycost

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// templatePromptWords is the length of the template's system prompt in words.
const templatePromptWords = 1000

// warmUpTurns is enough turns to use all parts of the compressor.
const warmUpTurns = 64

// ShardCost is the cost of programs in one replica of a program.Shard.
type ShardCost struct {
	Turns    int `json:"turns"`
	Programs int `json:"programs"`
	// HeapBytes is the live heap per program after garbage collection.
	HeapBytes int64 `json:"heap_bytes_per_program"`
	// AccountedBytes is the size by the daemon's memory accounting, per
	// program.
	AccountedBytes int64 `json:"counted_bytes_per_program"`
	// ApplyTime is the time per call to apply its three records.
	ApplyTime time.Duration `json:"apply_ns_per_call"`
	// FreezeTime is the time for which a snapshot blocks a shard, per program,
	// SnapshotTime the time to freeze and encode it, and SnapshotBytes its size.
	FreezeTime    time.Duration `json:"freeze_ns_per_program"`
	SnapshotTime  time.Duration `json:"snapshot_ns_per_program"`
	SnapshotBytes int64         `json:"snapshot_bytes_per_program"`
	// FirstPromptTime is the time to build a call's prompt when the program was
	// not read before, NextPromptTime that of the next call.
	FirstPromptTime time.Duration `json:"first_prompt_ns"`
	NextPromptTime  time.Duration `json:"next_prompt_ns"`
}

// MeasureShard fills a shard with programs and measures it. The times are wall
// times on one thread and differ between runs.
func MeasureShard(programs, turns int, seed uint64) ShardCost {
	w := newWriter(seed)
	prompt := w.text(templatePromptWords)
	cost := ShardCost{Turns: turns, Programs: programs}
	w.warmUp()
	before := liveHeap()
	memory := program.NewMemory(program.DefaultMemoryLimits())
	shard := program.NewShardWithMemory(memory)
	keys := make([]structs.ProgramKey, programs)
	var applying time.Duration
	for i := range keys {
		keys[i] = structs.ProgramKey{Tenant: "tenant", Program: structs.ProgramID(fmt.Sprint("program-", i))}
		for _, batch := range w.records(keys[i], prompt, turns) {
			started := time.Now()
			for _, record := range batch {
				shard.Apply(record)
			}
			applying += time.Since(started)
		}
	}
	cost.HeapBytes = (liveHeap() - before) / int64(programs)
	cost.AccountedBytes = memory.ProgramBytes() / int64(programs)
	cost.ApplyTime = applying / time.Duration(programs*turns)
	started := time.Now()
	encode := shard.Freeze()
	cost.FreezeTime = time.Since(started) / time.Duration(programs)
	snapshot, _ := encode()
	cost.SnapshotTime = time.Since(started) / time.Duration(programs)
	cost.SnapshotBytes = int64(len(snapshot) / programs)
	cost.FirstPromptTime = promptTime(shard, keys)
	cost.NextPromptTime = promptTime(shard, keys)
	runtime.KeepAlive(w)
	return cost
}

// warmUp initializes what all shards share, which is not measured.
func (w *writer) warmUp() {
	shard := program.NewShard()
	key := structs.ProgramKey{Tenant: "tenant", Program: "first"}
	for _, batch := range w.records(key, "", warmUpTurns) {
		for _, record := range batch {
			shard.Apply(record)
		}
	}
	shard.Program(key).Prompt(&structs.Call{})
}

// promptTime builds the prompt of each program once and returns the mean time.
func promptTime(shard *program.Shard, keys []structs.ProgramKey) time.Duration {
	started := time.Now()
	for _, key := range keys {
		shard.Program(key).Prompt(&structs.Call{})
	}
	return time.Since(started) / time.Duration(len(keys))
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// records returns the log records of the calls of one program, by call. Texts
// are copies, as they are when read from a log.
func (w *writer) records(key structs.ProgramKey, prompt string, turns int) [][]structs.Record {
	started := structs.Record{ProgramStarted: &structs.ProgramStarted{Key: key, SystemPrompt: string([]byte(prompt))}}
	batches := make([][]structs.Record, turns)
	for turn := range batches {
		messages := w.turn()
		last := len(messages) - 1
		request := structs.RequestID(fmt.Sprintf("request-%08d", turn))
		call := structs.Call{Key: key, RequestID: request, Sequence: uint64(turn + 1), Kind: structs.CallModel, Messages: messages[:last]}
		outcome := structs.Outcome{Status: structs.OutcomeCompleted, Answer: messages[last]}
		batches[turn] = []structs.Record{
			{CallAccepted: &structs.CallAccepted{Key: key, Call: call}},
			{CallDispatched: &structs.CallDispatched{Key: key, RequestID: request, Attempt: 1, BackEnd: "engine"}},
			{CallSettled: &structs.CallSettled{Key: key, RequestID: request, Outcome: outcome}},
		}
	}
	batches[0] = append([]structs.Record{started}, batches[0]...)
	return batches
}
