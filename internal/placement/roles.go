package placement

import (
	"cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// setRoles orders engines to take their configured roles.
func (c *controller) setRoles(configuration *structs.Configuration, engines []structs.EngineID) {
	for _, engine := range engines {
		load, idle := c.readyForOrder(engine)
		wanted := cmp.Or(configuration.Fleet.EngineRoles[engine], configuration.Fleet.EngineRole)
		if idle && wanted != "" && cmp.Or(load.Role, structs.RoleBoth) != wanted {
			c.issue(structs.Order{Engine: engine, Kind: structs.OrderSetRole, Role: wanted})
		}
	}
}
