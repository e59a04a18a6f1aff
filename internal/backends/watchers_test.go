package backends

import (
	"fmt"
	"testing"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func cellOfSize(daemons, engines int) ([]structs.EngineID, []structs.DaemonID) {
	var ids []structs.EngineID
	for number := range engines {
		ids = append(ids, structs.EngineID(fmt.Sprintf("10.1.0.%03d:9000", number)))
	}
	var members []structs.DaemonID
	for number := range daemons {
		members = append(members, structs.DaemonID(fmt.Sprintf("10.0.0.%d:7000#1", number)))
	}
	return ids, members
}

func TestNoDaemonWatchesMoreThanItsShare(t *testing.T) {
	for daemons := 1; daemons <= 20; daemons++ {
		for _, engines := range []int{0, 1, 7, 31, 60} {
			ids, members := cellOfSize(daemons, engines)
			share := (engines + daemons - 1) / daemons
			counts := map[structs.DaemonID]int{}
			for _, daemon := range assignWatchers(ids, members) {
				counts[daemon]++
			}
			for daemon, count := range counts {
				if count > share {
					t.Errorf("%d engines, %d daemons: %s watches %d, its share is %d", engines, daemons, daemon, count, share)
				}
			}
		}
	}
}

func TestFewEnginesAreReassignedWhenAWatcherFails(t *testing.T) {
	ids, members := cellOfSize(12, 36)
	before := assignWatchers(ids, members)
	for lost := range members {
		staying := append(append([]structs.DaemonID{}, members[:lost]...), members[lost+1:]...)
		moved := 0
		for position, daemon := range assignWatchers(ids, staying) {
			if daemon == members[lost] {
				t.Fatalf("%s is assigned engines after it failed", daemon)
			}
			if daemon != before[position] {
				moved++
			}
		}
		// Its own 3 have to move; assigning all engines anew would move 33.
		if moved > 18 {
			t.Errorf("%d of 36 engines were reassigned when %s failed", moved, members[lost])
		}
	}
}

func TestCellWithoutDaemonsHasNoWatchers(t *testing.T) {
	ids, _ := cellOfSize(0, 3)
	for _, daemon := range assignWatchers(ids, nil) {
		if daemon != "" {
			t.Errorf("%s is assigned engines, want none", daemon)
		}
	}
}
