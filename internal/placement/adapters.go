package placement

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// startAdapters loads adapters that need engines: one that no engine has as
// soon as a call waits for it, others once calls have waited for
// HighUseDuration. It makes room by unloading adapters that were unused for
// AdapterRetention.
func (c *controller) startAdapters(configuration *structs.Configuration, engines []structs.EngineID, fleet loads) {
	c.unloadUnreferenced(configuration, engines)
	for _, load := range fleet.sorted() {
		if load.Adapter == "" || load.Waiting == 0 {
			continue
		}
		if load.Engines > 0 && !c.sustained(load.ModelAdapter) {
			continue
		}
		if c.loadsAllowed(configuration) == 0 {
			return
		}
		if engine, found := c.engineForAdapter(engines, load.ModelAdapter); found {
			c.issue(adapterOrder(engine, structs.OrderLoadAdapter, load.ModelAdapter))
			delete(c.highSince, load.ModelAdapter)
			continue
		}
		c.freeAdapterSlot(engines, fleet, load.ModelAdapter)
	}
}

func adapterOrder(engine structs.EngineID, kind structs.OrderKind, adapter structs.ModelAdapter) structs.Order {
	return structs.Order{Engine: engine, Kind: kind, Model: adapter.Model, Adapter: adapter.Adapter}
}

// engineForAdapter returns the least busy engine that serves the model and has
// a free adapter slot.
func (c *controller) engineForAdapter(engines []structs.EngineID, wanted structs.ModelAdapter) (structs.EngineID, bool) {
	best, bestRunning, found := structs.EngineID(""), 0, false
	for _, engine := range engines {
		load, idle := c.readyForOrder(engine)
		if !idle || !c.lacksAdapter(load, wanted) || adaptersFull(load) {
			continue
		}
		running := load.Running + load.Waiting
		if !found || running < bestRunning {
			best, bestRunning, found = engine, running, true
		}
	}
	return best, found
}

// lacksAdapter reports whether an engine serves the adapter's model without the
// adapter.
func (c *controller) lacksAdapter(load structs.LoadReport, wanted structs.ModelAdapter) bool {
	return load.Role != structs.RolePrefill && slices.Contains(load.Models, wanted.Model) && !load.Serves(wanted)
}

func adaptersFull(load structs.LoadReport) bool {
	return load.MaximumAdapters > 0 && len(load.Adapters) >= load.MaximumAdapters
}

// freeAdapterSlot unloads the adapter that was unused for longest, if for at
// least AdapterRetention, at an engine that could load the wanted one instead.
func (c *controller) freeAdapterSlot(engines []structs.EngineID, fleet loads, wanted structs.ModelAdapter) {
	if c.slotWillFree(engines, wanted) {
		return
	}
	now := c.Clock.Now()
	var oldest engineAdapter
	var oldestUse time.Time
	for _, engine := range engines {
		load, idle := c.readyForOrder(engine)
		if !idle || !c.lacksAdapter(load, wanted) {
			continue
		}
		for _, adapter := range load.Adapters {
			key := engineAdapter{engine, adapter.ModelAdapter}
			use := c.adapterLastUsed[key]
			busy := adapter.Running > 0 || fleet.of(adapter.ModelAdapter).Waiting > 0 || now.Sub(use) < c.Settings.AdapterRetention
			if !busy && (oldest.engine == "" || use.Before(oldestUse)) {
				oldest, oldestUse = key, use
			}
		}
	}
	if oldest.engine != "" {
		c.issue(adapterOrder(oldest.engine, structs.OrderUnloadAdapter, oldest.adapter))
	}
}

// slotWillFree reports whether an engine will have a slot for an adapter once
// its current order is done.
func (c *controller) slotWillFree(engines []structs.EngineID, wanted structs.ModelAdapter) bool {
	return slices.ContainsFunc(engines, func(engine structs.EngineID) bool {
		load, known := c.latestReport(engine)
		if !known || load.Draining || !c.lacksAdapter(load, wanted) {
			return false
		}
		order := c.currentOrder(engine)
		unloads := order != nil && order.Kind == structs.OrderUnloadAdapter
		return unloads || !adaptersFull(load)
	})
}

// unloadUnreferenced unloads adapters that no template refers to any more.
func (c *controller) unloadUnreferenced(configuration *structs.Configuration, engines []structs.EngineID) {
	var named map[structs.ModelAdapter]bool
	for _, engine := range engines {
		load, idle := c.readyForOrder(engine)
		if !idle || len(load.Adapters) == 0 {
			continue
		}
		if named == nil {
			named = configuredAdapters(configuration)
		}
		for _, adapter := range load.Adapters {
			unused := c.Clock.Now().Sub(c.adapterLastUsed[engineAdapter{engine, adapter.ModelAdapter}]) >= c.Settings.AdapterRetention
			if unused && !named[adapter.ModelAdapter] {
				c.issue(adapterOrder(engine, structs.OrderUnloadAdapter, adapter.ModelAdapter))
				break
			}
		}
	}
}

// configuredAdapters returns the adapters that templates and tenants refer to.
func configuredAdapters(configuration *structs.Configuration) map[structs.ModelAdapter]bool {
	named := map[structs.ModelAdapter]bool{}
	add := func(adapters map[structs.ModelName]structs.AdapterName) {
		for model, adapter := range adapters {
			named[structs.ModelAdapter{Model: model, Adapter: adapter}] = true
		}
	}
	for _, template := range configuration.Templates {
		add(template.Adapters)
	}
	for _, tenant := range configuration.Tenants {
		for _, use := range tenant.Templates {
			add(use.Adapters)
		}
	}
	return named
}
