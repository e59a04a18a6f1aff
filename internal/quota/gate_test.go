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

// admitFor makes requests at an interval for some time, and returns how many were
// admitted and the longest wait of one of them.
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

// TestRequestsPassAtTheirFormerRateWithoutAnOwner guards against exceeding the limit,
// or refusing everything, while the owner is lost.
func TestRequestsPassAtTheirFormerRateWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &scriptedOwner{delay: time.Millisecond, verdict: Verdict{Admitted: true}}
		g := NewGate(owner, testTolerance)
		before, _ := admitFor(t, g, testTolerance.Window, 500*time.Millisecond)
		owner.delay = time.Hour
		during, longest := admitFor(t, g, testTolerance.Window, 50*time.Millisecond) // ten times as many
		if during < before-2 || during > before+1 {
			t.Errorf("%d requests passed without an owner, %d before", during, before)
		}
		if longest > testTolerance.Window {
			t.Errorf("the slowest request waited %s", longest)
		}
		time.Sleep(askTimeout) // requests to the owner end
	})
}

// TestSilentOwnerDelaysNoRequestBeyondTheFallback guards against requests that wait
// for a silent owner longer than fallbackDelay.
func TestSilentOwnerDelaysNoRequestBeyondTheFallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &scriptedOwner{delay: time.Millisecond, verdict: Verdict{Admitted: true}}
		g := NewGate(owner, testTolerance)
		admitFor(t, g, testTolerance.Window, 200*time.Millisecond)
		owner.delay = time.Hour
		passed, longest := admitFor(t, g, 3*time.Second, 400*time.Millisecond)
		if passed < 7 || longest > fallbackDelay {
			t.Errorf("%d of 8 passed, the slowest after %s, want all within %s", passed, longest, fallbackDelay)
		}
		time.Sleep(askTimeout)
	})
}

// TestDaemonThatNeverHadAnOwnerAdmitsOneRequest guards against a daemon that has just
// started, or is cut off, using up tokens that others have used already.
func TestDaemonThatNeverHadAnOwnerAdmitsOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(&scriptedOwner{err: errors.New("moved")}, testTolerance)
		if passed, _ := admitFor(t, g, 20*time.Second, 100*time.Millisecond); passed != 1 {
			t.Errorf("%d requests passed, want 1", passed)
		}
		_, err := g.Admit(t.Context(), Request{Tenant: "t"})
		if !errors.Is(err, ErrOwnerUnreachable) {
			t.Errorf("got %v, want ErrOwnerUnreachable", err)
		}
	})
}

// TestOwnersRefusalIsNotCounted guards against counting a refused request as used.
func TestOwnersRefusalIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &scriptedOwner{verdict: Verdict{Reason: ReasonExhausted, RetryAfterMS: 40}}
		g := NewGate(owner, testTolerance)
		verdict, err := g.Admit(t.Context(), Request{Tenant: "t"})
		if err != nil || verdict.Admitted || verdict.RetryAfter() != 40*time.Millisecond {
			t.Errorf("got %+v, %v", verdict, err)
		}
		if used := g.tenants["t"].used(g.slot(time.Now())); used != 0 {
			t.Errorf("%d requests are counted as used, want 0", used)
		}
	})
}
