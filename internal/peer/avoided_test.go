package peer

import (
	"testing"
	"time"
)

func TestAvoidedDaemonsAreAskedAgainOnceTheirTimeIsOver(t *testing.T) {
	var avoided Avoided
	now := time.Unix(1, 0)
	if avoided.Has("a", now) {
		t.Error("a daemon is avoided that never failed")
	}
	avoided.Add("a", now, time.Second)
	avoided.Add("b", now, time.Minute)
	for after, want := range map[time.Duration]bool{0: true, time.Second - 1: true, time.Second: false} {
		if got := avoided.Has("a", now.Add(after)); got != want {
			t.Errorf("after %s: avoided %v", after, got)
		}
	}
	avoided.Add("c", now.Add(2*time.Second), time.Second)
	if !avoided.Has("b", now.Add(2*time.Second)) || len(avoided.until) != 2 {
		t.Errorf("remaining: %v", avoided.until)
	}
}
