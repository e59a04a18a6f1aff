package instance

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// requestCounts returns how many of 100 consecutive requests each instance gets.
func requestCounts(p *Pool) map[string]int {
	counts := map[string]int{}
	for range 100 {
		got, found := p.Take(Query{Service: "s"})
		if !found {
			continue
		}
		counts[got.ID]++
		p.Release(got.ID, OutcomeAnswered)
	}
	return counts
}

func TestBackoffGrowsWithRepeatedFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.Release("a", OutcomeFailed)
		time.Sleep(failureBackoff + time.Millisecond)
		if requestCounts(p)["a"] == 0 {
			t.Error("an instance that failed once got no request after its backoff")
		}
		for range 3 {
			p.Release("a", OutcomeFailed)
		}
		time.Sleep(4 * failureBackoff)
		if got := requestCounts(p)["a"]; got != 0 {
			t.Errorf("an instance that failed four times got %d of 100 requests after %v", got, 4*failureBackoff)
		}
		time.Sleep(maxFailureBackoff)
		if requestCounts(p)["a"] == 0 {
			t.Error("an instance got no request after the longest backoff")
		}
		time.Sleep(failureWindow)
		p.Release("a", OutcomeFailed)
		time.Sleep(failureBackoff + time.Millisecond)
		if requestCounts(p)["a"] == 0 {
			t.Error("failures before the failure window lengthen the backoff")
		}
	})
}

func TestTimeoutBacksOff(t *testing.T) {
	p := newTestPool("a", "b")
	p.Release("a", OutcomeTimeout)
	if got := requestCounts(p)["a"]; got != 0 {
		t.Errorf("an instance that timed out got %d of 100 requests", got)
	}
}

// recordLatencies records ten latencies of a kind for each instance, in turn.
func recordLatencies(p *Pool, kind string, took map[string]time.Duration) {
	for range 10 {
		for id, latency := range took {
			p.RecordLatency(id, kind, latency)
		}
	}
}

func TestSlowInstanceIsAvoidedUntilItsSamplesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b", "c", "d")
		usual := 30 * time.Millisecond
		recordLatencies(p, "k", map[string]time.Duration{"a": usual, "b": usual, "c": usual, "d": usual})
		recordLatencies(p, "k", map[string]time.Duration{"a": 6 * usual, "b": usual, "c": usual, "d": usual})
		if got := requestCounts(p); got["a"] != 0 || got["b"] == 0 || got["c"] == 0 || got["d"] == 0 {
			t.Errorf("requests by instance: %v, want none at a", got)
		}
		time.Sleep(slownessTTL + time.Second)
		if requestCounts(p)["a"] == 0 {
			t.Error("an instance gets no request after its samples expired")
		}
	})
}

func TestEachKindHasItsOwnTypicalLatency(t *testing.T) {
	p := newTestPool("a", "b")
	for range 20 {
		p.RecordLatency("a", "long", 900*time.Millisecond)
		p.RecordLatency("b", "short", 10*time.Millisecond)
	}
	if got := requestCounts(p); got["a"] == 0 {
		t.Error("an instance got no request because its operations are of a slower kind")
	}
}

func TestUniformlySlowInstancesAreAllUsed(t *testing.T) {
	p := newTestPool("a", "b")
	recordLatencies(p, "k", map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond})
	recordLatencies(p, "k", map[string]time.Duration{"a": time.Second, "b": time.Second})
	if got := requestCounts(p); got["a"] == 0 || got["b"] == 0 {
		t.Errorf("requests by instance: %v, want some at each", got)
	}
}

func TestTypicalLatenciesAreBounded(t *testing.T) {
	p := typicalLatencies{}
	for i := range 2 * maxKinds {
		p.observe(string(rune(i+1))+"-kind", time.Second)
	}
	if len(p) > maxKinds {
		t.Errorf("%d kinds are kept", len(p))
	}
	if got := p.observe("new", 0); got != 0 || math.IsNaN(got) {
		t.Errorf("slowness %v of the first operation of a kind, want 0", got)
	}
}

func TestListAgeCountsFromTheLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(nil, Plugins{})
		p.ConfirmList(time.Now())
		if p.HasList() || p.ListAge() != 0 {
			t.Error("a list was confirmed before there was one")
		}
		p.Replace(listOf(StateReady, "a"))
		time.Sleep(20 * time.Second)
		if got := p.ListAge(); got != 20*time.Second {
			t.Errorf("age %v, want 20s", got)
		}
		p.ConfirmList(time.Now())
		time.Sleep(time.Second)
		if got := p.ListAge(); got != time.Second {
			t.Errorf("age %v 1s after the list was confirmed", got)
		}
		p.ConfirmList(time.Now().Add(-2 * time.Second))
		if got := p.ListAge(); got != time.Second {
			t.Errorf("age %v after a confirmation with an older time", got)
		}
	})
}
