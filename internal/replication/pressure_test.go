package replication

import (
	"testing"
	"time"
)

// pressureAtLeader returns the group's pressure according to the leader.
func (f *testFleet) pressureAtLeader() Pressure {
	f.t.Helper()
	leadership := f.leaderOf(shard).app.led[shard].leadership
	var pressure Pressure
	leadership.Queue().Do(func() { pressure = leadership.Pressure() })
	return pressure
}

func TestLeaderReportsPressureOfItsGroup(t *testing.T) {
	f, daemons := startThree(t, 7, 1)
	f.mustRecord(shard, "one")
	if got := f.pressureAtLeader(); got != PressureNone {
		t.Fatalf("pressure %d in a fleet with free memory", got)
	}
	for _, d := range daemons {
		if d != f.leaderOf(shard) {
			d.pressure = PressureRefuseAll
			break
		}
	}
	f.mustRecord(shard, "two")
	if got := f.pressureAtLeader(); got != PressureRefuseAll {
		t.Errorf("pressure %d after a full member's reply, want %d", got, PressureRefuseAll)
	}
	f.run(pressureValidity + time.Second)
	if got := f.pressureAtLeader(); got != PressureNone {
		t.Errorf("pressure %d after a long time without replies, want %d: no call would be accepted again", got, PressureNone)
	}
	f.leaderOf(shard).pressure = PressureRefuseNew
	if got := f.pressureAtLeader(); got != PressureRefuseNew {
		t.Errorf("pressure %d at a full leader, want %d", got, PressureRefuseNew)
	}
}
