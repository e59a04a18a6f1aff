package enginemodel

import (
	"maps"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// WeightSource provides model and adapter weights. done is called exactly
// once.
type WeightSource interface {
	Fetch(name string, bytes int64, done func(error))
}

// loadRetryDelay is the delay before a failed load is retried.
const loadRetryDelay = time.Second

// orderState is the state that fenced orders set.
type orderState struct {
	fence uint64
	last  structs.Order
	role  structs.EngineRole
	// loaded, loading and versions are never modified in place: reports share
	// them.
	loaded   []structs.ModelName
	loading  []structs.ModelName
	versions map[structs.ModelName]string
	adapters map[namespace]*adapterState
}

// adapterState is the state of one adapter.
type adapterState struct {
	// loading is set while its weights are being read.
	loading bool
	// running counts the sequences that use it.
	running int
}

func newOrderState(models []structs.ModelName, role structs.EngineRole) orderState {
	return orderState{
		role:     role,
		loaded:   slices.Clone(models),
		versions: map[structs.ModelName]string{},
		adapters: map[namespace]*adapterState{},
	}
}

// serves reports whether a model, and its adapter if one is named, is loaded.
func (o *orderState) serves(model structs.ModelName, adapter structs.AdapterName) bool {
	if !slices.Contains(o.loaded, model) {
		return false
	}
	if adapter == "" {
		return true
	}
	state := o.adapters[namespace{model, adapter}]
	return state != nil && !state.loading
}

// Order executes an order unless a higher fence was seen. Repeating the last
// order has no effect. A load is accepted at once and appears in the load
// report when it is done.
func (e *Engine) Order(order structs.Order) error {
	order.Engine = e.options.ID
	switch {
	case order.Fence < e.orders.fence:
		return framework.ErrFenced
	case order.Fence == e.orders.fence && order == e.orders.last:
		return nil
	case order.Fence == e.orders.fence:
		return framework.ErrFenced
	}
	if err := e.applyOrder(order); err != nil {
		return err
	}
	e.orders.fence, e.orders.last = order.Fence, order
	e.recordLoadState()
	return nil
}

func (e *Engine) applyOrder(order structs.Order) error {
	switch order.Kind {
	case structs.OrderLoadModel:
		if order.Model == "" {
			return framework.ErrRefused
		}
		e.loadModel(order)
	case structs.OrderUnloadModel:
		e.unloadModel(order.Model)
	case structs.OrderLoadAdapter:
		return e.loadAdapter(namespace{order.Model, order.Adapter})
	case structs.OrderUnloadAdapter:
		e.unloadAdapter(namespace{order.Model, order.Adapter})
	case structs.OrderSetRole:
		return e.setRole(order.Role)
	default:
		return framework.ErrRefused
	}
	return nil
}

func (e *Engine) setRole(role structs.EngineRole) error {
	switch role {
	case structs.RolePrefill, structs.RoleDecode, structs.RoleBoth:
		e.orders.role = role
		return nil
	}
	return framework.ErrRefused
}

// loadModel loads a model or another version of it. The old version serves
// until the new one is loaded, if there is memory for both.
func (e *Engine) loadModel(order structs.Order) {
	present := slices.Contains(e.orders.loaded, order.Model)
	if present && e.orders.versions[order.Model] == order.Version {
		return
	}
	if !slices.Contains(e.orders.loading, order.Model) {
		e.orders.loading = append(slices.Clip(e.orders.loading), order.Model)
	}
	if present && e.parameters.SingleVersion {
		e.orders.loaded = withoutModel(e.orders.loaded, order.Model)
	}
	e.fetch(string(order.Model)+"@"+order.Version, e.parameters.ModelBytes, func() {
		if !slices.Contains(e.orders.loading, order.Model) {
			return
		}
		e.orders.loading = withoutModel(e.orders.loading, order.Model)
		e.orders.versions = maps.Clone(e.orders.versions)
		e.orders.versions[order.Model] = order.Version
		if present {
			e.cache.evictModel(order.Model, e.now())
		}
		if !slices.Contains(e.orders.loaded, order.Model) {
			e.orders.loaded = append(slices.Clip(e.orders.loaded), order.Model)
		}
		e.recordLoadState()
	})
}

// loadAdapter loads an adapter of a loaded model, if the limit allows it.
func (e *Engine) loadAdapter(adapter namespace) error {
	if adapter.adapter == "" || !slices.Contains(e.orders.loaded, adapter.model) {
		return framework.ErrRefused
	}
	if e.orders.adapters[adapter] != nil {
		return nil
	}
	if len(e.orders.adapters) >= e.parameters.MaximumAdapters {
		return framework.ErrRefused
	}
	state := &adapterState{loading: true}
	e.orders.adapters[adapter] = state
	e.fetch(string(adapter.model)+"/"+string(adapter.adapter), e.parameters.AdapterBytes, func() {
		state.loading = false
		e.recordLoadState()
	})
	return nil
}

// unloadAdapter refuses new attempts for an adapter; running ones finish.
func (e *Engine) unloadAdapter(adapter namespace) {
	delete(e.orders.adapters, adapter)
	e.cache.evictAdapter(adapter, e.now())
}

// adapterReport returns the adapters for a load report.
func (e *Engine) adapterReport() []structs.EngineAdapter {
	if len(e.orders.adapters) == 0 {
		return nil
	}
	for _, state := range e.orders.adapters {
		state.running = 0
	}
	e.countAdapters(e.running)
	e.countAdapters(e.waiting)
	report := make([]structs.EngineAdapter, 0, len(e.orders.adapters))
	for adapter, state := range e.orders.adapters {
		report = append(report, structs.EngineAdapter{
			ModelAdapter: structs.ModelAdapter{Model: adapter.model, Adapter: adapter.adapter},
			Loading:      state.loading,
			Running:      state.running,
		})
	}
	slices.SortFunc(report, func(a, b structs.EngineAdapter) int { return a.Compare(b.ModelAdapter) })
	return report
}

func (e *Engine) countAdapters(sequences []*sequence) {
	for _, s := range sequences {
		if state := e.orders.adapters[s.namespace()]; state != nil {
			state.running++
		}
	}
}

// Loading reports whether the engine is loading weights.
func (e *Engine) Loading() bool {
	if len(e.orders.loading) > 0 {
		return true
	}
	for _, state := range e.orders.adapters {
		if state.loading {
			return true
		}
	}
	return false
}

// unloadModel refuses new attempts for a model; running ones finish.
func (e *Engine) unloadModel(model structs.ModelName) {
	e.orders.loaded = withoutModel(e.orders.loaded, model)
	e.orders.loading = withoutModel(e.orders.loading, model)
	e.orders.versions = maps.Clone(e.orders.versions)
	delete(e.orders.versions, model)
	maps.DeleteFunc(e.orders.adapters, func(adapter namespace, _ *adapterState) bool { return adapter.model == model })
	e.cache.evictModel(model, e.now())
}

func withoutModel(models []structs.ModelName, model structs.ModelName) []structs.ModelName {
	return slices.DeleteFunc(slices.Clone(models), func(other structs.ModelName) bool { return other == model })
}

// fetch reads weights, retrying until it succeeds or the run ends.
func (e *Engine) fetch(name string, bytes int64, done func()) {
	run := e.run
	if e.options.Weights == nil {
		done()
		return
	}
	e.options.Weights.Fetch(name, bytes, func(err error) {
		if e.run != run {
			return
		}
		if err != nil {
			e.after(loadRetryDelay, func() {
				if e.run == run {
					e.fetch(name, bytes, done)
				}
			})
			return
		}
		done()
	})
}

// Models returns the loaded models.
func (e *Engine) Models() []structs.ModelName { return slices.Clone(e.orders.loaded) }
