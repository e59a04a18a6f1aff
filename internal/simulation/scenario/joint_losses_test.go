package scenario

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/replication"
)

func TestJointLossesCrashDaemonsOfAllZones(t *testing.T) {
	t.Parallel()
	report := Execute(find(t, "joint_losses"), Options{Seed: 2})
	expectNoViolations(t, report)
	if report.Faults[thirdZoneLost] == 0 {
		t.Errorf("no daemon of a third zone was lost: %v", report.Faults)
	}
}

func TestHasAllCommitted(t *testing.T) {
	other := replication.ShardStatus{LastEpoch: 4, Last: 12, Commit: 10}
	for _, test := range []struct {
		log  replication.ShardStatus
		want bool
	}{
		{replication.ShardStatus{LastEpoch: 4, Last: 10}, true},
		{replication.ShardStatus{LastEpoch: 4, Last: 9}, false},
		{replication.ShardStatus{LastEpoch: 3, Last: 20}, false},
		{replication.ShardStatus{LastEpoch: 5, Last: 1}, true},
	} {
		if got := hasAllCommitted(test.log, other); got != test.want {
			t.Errorf("%+v: %v", test.log, got)
		}
	}
}
