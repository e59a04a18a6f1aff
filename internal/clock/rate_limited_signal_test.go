package clock

import (
	"testing"
	"time"
)

func TestPacedSignalIsGivenOnceInAPause(t *testing.T) {
	began := time.Now()
	signal := NewRateLimitedSignal(100 * time.Millisecond)
	taken := 0
	for i := range 25 {
		signal.Send(began.Add(time.Duration(i) * 10 * time.Millisecond))
		select {
		case <-signal.C():
			taken++
		default:
		}
	}
	if taken != 3 {
		t.Errorf("taken %d times in 250 ms, want 3", taken)
	}
}

func TestPacedSignalIsKeptUntilItIsTaken(t *testing.T) {
	signal := NewRateLimitedSignal(0)
	signal.Send(time.Now())
	signal.Send(time.Now())
	if got := len(signal.C()); got != 1 {
		t.Errorf("%d signals wait, want 1", got)
	}
}
