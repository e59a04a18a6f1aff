package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, time.December, 2, 18, 0, 0, 0, time.UTC)

// heldUpByStore returns a request that is held up because the store has been unavailable
// for some time.
func heldUpByStore(lasted, left time.Duration) (HeldUpRequest, time.Time) {
	now := start.Add(lasted)
	return HeldUpRequest{Kind: StoreUnavailable, Since: start, LatestStart: now.Add(left)}, now
}

func TestRequestWaitsWhileItIsLikelyServedInTime(t *testing.T) {
	cases := []struct {
		name         string
		lasted, left time.Duration
		waits        bool
	}{
		{"new outage, long deadline", 0, 3 * time.Second, true},
		{"new outage, short deadline", 0, 200 * time.Millisecond, false},
		{"outage longer than the time left", 4 * time.Second, 3 * time.Second, false},
		{"time left longer than the outage", 4 * time.Second, 6 * time.Second, true},
		{"deadline passed", time.Second, -time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a Controller
			wait, now := heldUpByStore(c.lasted, c.left)
			if got := a.Decide(wait, now).ShouldWait(now); got != c.waits {
				t.Errorf("waits: %v", got)
			}
		})
	}
}

func TestWaitEndsWhenTheOddsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Controller
		kind := Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind"))
		for range rapid.IntRange(0, 50).Draw(t, "ended") {
			a.ObserveDuration(kind, time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "lasted")))
		}
		lasted := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "lasts"))
		left := time.Duration(rapid.Int64Range(int64(-time.Second), int64(20*time.Second)).Draw(t, "left"))
		now := start.Add(lasted)
		wait := HeldUpRequest{Kind: kind, Since: start, LatestStart: now.Add(left)}
		first := a.Decide(wait, now)
		if waits := first.ShouldWait(now); waits != (first.SuccessProbability > minSuccessProbability) {
			t.Fatalf("chance %v, waits: %v", first.SuccessProbability, waits)
		}
		if !first.ShouldWait(now) {
			return
		}
		if first.WaitUntil.After(wait.LatestStart) {
			t.Fatalf("waits until %s, which is after %s", first.WaitUntil, wait.LatestStart)
		}
		// Asking again later yields the same decision: asking has no side effects.
		middle := now.Add(first.WaitUntil.Sub(now) / 2)
		if later := a.Decide(wait, middle).WaitUntil; later.Sub(first.WaitUntil).Abs() > time.Microsecond {
			t.Fatalf("decided %s, and later %s", first.WaitUntil, later)
		}
		if a.Decide(wait, first.WaitUntil.Add(time.Millisecond)).ShouldWait(first.WaitUntil.Add(time.Millisecond)) {
			t.Fatal("still waits 1 ms after the end of its wait")
		}
	})
}

func TestForecastLearnsFromObservedDurations(t *testing.T) {
	var fresh, short, long Controller
	for range 40 {
		short.ObserveDuration(ShardMoving, 100*time.Millisecond)
		long.ObserveDuration(ShardMoving, 5*time.Second)
	}
	wait := HeldUpRequest{Kind: ShardMoving, Since: start, LatestStart: start.Add(500 * time.Millisecond)}
	before, quick, slow := fresh.Decide(wait, start), short.Decide(wait, start), long.Decide(wait, start)
	if !(quick.MedianRemaining < before.MedianRemaining && before.MedianRemaining < slow.MedianRemaining) {
		t.Errorf("median remaining: %s after short samples, %s without samples, %s after long samples", quick.MedianRemaining, before.MedianRemaining, slow.MedianRemaining)
	}
	if !quick.ShouldWait(start) || slow.ShouldWait(start) {
		t.Errorf("waits: %v after short samples, %v after long samples", quick.ShouldWait(start), slow.ShouldWait(start))
	}
	other := HeldUpRequest{Kind: StoreUnavailable, Since: start, LatestStart: start.Add(time.Second)}
	if long.Decide(other, start) != fresh.Decide(other, start) {
		t.Error("samples of one kind changed the forecast of another")
	}
}

func TestForecastWeighsRecentDurationsMore(t *testing.T) {
	var a Controller
	for range 200 {
		a.ObserveDuration(ServiceFull, 10*time.Second)
	}
	for range 200 {
		a.ObserveDuration(ServiceFull, 10*time.Millisecond)
	}
	wait := HeldUpRequest{Kind: ServiceFull, Since: start, LatestStart: start.Add(100 * time.Millisecond)}
	if !a.Decide(wait, start).ShouldWait(start) {
		t.Error("old samples outweigh recent ones")
	}
}

func BenchmarkDecide(b *testing.B) {
	var a Controller
	wait, now := heldUpByStore(time.Second, 3*time.Second)
	for b.Loop() {
		a.Decide(wait, now)
	}
}
