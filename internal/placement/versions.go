package placement

import "github.com/mintpulley/mintpulley/internal/structs"

// updateVersion brings one engine to the configured version of its model.
func (c *controller) updateVersion(configuration *structs.Configuration, engines []structs.EngineID, fleet loads) {
	for _, engine := range engines {
		load, idle := c.readyForOrder(engine)
		if !idle || len(load.Models) == 0 || !c.cooledDown(engine) {
			continue
		}
		model := load.Models[0]
		wanted := configuration.Models[model].Version
		if wanted == "" || load.Versions[model] == wanted {
			continue
		}
		if chosen, may := c.engineForVersion(configuration, engines, fleet, engine); may {
			c.issue(structs.Order{Engine: chosen, Kind: structs.OrderLoadModel, Model: model, Version: wanted})
			return
		}
	}
}

// engineForVersion returns the engine that may read the new version of an
// engine's model now: that engine itself, if enough others serve the model
// meanwhile, since some engines serve nothing while they read and all come back
// with an empty cache. One at a time always may, or the change would never
// end; but a model's only engine waits for a second one, if any can be had.
func (c *controller) engineForVersion(configuration *structs.Configuration, engines []structs.EngineID, fleet loads, engine structs.EngineID) (structs.EngineID, bool) {
	load := c.reports[engine].load
	model := load.Models[0]
	rest := *fleet.model(model)
	rest.Engines -= rest.Loading + 1
	rest.Capacity -= (rest.Loading + 1) * load.MaximumRunning
	enough := rest.Engines >= minimumEngines(configuration, model) && rest.Capacity > 0 && rest.utilization() <= c.Settings.HighUtilization
	switch {
	case enough:
		return engine, true
	case rest.Loading > 0:
		return "", false
	case rest.Engines > 0:
		return engine, true
	}
	if second, found := c.reassignable(configuration, engines, fleet, model); found {
		return second, true
	}
	return engine, true
}
