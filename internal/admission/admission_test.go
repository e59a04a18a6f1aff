package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, time.December, 2, 18, 0, 0, 0, time.UTC)

// storeOut is a request that is held up by a store that has been out for a while.
func storeOut(lasted, left time.Duration) (Wait, time.Time) {
	now := start.Add(lasted)
	return Wait{Kind: StoreOut, Since: start, Worthless: now.Add(left)}, now
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
			var a Admission
			wait, now := storeOut(c.lasted, c.left)
			if got := a.Decide(wait, now).Waits(now); got != c.waits {
				t.Errorf("waits: %v", got)
			}
		})
	}
}

func TestWaitEndsWhenTheOddsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Admission
		kind := Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind"))
		for range rapid.IntRange(0, 50).Draw(t, "ended") {
			a.Ended(kind, time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "lasted")))
		}
		lasted := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "lasts"))
		left := time.Duration(rapid.Int64Range(int64(-time.Second), int64(20*time.Second)).Draw(t, "left"))
		now := start.Add(lasted)
		wait := Wait{Kind: kind, Since: start, Worthless: now.Add(left)}
		first := a.Decide(wait, now)
		if waits := first.Waits(now); waits != (first.Chance > evenOdds) {
			t.Fatalf("chance %v, waits: %v", first.Chance, waits)
		}
		if !first.Waits(now) {
			return
		}
		if first.Until.After(wait.Worthless) {
			t.Fatalf("waits until %s, which is after %s", first.Until, wait.Worthless)
		}
		// The same answer comes out later: nothing is decided anew by being asked.
		middle := now.Add(first.Until.Sub(now) / 2)
		if later := a.Decide(wait, middle).Until; later.Sub(first.Until).Abs() > time.Microsecond {
			t.Fatalf("decided %s, and later %s", first.Until, later)
		}
		if a.Decide(wait, first.Until.Add(time.Millisecond)).Waits(first.Until.Add(time.Millisecond)) {
			t.Fatal("still waits after that")
		}
	})
}

func TestForecastFollowsTheConditionsThatEnded(t *testing.T) {
	var fresh, short, long Admission
	for range 40 {
		short.Ended(ShardMoving, 100*time.Millisecond)
		long.Ended(ShardMoving, 5*time.Second)
	}
	wait := Wait{Kind: ShardMoving, Since: start, Worthless: start.Add(500 * time.Millisecond)}
	before, quick, slow := fresh.Decide(wait, start), short.Decide(wait, start), long.Decide(wait, start)
	if !(quick.Remaining < before.Remaining && before.Remaining < slow.Remaining) {
		t.Errorf("remaining: %s after short ones, %s before any, %s after long ones", quick.Remaining, before.Remaining, slow.Remaining)
	}
	if !quick.Waits(start) || slow.Waits(start) {
		t.Errorf("waits: %v after short ones, %v after long ones", quick.Waits(start), slow.Waits(start))
	}
	other := Wait{Kind: StoreOut, Since: start, Worthless: start.Add(time.Second)}
	if long.Decide(other, start) != fresh.Decide(other, start) {
		t.Error("one kind of condition speaks for another")
	}
}

func TestForecastFollowsTheTimes(t *testing.T) {
	var a Admission
	for range 200 {
		a.Ended(ServiceFull, 10*time.Second)
	}
	for range 200 {
		a.Ended(ServiceFull, 10*time.Millisecond)
	}
	wait := Wait{Kind: ServiceFull, Since: start, Worthless: start.Add(100 * time.Millisecond)}
	if !a.Decide(wait, start).Waits(start) {
		t.Error("what was long ago outweighs what is")
	}
}

func BenchmarkDecide(b *testing.B) {
	var a Admission
	wait, now := storeOut(time.Second, 3*time.Second)
	for b.Loop() {
		a.Decide(wait, now)
	}
}
