package instance

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// share returns how many of 100 requests, one at a time, each instance gets.
func share(p *Pool) map[string]int {
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

func TestInstanceThatFailsAgainIsPassedOverLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.Release("a", OutcomeFailed)
		time.Sleep(failurePause + time.Millisecond)
		if share(p)["a"] == 0 {
			t.Error("an instance that failed once got nothing after its pause")
		}
		for range 3 {
			p.Release("a", OutcomeFailed)
		}
		time.Sleep(4 * failurePause)
		if got := share(p)["a"]; got != 0 {
			t.Errorf("an instance that failed four times got %d of 100 after %v", got, 4*failurePause)
		}
		time.Sleep(longestFailurePause)
		if share(p)["a"] == 0 {
			t.Error("an instance that failed was given up")
		}
		time.Sleep(failureMemory)
		p.Release("a", OutcomeFailed)
		time.Sleep(failurePause + time.Millisecond)
		if share(p)["a"] == 0 {
			t.Error("failures of long ago lengthen the pause")
		}
	})
}

func TestSilentInstanceIsPassedOver(t *testing.T) {
	p := newTestPool("a", "b")
	p.Release("a", OutcomeTimeout)
	if got := share(p)["a"]; got != 0 {
		t.Errorf("an instance that said nothing got %d of 100", got)
	}
}

// work lets instances do ten pieces of work of one kind each, by turns.
func work(p *Pool, kind string, took map[string]time.Duration) {
	for range 10 {
		for id, length := range took {
			p.RecordLatency(id, kind, length)
		}
	}
}

func TestSlowInstanceGetsLessUntilItsSamplesAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b", "c", "d")
		usual := 30 * time.Millisecond
		work(p, "k", map[string]time.Duration{"a": usual, "b": usual, "c": usual, "d": usual})
		work(p, "k", map[string]time.Duration{"a": 6 * usual, "b": usual, "c": usual, "d": usual})
		if got := share(p); got["a"] != 0 || got["b"] == 0 || got["c"] == 0 || got["d"] == 0 {
			t.Errorf("got %v, want nothing at a", got)
		}
		time.Sleep(paceLife + time.Second)
		if share(p)["a"] == 0 {
			t.Error("an instance that was slow long ago gets nothing")
		}
	})
}

func TestKindsOfWorkHaveTheirOwnPace(t *testing.T) {
	p := newTestPool("a", "b")
	for range 20 {
		p.RecordLatency("a", "long", 900*time.Millisecond)
		p.RecordLatency("b", "short", 10*time.Millisecond)
	}
	if got := share(p); got["a"] == 0 {
		t.Error("an instance got nothing because it does the longer kind of work")
	}
}

func TestInstancesThatAreAllSlowAreAllUsed(t *testing.T) {
	p := newTestPool("a", "b")
	work(p, "k", map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond})
	work(p, "k", map[string]time.Duration{"a": time.Second, "b": time.Second})
	if got := share(p); got["a"] == 0 || got["b"] == 0 {
		t.Errorf("got %v", got)
	}
}

func TestPacesAreBounded(t *testing.T) {
	p := paces{}
	for i := range 2 * kindLimit {
		p.slowness(string(rune(i+1))+"-kind", time.Second)
	}
	if len(p) > kindLimit {
		t.Errorf("%d kinds are remembered", len(p))
	}
	if got := p.slowness("new", 0); got != 0 || math.IsNaN(got) {
		t.Errorf("the first of a kind is as slow as usual, got %v", got)
	}
}

func TestAgeOfTheListIsThatOfItsLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(nil, Plugins{})
		p.ConfirmList(time.Now())
		if p.HasList() || p.ListAge() != 0 {
			t.Error("a list counts as known before there was one")
		}
		p.Replace(listOf(StateReady, "a"))
		time.Sleep(20 * time.Second)
		if got := p.ListAge(); got != 20*time.Second {
			t.Errorf("age %v", got)
		}
		p.ConfirmList(time.Now())
		time.Sleep(time.Second)
		if got := p.ListAge(); got != time.Second {
			t.Errorf("age %v after the store confirmed the list", got)
		}
		p.ConfirmList(time.Now().Add(-2 * time.Second))
		if got := p.ListAge(); got != time.Second {
			t.Errorf("age %v after an older reading", got)
		}
	})
}
