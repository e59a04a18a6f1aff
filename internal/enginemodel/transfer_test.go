package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestImportIsPinnedUntilTheAttemptTakesOver(t *testing.T) {
	b := newTestEngine(t, blocks(8))
	program := structs.ProgramKey{Tenant: "t", Program: "a"}
	export := Export{Model: testModel, Blocks: request("a", 1, 129, 1).Blocks}
	held := func() int64 {
		tokens := int64(0)
		for _, hold := range b.engine.Holds() {
			tokens += hold.Tokens
		}
		return tokens
	}
	b.engine.Release("gone")
	late := b.engine.Import(export, program, "gone")
	if late != 0 || held() != 0 || b.engine.CachedTokens() != 0 {
		t.Errorf("an import for a released hold left %d blocks, %d tokens held", late, held())
	}
	count, pinned := b.engine.Import(export, program, "h"), held()
	with := request("a", 1, 129, 70)
	with.Hold = "h"
	b.start(with)
	b.runFor(time.Second)
	again := b.engine.Import(export, program, "h")
	// 129 tokens and an answer of 70 fill three blocks.
	if diff := cmp.Diff([]int64{2, 128, 192, 2}, []int64{int64(count), pinned, held(), int64(again)}); diff != "" {
		t.Errorf("imported, held before, held after, imported again (-want +got):\n%s", diff)
	}
	b.engine.Release("h")
	if held() != 0 || b.engine.CachedTokens() != 0 {
		t.Errorf("%d tokens are held and %d cached after the release", held(), b.engine.CachedTokens())
	}
}

func TestTransfersShareALinkSequentially(t *testing.T) {
	b := newTestEngine(t, func(p *Parameters) { p.CacheBytesPerToken, p.LinkBytesPerSecond = 10, 6400 })
	others := make([]*Engine, 2)
	for i := range others {
		engine, err := New(Options{ID: structs.EngineID(fmt.Sprint(i)), Clock: b.clock, Parameters: b.engine.parameters})
		if err != nil {
			t.Fatal(err)
		}
		others[i] = engine
	}
	var waits []time.Duration
	// 64 tokens of 10 bytes over 6400 bytes a second take 100 ms.
	waits = append(waits, b.engine.ReserveLink(others[0], 1), others[1].ReserveLink(others[0], 1), others[1].ReserveLink(nil, 2))
	if diff := cmp.Diff([]time.Duration{100 * millisecond, 200 * millisecond, 400 * millisecond}, waits); diff != "" {
		t.Errorf("waits (-want +got):\n%s", diff)
	}
}

func TestTransferDurationFollowsLinkBandwidth(t *testing.T) {
	d := newTestDriver(t)
	parameters := testParameters()
	parameters.CacheBytesPerToken, parameters.LinkBytesPerSecond = 10, 6400
	receiver, err := New(Options{ID: "r", Clock: d.clock, Parameters: parameters, Models: []structs.ModelName{testModel}})
	if err != nil {
		t.Fatal(err)
	}
	d.driver.options.Fleet.Add(receiver)
	d.send(engineRequest("a", string(make([]byte, 600))))
	d.runFor(time.Second)
	began, took := d.elapsed(), time.Duration(0)
	d.driver.Transfer(framework.Transfer{From: "e", To: "r", Program: structs.ProgramKey{Tenant: "t", Program: "p"}}, func(tokens int64, err error) {
		if err != nil || tokens != 128 {
			t.Errorf("%d tokens, %v", tokens, err)
		}
		took = d.elapsed() - began
	})
	d.runFor(time.Second)
	// 2 blocks of 64 tokens of 10 bytes over 6400 bytes a second, and 5 ms
	// each way.
	if took != 210*millisecond || receiver.CachedTokens() != 128 {
		t.Errorf("took %v, %d tokens arrived", took, receiver.CachedTokens())
	}
}
