package checker

import "github.com/mintpulley/mintpulley/internal/structs"

// RecordOrder notes an order that arrived at an engine. reading is set when the
// engine was still reading weights for an earlier one, taken when it obeys. An
// engine that restarted knows no fence any more; an order below the highest
// that it ever took is stale even so.
func (c *Checker) RecordOrder(order structs.Order, reading, taken bool) {
	highest := c.fences[order.Engine]
	switch {
	case !taken || order.Fence == highest:
		return
	case order.Fence < highest:
		c.Report(EngineOrderConflict, "%s took a stale order to %s under fence %d, after %d", order.Engine, order.Kind, order.Fence, highest)
		return
	case reading:
		c.Report(EngineOrderConflict, "%s got an order to %s under fence %d while it read weights for another", order.Engine, order.Kind, order.Fence)
	}
	c.fences[order.Engine] = order.Fence
}
