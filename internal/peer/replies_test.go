package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestAnswersReachOnlyTheirRequest(t *testing.T) {
	var replies Replies[string]
	first, firstAnswers, forgetFirst := replies.Expect(1)
	second, secondAnswers, forgetSecond := replies.Expect(1)
	defer forgetSecond()
	if first == second {
		t.Fatalf("two requests have the number %d", first)
	}
	replies.Deliver(second, "b")
	replies.Deliver(second, "beyond what fits")
	replies.Deliver(first, "a")
	replies.Deliver(first+second+1, "nobody's")
	if got := <-firstAnswers; got != "a" {
		t.Errorf("the first request got %q", got)
	}
	if got := <-secondAnswers; got != "b" {
		t.Errorf("the second request got %q", got)
	}
	forgetFirst()
	replies.Deliver(first, "late")
	select {
	case got := <-firstAnswers:
		t.Errorf("a request that is over got %q", got)
	case got := <-secondAnswers:
		t.Errorf("the second request got %q, too", got)
	default:
	}
}

func TestAskWaitsUpToItsTimeout(t *testing.T) {
	const patience = time.Second
	synctest.Test(t, func(t *testing.T) {
		leaving, leave := context.WithTimeout(t.Context(), patience/2)
		defer leave()
		for name, c := range map[string]struct {
			ctx          context.Context
			answersAfter time.Duration
			want         string
			wantWait     time.Duration
		}{
			"answered":     {t.Context(), patience / 4, "a", patience / 4},
			"silent":       {t.Context(), 2 * patience, "", patience},
			"asker leaves": {leaving, 2 * patience, "", 0},
		} {
			if c.ctx == leaving {
				<-leaving.Done()
			}
			var replies Replies[string]
			began := time.Now()
			answer, arrived := replies.Ask(c.ctx, patience, func(number uint64) {
				time.AfterFunc(c.answersAfter, func() { replies.Deliver(number, "a") })
			})
			if answer != c.want || arrived != (c.want != "") || time.Since(began) != c.wantWait {
				t.Errorf("%s: got %q, %v after %s", name, answer, arrived, time.Since(began))
			}
		}
	})
}
