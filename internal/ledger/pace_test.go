package ledger

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPlannedHandoversKeepWithinTheirShare: all daemons of a fleet want to pass shards
// on from the same moment, for a minute. In no second do they read more than half of
// what the store does, and over the minute no more than their share.
func TestPlannedHandoversKeepWithinTheirShare(t *testing.T) {
	const daemons, shardBytes, readBytes, seconds = 76, 3_000_000, 80e6, 60
	random := rand.New(rand.NewPCG(1, 2))
	interval := handoverInterval(daemons, shardBytes, readBytes)
	paces := make([]pace, daemons)
	began := time.Now()
	read, worst := 0.0, 0.0
	for second := range seconds {
		inSecond := 0.0
		for tick := range 10 {
			now := began.Add(time.Duration(second)*time.Second + time.Duration(tick)*100*time.Millisecond)
			for i := range paces {
				if paces[i].take(now, interval, random.Float64) {
					inSecond += encodedShare * shardBytes
				}
			}
		}
		read += inSecond
		worst = max(worst, inSecond)
	}
	if most := handoverShare * readBytes * seconds * 1.1; read > most {
		t.Errorf("%.0f MB were read in %d s, want %.0f at most", read/1e6, seconds, most/1e6)
	}
	if read == 0 {
		t.Error("no shard moved")
	}
	if most := 0.5 * readBytes; worst > most {
		t.Errorf("%.0f MB were read in one second, want %.0f at most", worst/1e6, most/1e6)
	}
	if interval := handoverInterval(daemons, shardBytes, 0); interval != 0 {
		t.Errorf("handovers are %s apart though the store's reading is not known", interval)
	}
}
