package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, time.December, 2, 18, 0, 0, 0, time.UTC)

// storeOut is a request that is held up by a store that has been out for a while.
func storeOut(lasted, left time.Duration) (HeldUpRequest, time.Time) {
	now := start.Add(lasted)
	return HeldUpRequest{Kind: StoreUnavailable, Since: start, LatestStart: now.Add(left)}, now
}

func TestRequestWaitsWhileItIsLikelyServedInTime(t *testing.T) {
	cases := []struct {
		name         string
		lasted, left time.Duration
		waits        bool
	}{
		{"the outage has just begun and there is much time", 0, 3 * time.Second, true},
		{"the outage has just begun and there is none", 0, 200 * time.Millisecond, false},
		{"it has lasted longer than the caller still listens", 4 * time.Second, 3 * time.Second, false},
		{"the caller listens for longer than it has lasted", 4 * time.Second, 6 * time.Second, true},
		{"the time is over", time.Second, -time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a Controller
			wait, now := storeOut(c.lasted, c.left)
			if got := a.Decide(wait, now).ShouldWait(now); got != c.waits {
				t.Errorf("waits: %v", got)
			}
		})
	}
}

func TestWaitEndsWhenTheOddsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Controller
		kind := Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind"))
		for range rapid.IntRange(0, 50).Draw(t, "ended") {
			a.ObserveDuration(kind, time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "lasted")))
		}
		lasted := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "lasts"))
		left := time.Duration(rapid.Int64Range(int64(-time.Second), int64(20*time.Second)).Draw(t, "left"))
		now := start.Add(lasted)
		wait := HeldUpRequest{Kind: kind, Since: start, LatestStart: now.Add(left)}
		first := a.Decide(wait, now)
		if waits := first.ShouldWait(now); waits != (first.SuccessProbability > evenOdds) {
			t.Fatalf("chance %v, waits: %v", first.SuccessProbability, waits)
		}
		if !first.ShouldWait(now) {
			return
		}
		if first.WaitUntil.After(wait.LatestStart) {
			t.Fatalf("waits until %s, which is after %s", first.WaitUntil, wait.LatestStart)
		}
		// The same answer comes out later: nothing is decided anew by being asked.
		middle := now.Add(first.WaitUntil.Sub(now) / 2)
		if later := a.Decide(wait, middle).WaitUntil; later.Sub(first.WaitUntil).Abs() > time.Microsecond {
			t.Fatalf("decided %s, and later %s", first.WaitUntil, later)
		}
		if a.Decide(wait, first.WaitUntil.Add(time.Millisecond)).ShouldWait(first.WaitUntil.Add(time.Millisecond)) {
			t.Fatal("still waits after that")
		}
	})
}

func TestForecastFollowsTheConditionsThatEnded(t *testing.T) {
	var fresh, short, long Controller
	for range 40 {
		short.ObserveDuration(ShardMoving, 100*time.Millisecond)
		long.ObserveDuration(ShardMoving, 5*time.Second)
	}
	wait := HeldUpRequest{Kind: ShardMoving, Since: start, LatestStart: start.Add(500 * time.Millisecond)}
	before, quick, slow := fresh.Decide(wait, start), short.Decide(wait, start), long.Decide(wait, start)
	if !(quick.MedianRemaining < before.MedianRemaining && before.MedianRemaining < slow.MedianRemaining) {
		t.Errorf("remaining: %s after short ones, %s before any, %s after long ones", quick.MedianRemaining, before.MedianRemaining, slow.MedianRemaining)
	}
	if !quick.ShouldWait(start) || slow.ShouldWait(start) {
		t.Errorf("waits: %v after short ones, %v after long ones", quick.ShouldWait(start), slow.ShouldWait(start))
	}
	other := HeldUpRequest{Kind: StoreUnavailable, Since: start, LatestStart: start.Add(time.Second)}
	if long.Decide(other, start) != fresh.Decide(other, start) {
		t.Error("one kind of condition speaks for another")
	}
}

func TestForecastFollowsTheTimes(t *testing.T) {
	var a Controller
	for range 200 {
		a.ObserveDuration(ServiceFull, 10*time.Second)
	}
	for range 200 {
		a.ObserveDuration(ServiceFull, 10*time.Millisecond)
	}
	wait := HeldUpRequest{Kind: ServiceFull, Since: start, LatestStart: start.Add(100 * time.Millisecond)}
	if !a.Decide(wait, start).ShouldWait(start) {
		t.Error("what was long ago outweighs what is")
	}
}

func BenchmarkDecide(b *testing.B) {
	var a Controller
	wait, now := storeOut(time.Second, 3*time.Second)
	for b.Loop() {
		a.Decide(wait, now)
	}
}
