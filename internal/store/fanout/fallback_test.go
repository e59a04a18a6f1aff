package fanout

import (
	"testing"
	"time"
)

// TestDaemonsThatLoseTheirNeighboursDoNotReadTogether checks that the reads of the store by a whole
// fleet that lost its neighbours at the same moment are spread: each daemon asks twice a second, as
// often as its reads end.
func TestDaemonsThatLoseTheirNeighboursDoNotReadTogether(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, daemons := range []int{300, 1000, 2000} {
		interval := time.Duration(daemons) * fallbackSpacing
		limits := make([]fallback, daemons)
		reads := map[time.Duration]int{}
		began := time.Now()
		for passed := time.Duration(0); passed < 10*time.Second; passed += step {
			for i := range limits {
				if passed%(10*step) != time.Duration(i%10)*step {
					continue
				}
				if delay := limits[i].reserve(interval, began.Add(passed)); delay <= maxFallbackDelay {
					reads[(passed+delay).Truncate(time.Second)]++
				}
			}
		}
		for second, count := range reads {
			if most := int(time.Second / fallbackSpacing * 3 / 2); count > most {
				t.Errorf("%d daemons: %d reads in the second after %s, want at most %d", daemons, count, second, most)
			}
		}
		if total := len(reads); total < 9 {
			t.Errorf("%d daemons: reads in %d of 10 seconds", daemons, total)
		}
	}
}
