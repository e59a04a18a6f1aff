package clock

import (
	"testing"
	"time"
)

func TestRateLimitedSignalIsSentOncePerInterval(t *testing.T) {
	started := time.Now()
	signal := NewRateLimitedSignal(100 * time.Millisecond)
	received := 0
	for i := range 25 {
		signal.Send(started.Add(time.Duration(i) * 10 * time.Millisecond))
		select {
		case <-signal.C():
			received++
		default:
		}
	}
	if received != 3 {
		t.Errorf("received %d times in 250 ms, want 3", received)
	}
}

func TestRateLimitedSignalIsKeptUntilReceived(t *testing.T) {
	signal := NewRateLimitedSignal(0)
	signal.Send(time.Now())
	signal.Send(time.Now())
	if got := len(signal.C()); got != 1 {
		t.Errorf("%d signals pending, want 1", got)
	}
}
