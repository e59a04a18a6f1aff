package checker

import "github.com/mintpulley/mintpulley/internal/structs"

// RecordOrder checks an order that arrived at an engine. loading is set if the
// engine was still loading weights for an earlier order, taken if it accepted the
// order. A restarted engine has lost its fence, so the checker keeps the highest
// one that the engine ever accepted: an order below it is stale.
func (c *Checker) RecordOrder(order structs.Order, loading, taken bool) {
	highest := c.highestFences[order.Engine]
	switch {
	case !taken || order.Fence == highest:
		return
	case order.Fence < highest:
		c.Report(EngineOrderConflict, "%s accepted a stale order to %s with fence %d, after %d", order.Engine, order.Kind, order.Fence, highest)
		return
	case loading:
		c.Report(EngineOrderConflict, "%s accepted an order to %s with fence %d while it loaded weights for another", order.Engine, order.Kind, order.Fence)
	}
	c.highestFences[order.Engine] = order.Fence
}
