package structs

import (
	"cmp"
	"slices"
)

// ModelAdapter identifies an adapter of a model.
type ModelAdapter struct {
	Model   ModelName   `json:"model"`
	Adapter AdapterName `json:"adapter,omitempty"`
}

// Compare orders by model, then by adapter.
func (a ModelAdapter) Compare(b ModelAdapter) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

// EngineAdapter is the state of an adapter at an engine.
type EngineAdapter struct {
	ModelAdapter
	// Loading is set while its weights are read from the weight store.
	Loading bool `json:"loading,omitempty"`
	// Running is the number of requests for it in the batch and in the queue.
	Running int `json:"running,omitempty"`
}

// Serves reports whether the engine has loaded a model, and the adapter if one
// is given.
func (r *LoadReport) Serves(wanted ModelAdapter) bool {
	if !slices.Contains(r.Models, wanted.Model) {
		return false
	}
	return wanted.Adapter == "" || slices.ContainsFunc(r.Adapters, func(a EngineAdapter) bool {
		return a.ModelAdapter == wanted && !a.Loading
	})
}
