package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestBlockAccountingStaysConsistent runs random requests, cancellations, holds, releases,
// imports and crashes, and checks the block accounting after each event.
func TestBlockAccountingStaysConsistent(t *testing.T) {
	for seed := range uint64(20) {
		b := newTestEngine(t, func(p *Parameters) {
			p.CacheTokens = 24 * prefix.BlockTokens
			p.CoalescedSteps = 20
			p.MaximumWaiting = 50
		})
		random := rand.New(rand.NewPCG(seed, 9))
		for i := range 150 {
			at := time.Duration(random.Int64N(int64(20 * time.Second)))
			b.clock.AfterFunc(at, func() { b.randomOperation(random, i) })
		}
		// Holds that nobody releases may block other sequences: they are
		// released whenever no event is pending.
		for b.clock.Pending() > 0 || len(b.engine.Holds()) > 0 {
			b.stepChecked(seed)
			if b.clock.Pending() == 0 {
				b.releaseAll()
			}
		}
		c := b.engine.cache
		if len(b.engine.running)+len(b.engine.waiting)+c.private+c.pinnedBlocks != 0 || c.evictableCount != len(c.blocks) {
			t.Fatalf("seed %d: after all ended: %d running, %d waiting, %d private, %d pinned, %d of %d unused", seed,
				len(b.engine.running), len(b.engine.waiting), c.private, c.pinnedBlocks, c.evictableCount, len(c.blocks))
		}
	}
}

// stepChecked runs the next event, if any, and checks the block accounting.
func (b *testEngine) stepChecked(seed uint64) {
	b.clock.Step()
	if problem := b.engine.cache.check(); problem != "" {
		b.Fatalf("seed %d at %v: %s", seed, b.elapsed(), problem)
	}
}

func (b *testEngine) releaseAll() {
	for _, hold := range b.engine.Holds() {
		b.engine.Release(hold.ID)
	}
}

// randomOperation performs one random operation on the engine.
func (b *testEngine) randomOperation(random *rand.Rand, number int) {
	name := func() string { return fmt.Sprint(random.IntN(150)) }
	switch random.IntN(12) {
	case 0:
		b.engine.Cancel(structs.AttemptID(name()), func() {})
	case 1, 2:
		b.engine.Release(structs.HoldID(name()))
	case 3:
		export := Export{Model: testModel}
		for i := range 1 + random.IntN(30) {
			export.Blocks = append(export.Blocks, structs.BlockHash(1000*random.IntN(6)+i))
		}
		b.engine.Import(export, structs.ProgramKey{Tenant: "t", Program: structs.ProgramID(name())}, structs.HoldID(name()))
	case 4:
		if random.IntN(4) == 0 {
			b.engine.Crash()
			b.engine.Boot()
		}
	default:
		r := request(fmt.Sprint(number), random.Int64N(6), 1+random.Int64N(600), 1+random.Int64N(200))
		r.Priority = random.IntN(3)
		if random.IntN(2) == 0 {
			r.Hold = structs.HoldID(fmt.Sprint(number))
		}
		b.start(r)
	}
}

// check recounts the cache's blocks and returns a description of any mismatch.
func (c *blockCache) check() string {
	pinned, unused := 0, 0
	for _, b := range c.blocks {
		if b.holdRefs > 0 {
			pinned++
		}
		if b.sequenceRefs == 0 && b.holdRefs == 0 {
			unused++
		}
		if b.sequenceRefs < 0 || b.holdRefs < 0 {
			return fmt.Sprintf("block %v has %d running and %d pinned", b.key, b.sequenceRefs, b.holdRefs)
		}
	}
	linked := 0
	for b := c.evictable.newer; b != &c.evictable; b = b.newer {
		linked++
	}
	if pinned != c.pinnedBlocks || unused != c.evictableCount || linked != unused {
		return fmt.Sprintf("pinned %d, counted %d; unused %d, counted %d, linked %d", pinned, c.pinnedBlocks, unused, c.evictableCount, linked)
	}
	if c.private < 0 || c.used() > c.capacity {
		return fmt.Sprintf("%d private, %d of %d used", c.private, c.used(), c.capacity)
	}
	return ""
}

// TestRunIsDeterministic guards the determinism of a run with random operations
// and event loss.
func TestRunIsDeterministic(t *testing.T) {
	run := func() string {
		b := newTestEngine(t, func(p *Parameters) { p.Publication.EventLoss = 0.3 })
		random := rand.New(rand.NewPCG(4, 4))
		for i := range 100 {
			b.clock.AfterFunc(time.Duration(random.Int64N(int64(10*time.Second))), func() { b.randomOperation(random, i) })
		}
		b.clock.RunUntil(testStart.Add(time.Minute))
		return fmt.Sprint(b.engine.Statistics(), b.engine.CacheEvents(0), b.engine.Holds(), b.engine.Load())
	}
	if first, second := run(), run(); first != second {
		t.Errorf("two runs differ:\n%s\n%s", first, second)
	}
}
