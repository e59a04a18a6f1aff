package placement

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// loads holds the load of models and of their adapters.
type loads map[structs.ModelAdapter]*ModelLoad

func (l loads) of(wanted structs.ModelAdapter) *ModelLoad {
	entry := l[wanted]
	if entry == nil {
		entry = &ModelLoad{ModelAdapter: wanted}
		l[wanted] = entry
	}
	return entry
}

// model returns the entry of a model without an adapter.
func (l loads) model(name structs.ModelName) *ModelLoad {
	return l.of(structs.ModelAdapter{Model: name})
}

func (l loads) sorted() []ModelLoad {
	all := make([]ModelLoad, 0, len(l))
	for _, entry := range l {
		all = append(all, *entry)
	}
	slices.SortFunc(all, func(a, b ModelLoad) int { return a.Compare(b.ModelAdapter) })
	return all
}

func (l loads) add(models []ModelLoad) {
	for _, model := range models {
		entry := l.of(model.ModelAdapter)
		entry.Engines += model.Engines
		entry.Loading += model.Loading
		entry.Running += model.Running
		entry.Capacity += model.Capacity
		entry.Waiting += model.Waiting
	}
}

// utilization returns the fraction of a model's capacity that its running and
// waiting calls would take.
func (m ModelLoad) utilization() float64 {
	if m.Capacity == 0 {
		return float64(m.Running + m.Waiting)
	}
	return float64(m.Running+m.Waiting) / float64(m.Capacity)
}

// ownLoad sums up the engines of this control shard and the demand that daemons
// reported to it.
func (c *controller) ownLoad(engines []structs.EngineID) []ModelLoad {
	sums := loads{}
	for _, engine := range engines {
		c.addEngine(sums, engine)
	}
	now := c.Clock.Now()
	for from, received := range c.demand {
		if now.Sub(received.at) > c.Settings.ReportTTL {
			delete(c.demand, from)
			continue
		}
		for _, entry := range received.waiting {
			sums.of(entry.ModelAdapter).Waiting += entry.Calls
		}
	}
	return sums.sorted()
}

// addEngine counts an engine for the model that it serves or is ordered to
// load, and for its adapters. Prefill-only engines get no calls and are not
// counted.
func (c *controller) addEngine(sums loads, engine structs.EngineID) {
	load, known := c.latestReport(engine)
	if !known || load.Draining || load.Role == structs.RolePrefill {
		return
	}
	order := c.currentOrder(engine)
	model, serves := servedModel(load, order)
	if !serves {
		return
	}
	entry := sums.model(model)
	entry.Engines++
	entry.Capacity += load.MaximumRunning
	if slices.Contains(load.Models, model) {
		entry.Running += load.Running + load.Waiting
	}
	if order != nil && order.Kind == structs.OrderLoadModel {
		entry.Loading++
	}
	for _, adapter := range servedAdapters(load, order) {
		if adapter.Model != model {
			continue
		}
		entry := sums.of(adapter)
		entry.Engines++
		if !load.Serves(adapter) {
			entry.Loading++
		}
	}
}

// servedModel returns the model that an engine counts for: the one it is
// ordered to load, or the first that it is not ordered to unload.
func servedModel(load structs.LoadReport, order *structs.Order) (structs.ModelName, bool) {
	if order != nil && order.Kind == structs.OrderLoadModel {
		return order.Model, true
	}
	for _, model := range load.Models {
		leaving := order != nil && order.Kind == structs.OrderUnloadModel && order.Model == model
		if !leaving {
			return model, true
		}
	}
	return "", false
}

// servedAdapters returns the adapters that an engine has or is ordered to load,
// without one that it is ordered to unload.
func servedAdapters(load structs.LoadReport, order *structs.Order) []structs.ModelAdapter {
	var served []structs.ModelAdapter
	for _, adapter := range load.Adapters {
		served = append(served, adapter.ModelAdapter)
	}
	if order == nil {
		return served
	}
	about := structs.ModelAdapter{Model: order.Model, Adapter: order.Adapter}
	switch order.Kind {
	case structs.OrderLoadAdapter:
		if !slices.Contains(served, about) {
			served = append(served, about)
		}
	case structs.OrderUnloadAdapter:
		served = slices.DeleteFunc(served, func(other structs.ModelAdapter) bool { return other == about })
	}
	return served
}

// fleetLoad adds the unexpired summaries of the other control shards. Calls
// that wait for an adapter also count for the model, unless they merely wait
// for the first engine to load the adapter.
func (c *controller) fleetLoad(own []ModelLoad) loads {
	sums := loads{}
	sums.add(own)
	now := c.Clock.Now()
	for _, other := range c.summaries {
		if now.Sub(other.at) <= c.Settings.ReportTTL {
			sums.add(other.models)
		}
	}
	if configuration := c.Configurations.Current(); configuration != nil {
		for name := range configuration.Models {
			sums.model(name)
		}
	}
	for _, entry := range sums.sorted() {
		model := sums.model(entry.Model)
		if entry.Adapter != "" && (entry.Engines > 0 || model.Engines == 0) {
			model.Waiting += entry.Waiting
		}
	}
	return sums
}

// needsEngines reports whether a model's utilization is high, or calls wait for
// an adapter that engines serve and no further engine is loading.
func (c *controller) needsEngines(load *ModelLoad) bool {
	if load.Adapter != "" {
		return load.Waiting > 0 && load.Engines > 0 && load.Loading == 0
	}
	return load.utilization() >= c.Settings.HighUtilization
}

// updateHighSince tracks since when models and adapters have needed engines.
func (c *controller) updateHighSince(fleet loads) {
	now := c.Clock.Now()
	for wanted := range c.highSince {
		if load := fleet[wanted]; load == nil || !c.needsEngines(load) {
			delete(c.highSince, wanted)
		}
	}
	for wanted, load := range fleet {
		if _, known := c.highSince[wanted]; !known && c.needsEngines(load) {
			c.highSince[wanted] = now
		}
	}
}

// sustained reports whether a model or adapter has needed engines for
// HighUseDuration.
func (c *controller) sustained(wanted structs.ModelAdapter) bool {
	since, high := c.highSince[wanted]
	return high && c.Clock.Now().Sub(since) >= c.Settings.HighUseDuration
}
