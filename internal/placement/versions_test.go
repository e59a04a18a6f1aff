package placement

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// publishVersion puts a version of the small model in force.
func (w *world) publishVersion(version string, minimum int) {
	w.current = &structs.Configuration{Models: map[structs.ModelName]structs.Model{
		small: {ContextTokens: 1000, Version: version, MinimumEngines: minimum},
	}}
}

func (w *world) servingVersion(version string) int {
	count := 0
	for _, load := range w.engines.loads {
		if load.Serves(structs.ModelAdapter{Model: small}) && load.Versions[small] == version {
			count++
		}
	}
	return count
}

// leastServing runs for a while and returns the least number of engines that
// served the small model at any second.
func (w *world) leastServing(d time.Duration) int {
	least := w.serving(small)
	for range int(d / time.Second) {
		w.run(time.Second)
		least = min(least, w.serving(small))
	}
	return least
}

func TestVersionChangeKeepsEnoughEnginesServing(t *testing.T) {
	for name, test := range map[string]struct {
		running, minimum, least int
	}{
		"idle engines, minimum of two":   {1, 2, 2},
		"minimum of all: one at a time":  {1, 4, 3},
		"half in use: two may be spared": {5, 1, 2},
		"almost none may be spared":      {8, 1, 3},
	} {
		w := newWorld()
		w.engines.singleVersion = true
		for _, load := range w.engines.loads {
			load.Running = test.running
		}
		w.publishVersion("2", test.minimum)
		least := w.leastServing(5 * time.Minute)
		if got := w.servingVersion("2"); got != 4 || least < test.least {
			t.Errorf("%s: %d engines have the version and at least %d served throughout, want 4 and %d", name, got, least, test.least)
		}
	}
}

func TestOnlyEngineOfAModelWaitsForASecond(t *testing.T) {
	w := newWorld()
	w.engines.singleVersion = true
	for id, load := range w.engines.loads {
		if id != "e1" {
			load.Models = nil
		}
	}
	w.run(6 * time.Second)
	w.publishVersion("2", 1)
	least := w.leastServing(5 * time.Minute)
	if got := w.servingVersion("2"); got != 2 || least < 1 {
		t.Errorf("%d engines have the version, want two; at least %d served throughout", got, least)
	}
}
