package clock

import (
	"testing"
	"time"
)

func TestPacedSignalIsGivenOnceInAPause(t *testing.T) {
	began := time.Now()
	signal := NewPacedSignal(100 * time.Millisecond)
	taken := 0
	for i := range 25 {
		signal.Ask(began.Add(time.Duration(i) * 10 * time.Millisecond))
		select {
		case <-signal.Asked():
			taken++
		default:
		}
	}
	if taken != 3 {
		t.Errorf("taken %d times in 250 ms, want 3", taken)
	}
}

func TestPacedSignalIsKeptUntilItIsTaken(t *testing.T) {
	signal := NewPacedSignal(0)
	signal.Ask(time.Now())
	signal.Ask(time.Now())
	if got := len(signal.Asked()); got != 1 {
		t.Errorf("%d signals wait, want 1", got)
	}
}
