package placement

import "github.com/mintpulley/mintpulley/internal/structs"

// updateVersion starts the load of the configured version on one engine.
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

// engineForVersion returns the engine that may load the new version of an
// engine's model now. It is that engine itself if enough others serve the model
// in the meantime, since some engines serve nothing while they load and all
// lose their cache. One engine at a time may always load, or the change would
// never end; but a model's only engine waits for a second one, if there is one
// to reassign.
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
