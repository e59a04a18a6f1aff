package scenario

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Random is the scenario whose faults are drawn from the seed.
const Random = "random"

// Load is a number of programs that arrive over a period.
type Load struct {
	Programs int
	Over     time.Duration
}

// Scenario is a named sequence of faults, with the fleet and load it needs.
type Scenario struct {
	Name string
	// Summary describes in one line what happens and what must hold.
	Summary string
	// Fleet and Shape modify the defaults; nil keeps them.
	Fleet func(*cluster.Options)
	Shape func(*workload.Shape)
	// Configure modifies the initial configuration; nil keeps it.
	Configure func(*structs.Configuration)
	Load      Load
	// Budget is the budget of a program; 0 means programBudget.
	Budget structs.Cost
	// Duration is the period in which faults may happen; 0 means until all
	// programs have arrived.
	Duration time.Duration
	// Faults schedules the faults.
	Faults func(*Run)
}

func (s *Scenario) duration() time.Duration { return cmp.Or(s.Duration, s.Load.Over) }

func (s *Scenario) budget() structs.Cost { return cmp.Or(s.Budget, programBudget) }

// All returns every named scenario, ordered by name.
func All() []*Scenario {
	all := slices.Concat(
		calmScenarios(), crashPointScenarios(), partitionScenarios(),
		lossScenarios(), backEndScenarios(), placementScenarios(),
		[]*Scenario{randomScenario(), jointLosses()},
	)
	slices.SortFunc(all, func(a, b *Scenario) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Find returns a scenario by name.
func Find(name string) (*Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// defaultLoad keeps about a dozen programs running at a time.
func defaultLoad() Load { return Load{Programs: 40, Over: 40 * time.Second} }

func calmScenarios() []*Scenario {
	return []*Scenario{{
		Name:    "calm",
		Summary: "Nothing fails.",
		Load:    defaultLoad(),
	}, {
		Name:    "single_daemon",
		Summary: "One daemon alone, nothing fails.",
		Fleet:   singleDaemon,
		Load:    defaultLoad(),
	}}
}

func singleDaemon(fleet *cluster.Options) {
	fleet.Zones = 1
	fleet.DaemonsPerZone = 1
	fleet.EnginesPerZone = 6
}
