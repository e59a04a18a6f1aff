package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func blocks(count int64) func(*Parameters) {
	return func(p *Parameters) { p.CacheTokens = count * prefix.BlockTokens }
}

func TestHigherPriorityPreemptsLower(t *testing.T) {
	b := newTestEngine(t, blocks(6))
	low := b.start(request("low", 1, 63, 300))
	b.runFor(80 * millisecond)
	urgent := request("urgent", 2, 257, 1)
	urgent.Priority = 5
	high := b.start(urgent)
	b.runFor(20 * time.Second)
	if high.end.Kind != framework.EndCompleted || low.end.Kind != framework.EndCompleted {
		t.Fatalf("ends %q and %q", high.end.Kind, low.end.Kind)
	}
	if high.ended >= low.ended || b.engine.Statistics().Preemptions != 1 {
		t.Errorf("urgent ended at %v, low at %v, %d preemptions", high.ended, low.ended, b.engine.Statistics().Preemptions)
	}
	if want := (Answer{Seed: 1}).Text(0, 1200); low.text != want {
		t.Error("the preempted answer has a gap or a repeat")
	}
}

func TestOutOfMemoryPreemptsTheLatest(t *testing.T) {
	b := newTestEngine(t, blocks(4))
	// Each fits alone: 1 + 2 blocks. Together they need 6 at the end.
	first := b.start(request("a", 1, 60, 130))
	second := b.start(request("b", 2, 60, 130))
	b.runFor(20 * time.Second)
	if first.end.Kind != framework.EndCompleted || second.end.Kind != framework.EndCompleted {
		t.Fatalf("ends %q and %q", first.end.Kind, second.end.Kind)
	}
	if b.engine.Statistics().Preemptions == 0 || first.ended >= second.ended {
		t.Errorf("%d preemptions, ends %v and %v", b.engine.Statistics().Preemptions, first.ended, second.ended)
	}
	if used := b.engine.cache.private; used != 0 {
		t.Errorf("%d blocks are still private", used)
	}
}

func TestHoldKeepsBlocksUntilReleased(t *testing.T) {
	b := newTestEngine(t, blocks(8))
	held := request("a", 1, 193, 1)
	held.Hold = "h"
	if r := b.start(held); func() bool { b.runFor(time.Second); return !r.end.HoldTaken }() {
		t.Fatal("the hold was not taken")
	}
	want := []structs.Hold{{ID: "h", Engine: "e", Program: held.Program, Tokens: 192}}
	if diff := cmp.Diff(want, b.engine.Holds()); diff != "" {
		t.Error(diff)
	}
	again := func(attempt string) int64 {
		b.start(request("filler"+attempt, 9, 257, 1))
		b.runFor(time.Second)
		r := b.start(request(attempt, 1, 193, 1))
		b.runFor(time.Second)
		return r.end.Usage.CachedTokens
	}
	if got := again("b"); got != 192 {
		t.Errorf("cached %d while held, want 192", got)
	}
	b.engine.Release("h")
	b.engine.Release("h")
	if len(b.engine.Holds()) != 0 || b.engine.HeldTokens() != 0 {
		t.Errorf("holds %v, %d tokens", b.engine.Holds(), b.engine.HeldTokens())
	}
	b.start(request("big", 7, 500, 1))
	b.runFor(time.Second)
	if got := b.start(request("c", 1, 193, 1)); func() bool { b.runFor(time.Second); return got.end.Usage.CachedTokens == 192 }() {
		t.Error("released blocks were not evicted by a prompt that needs the memory")
	}
}

func TestReleaseBeforeTheHoldPreventsIt(t *testing.T) {
	b := newTestEngine(t, nil)
	held := request("a", 1, 193, 1)
	held.Hold = "h"
	r := b.start(held)
	b.engine.Release("h")
	b.runFor(time.Second)
	if r.end.Kind != framework.EndCompleted || r.end.HoldTaken || len(b.engine.Holds()) != 0 {
		t.Errorf("end %+v, holds %v", r.end, b.engine.Holds())
	}
}

func TestHoldsAreBounded(t *testing.T) {
	b := newTestEngine(t, func(p *Parameters) { p.HeldFraction = 0.5 })
	var taken []bool
	for i, tokens := range []int64{193, 193, 129} {
		held := request(fmt.Sprint(i), int64(i), tokens, 1)
		held.Hold = structs.HoldID(fmt.Sprint(i))
		r := b.start(held)
		b.runFor(time.Second)
		taken = append(taken, r.end.HoldTaken)
	}
	// 3 of 10 blocks, 3 more would be 6, 2 more are 5.
	if diff := cmp.Diff([]bool{true, false, true}, taken); diff != "" {
		t.Error(diff)
	}
}

func TestIdleTimeCountsBlocksNeverHit(t *testing.T) {
	b := newTestEngine(t, nil)
	b.start(request("a", 1, 129, 1))
	b.runFor(10 * time.Second)
	b.start(request("b", 1, 65, 1))
	b.runFor(10 * time.Second)
	b.engine.CountIdleBlocks()
	// a ends at 159 ms with two blocks. b hits the first one until 10.011 s,
	// so that wait does not count. At 20 s the first block is idle since then,
	// the second since a's end.
	want := (20 - 10.011 + 20 - 0.159) * 64
	if got := b.engine.Statistics().IdleTokenSeconds; got < want-0.001 || got > want+0.001 {
		t.Errorf("idle %v token-seconds, want %v", got, want)
	}
}

func TestQueueIsBoundedAndDeadlinesEndWaiting(t *testing.T) {
	b := newTestEngine(t, func(p *Parameters) { p.MaximumRunning, p.MaximumWaiting = 1, 1 })
	first := b.start(request("a", 1, 10, 50))
	b.runFor(millisecond)
	waiting := request("b", 2, 10, 1)
	waiting.Deadline = testStart.Add(100 * millisecond)
	second := b.start(waiting)
	third := b.start(request("c", 3, 10, 1))
	if third.end.Kind != framework.EndRejected || third.end.Reason != structs.ReasonOverloaded {
		t.Errorf("third %+v", third.end)
	}
	b.runFor(5 * time.Second)
	if first.end.Kind != framework.EndCompleted || second.end.Kind != framework.EndRejected || second.end.Reason != structs.ReasonDeadline {
		t.Errorf("first %q, second %+v", first.end.Kind, second.end)
	}
}

func TestFencesAndUnknownAttempts(t *testing.T) {
	b := newTestEngine(t, nil)
	if got := b.engine.Inspect("a", 5); got.State != framework.AttemptAbsent || !got.Fenced {
		t.Errorf("status %+v", got)
	}
	stale := request("a", 1, 10, 2)
	stale.Epoch = 4
	if r := b.start(stale); r.end.Kind != framework.EndRejected {
		t.Errorf("a lower epoch ended as %q", r.end.Kind)
	}
	resume := request("a", 1, 10, 2)
	resume.Epoch, resume.ResumeOnly = 5, true
	if r := b.start(resume); r.end.Kind != framework.EndLost {
		t.Errorf("a resumption of an unknown attempt ended as %q", r.end.Kind)
	}
	fresh := request("a", 1, 10, 2)
	fresh.Epoch = 5
	r := b.start(fresh)
	b.runFor(time.Second)
	if r.end.Kind != framework.EndCompleted {
		t.Errorf("the same epoch ended as %q", r.end.Kind)
	}
}

func TestAnAttemptNeverRunsTwice(t *testing.T) {
	b := newTestEngine(t, nil)
	b.start(request("a", 1, 10, 2))
	b.runFor(2 * time.Minute)
	r := b.start(request("a", 1, 10, 2))
	b.runFor(time.Second)
	if r.end.Kind != framework.EndFailed || b.engine.Inspect("a", 1).State != framework.AttemptDone {
		t.Errorf("end %+v after the stream expired", r.end)
	}
	if got := b.engine.Statistics().CompletionTokens; got != 2 {
		t.Errorf("%d tokens computed, want 2", got)
	}
}

func TestCrashLosesEverythingAndDrainFinishes(t *testing.T) {
	b := newTestEngine(t, nil)
	held := request("a", 1, 130, 1)
	held.Hold = "h"
	b.start(held)
	b.runFor(time.Second)
	running := b.start(request("b", 2, 10, 30))
	b.runFor(100 * millisecond)
	started := b.engine.Load().StartedUnixNano
	b.engine.Crash()
	if running.end.Kind != framework.EndLost || running.ends != 1 {
		t.Errorf("end %q, %d times", running.end.Kind, running.ends)
	}
	if r := b.start(request("c", 1, 10, 1)); r.end.Kind != framework.EndRejected {
		t.Errorf("an engine that is down answered %q", r.end.Kind)
	}
	b.engine.Boot()
	status := b.engine.Inspect("b", 1)
	if status.State != framework.AttemptAbsent || status.StartedUnixNano <= started || len(b.engine.Holds()) != 0 || b.engine.CachedTokens() != 0 {
		t.Errorf("after the restart: %+v, holds %v, %d tokens", status, b.engine.Holds(), b.engine.CachedTokens())
	}
	last := b.start(request("d", 1, 10, 30))
	b.engine.Drain(true)
	refused := b.start(request("e", 1, 10, 1))
	b.runFor(time.Second)
	if last.end.Kind != framework.EndCompleted || refused.end.Kind != framework.EndRejected || !refused.end.Draining {
		t.Errorf("running ended %q, new one %+v", last.end.Kind, refused.end)
	}
}

func TestReportsLagAndEventsAreLateAndLost(t *testing.T) {
	b := newTestEngine(t, func(p *Parameters) {
		p.Publication = Publication{LoadLag: time.Second, EventDelay: time.Second}
	})
	b.runFor(100 * millisecond)
	b.start(request("a", 1, 129, 100))
	b.runFor(500 * millisecond)
	if report := b.engine.Load(); report.Running != 0 || len(b.engine.CacheEvents(0)) != 0 {
		t.Errorf("too early: %+v, %v", report, b.engine.CacheEvents(0))
	}
	b.runFor(700 * millisecond)
	if report := b.engine.Load(); report.Running != 1 || len(b.engine.CacheEvents(0)) == 0 {
		t.Errorf("too late: %+v, %v", report, b.engine.CacheEvents(0))
	}
	b.runFor(10 * time.Second)
	before := b.engine.CacheEvents(0)
	b.engine.SetPublication(Publication{EventLoss: 1})
	b.start(request("b", 2, 129, 1))
	b.runFor(10 * time.Second)
	b.engine.SetPublication(Publication{})
	b.start(request("c", 3, 129, 1))
	b.runFor(10 * time.Second)
	last := before[len(before)-1].Sequence
	after := b.engine.CacheEvents(last)
	if len(after) == 0 || after[0].Sequence < last+2 {
		t.Errorf("no gap behind event %d after lost ones: %+v", last, after)
	}
}

func TestRoles(t *testing.T) {
	b := newTestEngine(t, nil)
	if err := b.engine.Order(structs.Order{Kind: structs.OrderSetRole, Fence: 1, Role: structs.RolePrefill}); err != nil {
		t.Fatal(err)
	}
	r := b.start(request("a", 1, 129, 20))
	b.runFor(time.Second)
	if r.end.FinishReason != FinishHandover || r.text != "" || r.ended != 159*millisecond {
		t.Errorf("end %+v at %v, text %q", r.end, r.ended, r.text)
	}
	decode, err := New(Options{ID: "d", Clock: b.clock, Parameters: testParameters(), Models: []structs.ModelName{testModel}, Role: structs.RoleDecode})
	if err != nil {
		t.Fatal(err)
	}
	export := b.engine.Export(structs.ProgramKey{Tenant: "t", Program: "a"})
	if got := decode.Import(export, structs.ProgramKey{Tenant: "t", Program: "a"}, ""); got != 2 {
		t.Errorf("imported %d blocks, want 2", got)
	}
	began := b.elapsed()
	second := &streamRecorder{testEngine: b}
	decode.Start(request("a", 1, 129, 20), second)
	b.runFor(time.Second)
	// One token is missing: 11 ms, then 19 more at 11 ms.
	if got := second.ended - began; got != 220*millisecond || second.end.Usage.CachedTokens != 128 {
		t.Errorf("took %v with %d cached", got, second.end.Usage.CachedTokens)
	}
}

// BenchmarkFifteenEngines measures the ratio of virtual to real time for 15
// engines that each get 4 requests a second, of 2,000 prompt tokens from 200
// shared prompts and 200 answer tokens.
func BenchmarkFifteenEngines(b *testing.B) {
	const seconds, perSecond = 60, 60
	for b.Loop() {
		virtual := clock.NewVirtual(testStart)
		fleet := NewFleet(24)
		for i := range 15 {
			e, err := New(Options{ID: structs.EngineID(fmt.Sprint(i)), Clock: virtual, Parameters: Default(), Models: []structs.ModelName{testModel}})
			if err != nil {
				b.Fatal(err)
			}
			fleet.Add(e)
		}
		for i := range seconds * perSecond {
			r := request(fmt.Sprint(i), int64(i%200), 2000, 200)
			virtual.AfterFunc(time.Duration(i)*time.Second/perSecond, func() {
				fleet.Engines()[i%15].Start(r, discardObserver{})
			})
		}
		virtual.RunUntil(testStart.Add(seconds * time.Second))
	}
	b.ReportMetric(seconds*float64(b.N)/b.Elapsed().Seconds(), "virtual-s/s")
}
