package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTolerance is the tolerance of the operators' example settings.
var testTolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func newRequest(limit Limit, program string, begins bool) Request {
	return Request{Tenant: "t", Limit: limit, Version: 1, Program: program, Route: "r", MayStartProgram: begins}
}

// maxInAnyWindow returns the largest number of moments within one window.
func maxInAnyWindow(moments []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, moment := range moments {
		for moment-moments[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestNoWindowExceedsTheLimit checks random demand with up to maxTakeovers takeovers
// per window: no window may contain more than maxPerWindow requests.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			PerSecond: rapid.Float64Range(0.2, 300).Draw(t, "rate"),
			Burst:     rapid.Float64Range(0, 300).Draw(t, "burst"),
		}
		takeovers := rapid.IntRange(0, maxTakeovers).Draw(t, "takeovers in each window")
		pressure := rapid.Float64Range(0.3, 8).Draw(t, "demand, times the rate")
		start := time.Time{}.Add(time.Hour)
		limiter := NewLimiter(testTolerance, true, start)
		lostAt := time.Duration(0)
		goesOn := rapid.Bool().Draw(t, "former owners go on")
		former, formerUntil := (*Limiter)(nil), time.Duration(0)
		var admitted []time.Duration
		for at := time.Duration(0); at < 12*time.Second; {
			if takeovers > 0 && at-lostAt > testTolerance.Window/time.Duration(takeovers) {
				former, formerUntil = limiter, at+OwnerOverlap
				limiter, lostAt = NewLimiter(testTolerance, false, start.Add(at)), at
				if goesOn {
					limiter.AwaitFormer()
				}
			}
			if goesOn && former != nil && at <= formerUntil && former.Decide(newRequest(limit, "", false), start.Add(at)).Admitted {
				admitted = append(admitted, at)
			}
			if limiter.Decide(newRequest(limit, "", false), start.Add(at)).Admitted {
				admitted = append(admitted, at)
			}
			gap := rapid.Float64Range(0, 2).Draw(t, "gap") / (limit.PerSecond * pressure)
			at += max(time.Duration(gap*float64(time.Second)), time.Millisecond)
		}
		if got, most := maxInAnyWindow(admitted, testTolerance.Window), testTolerance.maxPerWindow(limit); float64(got) > most {
			t.Errorf("%d requests in a window that may hold %.1f", got, most)
		}
	})
}

// TestBoundsAddUpToTheTolerance guards against shares that exceed the tolerance
// together.
func TestBoundsAddUpToTheTolerance(t *testing.T) {
	for _, limit := range []Limit{{1, 1}, {60, 60}, {326, 326}, {5, 0}} {
		b := testTolerance.boundsOf(limit)
		spare := testTolerance.maxPerWindow(limit) - limit.PerSecond*testTolerance.Window.Seconds() - limit.Burst
		total := b.rate*testTolerance.Window.Seconds() + b.capacity + maxTakeovers*b.initial + fallbackShare*spare
		if math.Abs(total-testTolerance.maxPerWindow(limit)) > 1e-6 || b.rate < limit.PerSecond || b.capacity < limit.Burst {
			t.Errorf("%+v: %+v add up to %.2f, want %.2f, no less rate and burst than the limit's", limit, b, total, testTolerance.maxPerWindow(limit))
		}
	}
}

// TestUsualLoadIsNeverRefused guards against refusing a tenant, also a small one,
// whose programs use five eighths of its limit.
func TestUsualLoadIsNeverRefused(t *testing.T) {
	for _, rate := range []float64{5, 20, 60} {
		got := simulatePrograms(Limit{rate, rate}, 0.625*rate, 60*time.Second, 1)
		if got.refusedFirst+got.cut > 0 {
			t.Errorf("%g a second: %d programs refused and %d cut of %d", rate, got.refusedFirst, got.cut, got.begun)
		}
	}
}

// TestOverloadedTenantFinishesWhatItBegins guards against cutting running programs
// short: a tenant that demands five times its limit still finishes as many programs as
// the limit allows.
func TestOverloadedTenantFinishesWhatItBegins(t *testing.T) {
	const rate = 60
	got := simulatePrograms(Limit{rate, rate}, 5*rate, 30*time.Second, 1)
	carried := rate * 30 / requestsPerProgram
	t.Logf("%d programs finished, %d cut, %d refused at their first request; the limit carries %d", got.finished, got.cut, got.refusedFirst, carried)
	if float64(got.finished) < 0.85*float64(carried) || got.cut > got.finished/10 {
		t.Errorf("%d programs finished and %d cut, want nearly %d finished and few cut", got.finished, got.cut, carried)
	}
}

// requestsPerProgram is the number of requests of each program of simulatePrograms.
const requestsPerProgram = 8

// simulationResult counts programs by their end.
type simulationResult struct{ begun, refusedFirst, cut, finished int }

// maxRetryWait is how long a request of a running program is retried.
const maxRetryWait = time.Second

// simulatePrograms starts programs of requestsPerProgram requests, 0.25 s apart,
// evenly so that they demand perSecond requests a second. A refused request of a
// running program is retried when the verdict says, as relays do.
func simulatePrograms(limit Limit, perSecond float64, length time.Duration, seed int) simulationResult {
	type step struct {
		program string
		made    int
		waited  time.Duration
	}
	start := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTolerance, true, start)
	var result simulationResult
	due := map[int][]step{} // by millisecond
	between := requestsPerProgram / perSecond * 1000
	for begins := 0.0; begins < float64(length.Milliseconds()); begins += between {
		due[int(begins)] = append(due[int(begins)], step{program: fmt.Sprint(seed, "-", begins)})
		result.begun++
	}
	for ms := 0; ms < int(length.Milliseconds())+10_000; ms++ {
		for _, s := range due[ms] {
			verdict := limiter.Decide(newRequest(limit, s.program, s.made == 0), start.Add(time.Duration(ms)*time.Millisecond))
			switch {
			case verdict.Admitted && s.made == requestsPerProgram-1:
				result.finished++
			case verdict.Admitted:
				due[ms+250] = append(due[ms+250], step{program: s.program, made: s.made + 1})
			case s.made == 0:
				result.refusedFirst++
			case s.waited+verdict.RetryAfter() > maxRetryWait:
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

// TestNewestLimitApplies guards against a daemon with an older configuration restoring
// a former limit.
func TestNewestLimitApplies(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTolerance, true, now)
	limiter.Decide(Request{Tenant: "t", Limit: Limit{10, 10}, Version: 4}, now)
	limiter.Decide(Request{Tenant: "t", Limit: Limit{2, 2}, Version: 6}, now)
	limiter.Decide(Request{Tenant: "t", Limit: Limit{10, 10}, Version: 5}, now)
	if got := limiter.tenants["t"].limit; got != (Limit{2, 2}) {
		t.Errorf("the limit is %+v, want that of version 6", got)
	}
}

func TestVerdictSaysWhenToRetry(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTolerance, true, now)
	limit := Limit{20, 20}
	verdict := Verdict{Admitted: true}
	for verdict.Admitted {
		verdict = limiter.Decide(newRequest(limit, "p", false), now)
	}
	if again := limiter.Decide(newRequest(limit, "p", false), now.Add(verdict.RetryAfter())); !again.Admitted || verdict.Reason != ReasonExhausted {
		t.Errorf("refused as %q, and again %s later as %q", verdict.Reason, verdict.RetryAfter(), again.Reason)
	}
}

// BenchmarkDecide decides on requests of known programs with 200 programs running.
func BenchmarkDecide(b *testing.B) {
	now := time.Time{}.Add(time.Hour)
	limiter := NewLimiter(testTolerance, true, now)
	asks := make([]Request, 200)
	for i := range asks {
		asks[i] = newRequest(Limit{1e6, 1e6}, fmt.Sprint("p", i), false)
		limiter.Decide(asks[i], now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		limiter.Decide(asks[i%len(asks)], now)
	}
}
