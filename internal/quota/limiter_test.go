package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTerms are those of the operators whose sheet sets any.
var testTerms = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func askOf(limit Limit, program string, begins bool) Request {
	return Request{Tenant: "t", Limit: limit, Version: 1, Program: program, Route: "r", MayStartProgram: begins}
}

// mostInAnyWindow returns the most moments that lie within one window.
func mostInAnyWindow(moments []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, moment := range moments {
		for moment-moments[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestNoWindowPassesTheLimit: whatever a tenant asks for, and however often its owner
// is lost, no window holds more than the terms allow, for as many takeovers a window
// as are borne.
func TestNoWindowPassesTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			PerSecond: rapid.Float64Range(0.2, 300).Draw(t, "rate"),
			Burst:     rapid.Float64Range(0, 300).Draw(t, "burst"),
		}
		takeovers := rapid.IntRange(0, takeoversBorne).Draw(t, "takeovers in each window")
		pressure := rapid.Float64Range(0.3, 8).Draw(t, "demand, times the rate")
		start := time.Time{}.Add(time.Hour)
		limiter := NewLimiter(testTerms, true, start)
		lostAt := time.Duration(0)
		var admitted []time.Duration
		for at := time.Duration(0); at < 12*time.Second; {
			if takeovers > 0 && at-lostAt > testTerms.Window/time.Duration(takeovers) {
				limiter, lostAt = NewLimiter(testTerms, false, start.Add(at)), at
			}
			if limiter.Decide(askOf(limit, "", false), start.Add(at)).Admitted {
				admitted = append(admitted, at)
			}
			gap := rapid.Float64Range(0, 2).Draw(t, "gap") / (limit.PerSecond * pressure)
			at += max(time.Duration(gap*float64(time.Second)), time.Millisecond)
		}
		if got, most := mostInAnyWindow(admitted, testTerms.Window), testTerms.most(limit); float64(got) > most {
			t.Errorf("%d requests in a window that may hold %.1f", got, most)
		}
	})
}

// TestBoundsAddUpToTheTerms: what is set aside is what the terms allow, not more.
func TestBoundsAddUpToTheTerms(t *testing.T) {
	for _, limit := range []Limit{{1, 1}, {60, 60}, {326, 326}, {5, 0}} {
		b := testTerms.boundsOf(limit)
		spare := testTerms.most(limit) - limit.PerSecond*testTerms.Window.Seconds() - limit.Burst
		total := b.rate*testTerms.Window.Seconds() + b.capacity + takeoversBorne*b.start + unaskedShare*spare
		if math.Abs(total-testTerms.most(limit)) > 1e-6 || b.rate < limit.PerSecond || b.capacity < limit.Burst {
			t.Errorf("%+v: %+v add up to %.2f, want %.2f, no less rate and burst than the limit's", limit, b, total, testTerms.most(limit))
		}
	}
}

// TestUsualLoadIsNeverRefused: a tenant that asks for five eighths of its limit, in
// programs, as users' tenants do, is refused nothing, a small one included.
func TestUsualLoadIsNeverRefused(t *testing.T) {
	for _, rate := range []float64{5, 20, 60} {
		got := playPrograms(Limit{rate, rate}, 0.625*rate, 60*time.Second, 1)
		if got.refusedFirst+got.cut > 0 {
			t.Errorf("%g a second: %d programs refused and %d cut of %d", rate, got.refusedFirst, got.cut, got.begun)
		}
	}
}

// TestOverloadedTenantFinishesWhatItBegins: a tenant that asks for five times its
// limit finishes as many programs as the limit carries. Where requests are admitted
// as they come, nearly every program is cut at some request.
func TestOverloadedTenantFinishesWhatItBegins(t *testing.T) {
	const rate = 60
	got := playPrograms(Limit{rate, rate}, 5*rate, 30*time.Second, 1)
	carried := rate * 30 / playedRequests
	t.Logf("%d programs finished, %d cut, %d refused at their first request; the limit carries %d", got.finished, got.cut, got.refusedFirst, carried)
	if float64(got.finished) < 0.85*float64(carried) || got.cut > got.finished/10 {
		t.Errorf("%d programs finished and %d cut, want nearly %d finished and few cut", got.finished, got.cut, carried)
	}
}

// playedRequests is what each program of playPrograms needs.
const playedRequests = 8

// played is what became of programs.
type played struct{ begun, refusedFirst, cut, finished int }

// playedPatience is how long a request of a program under way waits for room.
const playedPatience = time.Second

// playPrograms lets programs of playedRequests requests, 0.25 s apart, begin evenly
// so that they ask for so many requests a second. A request of a program under way
// that is refused is made again when the verdict says, as relays do.
func playPrograms(limit Limit, perSecond float64, length time.Duration, seed int) played {
	type step struct {
		program string
		made    int
		waited  time.Duration
	}
	start := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTerms, true, start)
	var result played
	due := map[int][]step{} // by millisecond
	between := playedRequests / perSecond * 1000
	for begins := 0.0; begins < float64(length.Milliseconds()); begins += between {
		due[int(begins)] = append(due[int(begins)], step{program: fmt.Sprint(seed, "-", begins)})
		result.begun++
	}
	for ms := 0; ms < int(length.Milliseconds())+10_000; ms++ {
		for _, s := range due[ms] {
			verdict := limiter.Decide(askOf(limit, s.program, s.made == 0), start.Add(time.Duration(ms)*time.Millisecond))
			switch {
			case verdict.Admitted && s.made == playedRequests-1:
				result.finished++
			case verdict.Admitted:
				due[ms+250] = append(due[ms+250], step{program: s.program, made: s.made + 1})
			case s.made == 0:
				result.refusedFirst++
			case s.waited+verdict.RetryAfter() > playedPatience:
				result.cut++
			default:
				again := ms + int(verdict.RetryAfterMS)
				due[again] = append(due[again], step{s.program, s.made, s.waited + verdict.RetryAfter()})
			}
		}
		delete(due, ms)
	}
	return result
}

// TestNewestLimitCounts: askers may be behind with the configuration.
func TestNewestLimitCounts(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTerms, true, now)
	limiter.Decide(Request{Tenant: "t", Limit: Limit{10, 10}, Version: 4}, now)
	limiter.Decide(Request{Tenant: "t", Limit: Limit{2, 2}, Version: 6}, now)
	limiter.Decide(Request{Tenant: "t", Limit: Limit{10, 10}, Version: 5}, now)
	if got := limiter.tenants["t"].limit; got != (Limit{2, 2}) {
		t.Errorf("the limit is %+v, want that of version 6", got)
	}
}

func TestVerdictTellsWhenThereIsRoom(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTerms, true, now)
	limit := Limit{20, 20}
	verdict := Verdict{Admitted: true}
	for verdict.Admitted {
		verdict = limiter.Decide(askOf(limit, "p", false), now)
	}
	if again := limiter.Decide(askOf(limit, "p", false), now.Add(verdict.RetryAfter())); !again.Admitted || verdict.Reason != ReasonExhausted {
		t.Errorf("refused as %q, and again %s later as %q", verdict.Reason, verdict.RetryAfter(), again.Reason)
	}
}

// BenchmarkDecide: 0.1 microseconds and no allocation for a request of a known
// program among 200 under way.
func BenchmarkDecide(b *testing.B) {
	now := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTerms, true, now)
	asks := make([]Request, 200)
	for i := range asks {
		asks[i] = askOf(Limit{1e6, 1e6}, fmt.Sprint("p", i), false)
		limiter.Decide(asks[i], now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		limiter.Decide(asks[i%len(asks)], now)
	}
}
