package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func (w *world) roles() map[structs.EngineID]structs.EngineRole {
	roles := map[structs.EngineID]structs.EngineRole{}
	for id, load := range w.engines.loads {
		roles[id] = load.Role
	}
	return roles
}

func TestConfiguredRolesAreKept(t *testing.T) {
	w := newWorld()
	w.engines.loadTime = time.Second
	configuration := *w.current
	configuration.Fleet = structs.FleetPolicy{
		EngineRole:  structs.RoleDecode,
		EngineRoles: map[structs.EngineID]structs.EngineRole{"e2": structs.RoleBoth},
	}
	w.current = &configuration
	w.run(30 * time.Second)
	want := map[structs.EngineID]structs.EngineRole{"e1": structs.RoleDecode, "e2": "", "e3": structs.RoleDecode, "e4": structs.RoleDecode}
	if diff := cmp.Diff(want, w.roles()); diff != "" {
		t.Errorf("roles (-want +got):\n%s", diff)
	}
	w.engines.restart("e1")
	w.run(30 * time.Second)
	if diff := cmp.Diff(want, w.roles()); diff != "" {
		t.Errorf("roles after a restart (-want +got):\n%s", diff)
	}
	if got := w.countOrders(structs.OrderSetRole); got != 4 {
		t.Errorf("%d orders, want one for each engine and one after the restart", got)
	}
}

// Two of four engines are prefill-only: the others are too few for the model,
// so an empty engine gets it.
func TestPrefillEnginesDoNotCountAsServing(t *testing.T) {
	w := newWorld()
	w.engines.loads["e4"].Models = nil
	w.engines.loads["e1"].Role = structs.RolePrefill
	w.engines.loads["e2"].Role = structs.RolePrefill
	model := w.current.Models[small]
	model.MinimumEngines = 2
	w.current = &structs.Configuration{Models: map[structs.ModelName]structs.Model{small: model}}
	w.run(time.Minute)
	if got := w.engines.loads["e4"].Models; len(got) != 1 || got[0] != small {
		t.Errorf("the empty engine has %v", got)
	}
}
