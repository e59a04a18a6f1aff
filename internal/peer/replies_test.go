package peer

import "testing"

func TestAnswersReachWhoWaitsAndNobodyElse(t *testing.T) {
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
