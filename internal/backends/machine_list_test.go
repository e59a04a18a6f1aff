package backends

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const testFullListEvery = 50

// listService serves random lists. It may serve an older list, and it may have
// forgotten the version on which a read builds.
type listService struct {
	random *rand.Rand
	states [][]structs.Machine
}

func (s *listService) change() {
	next := slices.Clone(s.states[len(s.states)-1])
	number := s.random.IntN(20)
	address := fmt.Sprintf("10.0.0.%d:9000", number)
	next = slices.DeleteFunc(next, func(m structs.Machine) bool { return m.Address == address })
	if state := s.random.IntN(3); state > 0 {
		row := engineRow(structs.EngineID(address))
		if state == 1 {
			row.State = structs.MachineLeaving
		}
		next = append(next, row)
	}
	s.states = append(s.states, next)
}

func (s *listService) read(since framework.ListVersion, shown int) framework.ListResponse {
	version := framework.ListVersion(strconv.Itoa(shown))
	position, err := strconv.Atoi(string(since))
	if forgotten := s.random.IntN(10) == 0; err != nil || forgotten {
		return framework.FullListResponse(version, s.states[shown])
	}
	return framework.DeltaListResponse(since, s.states[position], version, s.states[shown])
}

func sorted(machines []structs.Machine) []structs.Machine {
	list := slices.Clone(machines)
	slices.SortFunc(list, func(a, b structs.Machine) int { return strings.Compare(a.Address, b.Address) })
	return list
}

func TestMachineListFollowsAServiceThatLagsAndGoesBack(t *testing.T) {
	for seed := range uint64(20) {
		s := &listService{random: rand.New(rand.NewPCG(seed, 1)), states: [][]structs.Machine{{engineRow("10.0.1.1:9000")}}}
		view := machineList{}
		for step := range 300 {
			for range s.random.IntN(3) {
				s.change()
			}
			shown := max(0, len(s.states)-1-s.random.IntN(5))
			changed, err := view.apply(s.read(view.nextBase(testFullListEvery), shown))
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			if diff := cmp.Diff(sorted(s.states[shown]), view.machines()); diff != "" {
				t.Fatalf("seed %d, step %d, changed %v: %s", seed, step, changed, diff)
			}
		}
	}
}

func TestReadWithAGapIsNotApplied(t *testing.T) {
	before := []structs.Machine{engineRow(engineA), engineRow(engineB)}
	good := framework.DeltaListResponse("1", before, "2", before[:1])
	tests := map[string]framework.ListResponse{
		"builds on another version": framework.DeltaListResponse("0", before, "2", before[:1]),
		"a row is missing":          {Version: "2", Since: "1", Total: 1},
		"empty":                     framework.FullListResponse("2", nil),
		"all removed":               framework.DeltaListResponse("1", before, "2", nil),
	}
	for name, reading := range tests {
		t.Run(name, func(t *testing.T) {
			view := machineList{}
			if _, err := view.apply(framework.FullListResponse("1", before)); err != nil {
				t.Fatal(err)
			}
			if _, err := view.apply(reading); err == nil {
				t.Error("the read was applied")
			}
			if diff := cmp.Diff(before, view.machines()); diff != "" {
				t.Error(diff)
			}
			if since := view.nextBase(testFullListEvery); since != "" {
				t.Errorf("the next read builds on %q, want the full list", since)
			}
			if _, err := view.apply(good); err == nil {
				t.Error("changes were applied after a gap")
			}
		})
	}
}

func TestFullListIsReadPeriodically(t *testing.T) {
	view := machineList{}
	machines := []structs.Machine{engineRow(engineA)}
	wholes := 0
	for range 101 {
		since := view.nextBase(testFullListEvery)
		reading := framework.DeltaListResponse(since, machines, "1", machines)
		if since == "" {
			wholes++
			reading = framework.FullListResponse("1", machines)
		}
		if _, err := view.apply(reading); err != nil {
			t.Fatal(err)
		}
	}
	if wholes != 2 {
		t.Errorf("%d full lists in 101 reads, want 2", wholes)
	}
}
