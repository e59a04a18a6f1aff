package quota

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedOwner answers after a delay, or not at all.
type scriptedOwner struct {
	delay   time.Duration
	err     error
	verdict Verdict
	asked   int
}

// AskQuota implements Owner.
func (o *scriptedOwner) AskQuota(ctx context.Context, _ Request) (Verdict, error) {
	o.asked++
	select {
	case <-time.After(o.delay):
		return o.verdict, o.err
	case <-ctx.Done():
		return Verdict{}, ctx.Err()
	}
}

// admitFor lets a request come each so often, and returns how many passed and the
// longest that one of them waited.
func admitFor(t *testing.T, g *Gate, length, each time.Duration) (passed int, longest time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var mutex sync.Mutex
	var requests sync.WaitGroup
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(each) {
		requests.Go(func() {
			asked := time.Now()
			verdict, err := g.Admit(ctx, Request{Tenant: "t"})
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil && verdict.Admitted {
				passed++
				longest = max(longest, time.Since(asked))
			}
		})
	}
	requests.Wait()
	return passed, longest
}

// TestRequestsPassAtTheirFormerPaceWithoutAnOwner: while the owner of a limit is
// lost, each daemon lets pass what it did before, so that all together stay within.
func TestRequestsPassAtTheirFormerPaceWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &scriptedOwner{delay: time.Millisecond, verdict: Verdict{Admitted: true}}
		g := NewGate(owner, testTerms)
		before, _ := admitFor(t, g, testTerms.Window, 500*time.Millisecond)
		owner.delay = time.Hour
		during, longest := admitFor(t, g, testTerms.Window, 50*time.Millisecond) // ten times as many
		if during < before-2 || during > before+1 {
			t.Errorf("%d requests passed without an owner, %d before", during, before)
		}
		if longest > testTerms.Window {
			t.Errorf("one waited %s", longest)
		}
		time.Sleep(askTime) // questions end
	})
}

// TestSilentOwnerHoldsNothingUp: a request of the usual pace waits ownerPatience at
// most, and only some do.
func TestSilentOwnerHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &scriptedOwner{delay: time.Millisecond, verdict: Verdict{Admitted: true}}
		g := NewGate(owner, testTerms)
		admitFor(t, g, testTerms.Window, 200*time.Millisecond)
		owner.delay = time.Hour
		passed, longest := admitFor(t, g, 3*time.Second, 400*time.Millisecond)
		if passed < 7 || longest > ownerPatience {
			t.Errorf("%d of 8 passed, the slowest after %s, want all within %s", passed, longest, ownerPatience)
		}
		time.Sleep(askTime)
	})
}

// TestDaemonThatNeverHadAnOwnerLetsOneRequestPass: one that has just started, or is
// cut off, must not let pass what others may have used up.
func TestDaemonThatNeverHadAnOwnerLetsOneRequestPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(&scriptedOwner{err: errors.New("moved")}, testTerms)
		if passed, _ := admitFor(t, g, 20*time.Second, 100*time.Millisecond); passed != 1 {
			t.Errorf("%d requests passed, want 1", passed)
		}
		_, err := g.Admit(t.Context(), Request{Tenant: "t"})
		if !errors.Is(err, ErrOwnerUnreachable) {
			t.Errorf("got %v, want that the owner can not be asked", err)
		}
	})
}

// TestOwnersVerdictCounts: a request that is not admitted is not counted either.
func TestOwnersVerdictCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &scriptedOwner{verdict: Verdict{Reason: ReasonExhausted, RetryAfterMS: 40}}
		g := NewGate(owner, testTerms)
		verdict, err := g.Admit(t.Context(), Request{Tenant: "t"})
		if err != nil || verdict.Admitted || verdict.RetryAfter() != 40*time.Millisecond {
			t.Errorf("got %+v, %v", verdict, err)
		}
		if used := g.tenants["t"].used(g.slot(time.Now())); used != 0 {
			t.Errorf("%d requests are counted", used)
		}
	})
}
