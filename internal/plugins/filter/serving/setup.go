// Package serving filters out engines that only prefill, and for a call with an
// adapter those that have not loaded it.
package serving

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Name is the filter's registered name.
const Name = "serving"

func init() {
	schedule.Filters.Register(Name, func() schedule.Filter { return filter{} })
}

type filter struct{}

// Admit implements schedule.Filter.
func (filter) Admit(candidate *schedule.Candidate) bool {
	load := &candidate.Engine.Load
	if load.Role == structs.RolePrefill {
		return false
	}
	item := candidate.Item
	return item.Adapter == "" || load.Serves(structs.ModelAdapter{Model: item.Model, Adapter: item.Adapter})
}
