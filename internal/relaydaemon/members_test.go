package relaydaemon

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/warmup"
)

func newTestRegistry(s *memory.Store, address string) *memberRegistry {
	cold := warmup.NewLimiter(warmup.Options{Tolerance: warmup.Tolerance{Overage: 1}, OwnAddress: address, Logger: zerolog.Nop()})
	return newMemberRegistry(s, Settings{PeerAddress: address, Zone: "z", Region: "r"}, cold, zerolog.Nop())
}

// TestIncarnationAfterAPlannedStopIsHigher checks that a restarted daemon gets a higher
// incarnation even if the wall clock went back; the others ignore a lower one.
func TestIncarnationAfterAPlannedStopIsHigher(t *testing.T) {
	s := memory.New()
	former := newTestRegistry(s, "a:1")
	former.incarnation()
	former.ownRecord.Incarnation += uint64(time.Hour) // its clock was ahead
	former.write(t.Context())
	former.withdraw(t.Context())
	if got := newTestRegistry(s, "a:1").incarnation(); got <= former.ownRecord.Incarnation {
		t.Errorf("the incarnation after %d is %d", former.ownRecord.Incarnation, got)
	}
}

func TestDaemonThatWithdrewIsNotListed(t *testing.T) {
	s := memory.New()
	for _, address := range []string{"a:1", "a:2"} {
		registry := newTestRegistry(s, address)
		registry.incarnation()
		registry.write(t.Context())
		if address == "a:2" {
			registry.withdraw(t.Context())
		}
	}
	reader := newTestRegistry(s, "a:3")
	reader.incarnation()
	if reader.count() != 1 {
		t.Errorf("at the start %d daemons are listed, want 1", reader.count())
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lists := make(chan []structs.Machine, 8)
	go reader.run(ctx, func(machines []structs.Machine) { lists <- machines })
	want := []structs.Machine{
		{Kind: structs.MachineDaemon, Address: "a:1", State: structs.MachineLive},
		{Kind: structs.MachineDaemon, Address: "a:3", State: structs.MachineLive},
	}
	for {
		var got []structs.Machine
		select {
		case got = <-lists:
		case <-time.After(20 * time.Second):
			t.Fatal("the listed daemons were not reported")
		}
		if cmp.Equal(want, sorted(got)) {
			break
		}
		for _, machine := range got {
			if machine.Address == "a:2" {
				t.Fatal("a daemon that withdrew is listed")
			}
		}
	}
	if reader.count() != 2 {
		t.Errorf("%d daemons are listed, want 2", reader.count())
	}
}

func sorted(machines []structs.Machine) []structs.Machine {
	return slices.SortedFunc(slices.Values(machines), func(a, b structs.Machine) int {
		return strings.Compare(a.Address, b.Address)
	})
}
