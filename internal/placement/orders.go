package placement

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// fenceEpochShift places the epoch above the count in a fence, so that every
// order of a later leadership has a higher fence.
const fenceEpochShift = 32

// loadsWeights reports whether an order makes the engine load weights.
func loadsWeights(order structs.Order) bool {
	return order.Kind == structs.OrderLoadModel || order.Kind == structs.OrderLoadAdapter
}

// currentOrder returns the order that an engine is carrying out, in force or
// being recorded; nil for none.
func (c *controller) currentOrder(engine structs.EngineID) *structs.Order {
	if order, pending := c.proposed[engine]; pending {
		return &order
	}
	return c.state.Engine(engine).InForce
}

// ownLoading counts the engines of this shard that are ordered to load weights.
func (c *controller) ownLoading() int {
	count := 0
	for _, engine := range c.state.InForce() {
		if _, pending := c.proposed[engine.Engine]; !pending && loadsWeights(*engine.InForce) {
			count++
		}
	}
	for _, order := range c.proposed {
		if loadsWeights(order) {
			count++
		}
	}
	return count
}

// loadsAllowed returns how many more engines may be ordered to load weights,
// fleet-wide.
func (c *controller) loadsAllowed(configuration *structs.Configuration) int {
	reading := c.ownLoading()
	now := c.Clock.Now()
	for _, other := range c.summaries {
		if now.Sub(other.at) <= c.Settings.ReportTTL {
			reading += other.loading
		}
	}
	return max(cmp.Or(configuration.Fleet.WeightReaders, c.Settings.MaximumLoading)-reading, 0)
}

// readyForOrder returns the load report of an engine and whether it may get an
// order: it has none, is not loading for an earlier one, and none failed within
// FailureBackoff.
func (c *controller) readyForOrder(engine structs.EngineID) (structs.LoadReport, bool) {
	load, known := c.latestReport(engine)
	if !known || load.Draining {
		return load, false
	}
	if c.Guards.SkipRecord {
		return load, true
	}
	reading := len(load.Loading) > 0 || slices.ContainsFunc(load.Adapters, func(a structs.EngineAdapter) bool { return a.Loading })
	failed := c.Clock.Now().Sub(c.state.Engine(engine).FailedAt) < c.Settings.FailureBackoff
	return load, c.currentOrder(engine) == nil && !reading && !failed
}

// cooledDown reports whether an engine's last model change is at least Cooldown
// ago.
func (c *controller) cooledDown(engine structs.EngineID) bool {
	return c.Clock.Now().Sub(c.state.Engine(engine).ChangedAt) >= c.Settings.Cooldown
}

// resendOrders sends orders in force again until the engine's load report shows
// that they are done. Answers may be lost, and orders are idempotent.
func (c *controller) resendOrders() {
	now := c.Clock.Now()
	for _, engine := range c.state.InForce() {
		order := *engine.InForce
		switch {
		case c.isDone(engine):
			c.settleOrder(order, true)
		case now.Sub(engine.IssuedAt) >= c.Settings.OrderTimeout:
			c.Logger.Warn().Str("engine", string(order.Engine)).Str("kind", string(order.Kind)).Str("model", string(order.Model)).Msg("Order abandoned.")
			c.settleOrder(order, false)
		default:
			c.sendOrder(order)
		}
	}
}

// sendOrder sends an order in force. A restarted engine has forgotten its
// fence, so a leader that was replaced without knowing must not send: it
// confirms its leadership first.
func (c *controller) sendOrder(order structs.Order) {
	c.leadership.Confirm(func(err error) {
		current := c.state.Engine(order.Engine).InForce
		if err != nil || c.stopped || current == nil || *current != order {
			return
		}
		c.Engines.Order(order, func(err error) {
			c.post(func() { c.handleOrderAnswer(order, err) })
		})
	})
}

// handleOrderAnswer abandons an order that the engine refuses permanently.
func (c *controller) handleOrderAnswer(order structs.Order, err error) {
	current := c.state.Engine(order.Engine).InForce
	if current == nil || *current != order || !eris.Is(err, framework.ErrRefused) {
		return
	}
	c.Logger.Warn().Str("engine", string(order.Engine)).Str("kind", string(order.Kind)).Str("model", string(order.Model)).Msg("Order refused.")
	c.settleOrder(order, false)
}

// isDone reports whether a load report received after the order shows its
// effect.
func (c *controller) isDone(engine EngineState) bool {
	entry, known := c.reports[engine.Engine]
	if !known || !entry.at.After(engine.IssuedAt) {
		return false
	}
	order := engine.InForce
	wanted := structs.ModelAdapter{Model: order.Model, Adapter: order.Adapter}
	switch order.Kind {
	case structs.OrderLoadModel:
		return slices.Contains(entry.load.Models, order.Model) && entry.load.Versions[order.Model] == order.Version
	case structs.OrderUnloadModel:
		return !slices.Contains(entry.load.Models, order.Model)
	case structs.OrderLoadAdapter:
		return entry.load.Serves(wanted)
	case structs.OrderUnloadAdapter:
		return !slices.ContainsFunc(entry.load.Adapters, func(a structs.EngineAdapter) bool { return a.ModelAdapter == wanted })
	case structs.OrderSetRole:
		return entry.load.Role == order.Role
	default:
		return true
	}
}

// settleOrder records an order's end. A completed load is followed, in the same
// proposal, by the unload of the model it replaces; in between, the engine
// would count for both.
func (c *controller) settleOrder(order structs.Order, done bool) {
	now := c.Clock.Now()
	records := []structs.Record{{At: now, OrderSettled: &structs.OrderSettled{Engine: order.Engine, Fence: order.Fence, Done: done}}}
	if next, follows := c.unloadAfter(order); done && follows {
		records = append(records, structs.Record{At: now, OrderIssued: &structs.OrderIssued{Order: next}})
	}
	c.leadership.Propose(records, func(err error) {
		if err != nil || c.stopped || !done {
			return
		}
		c.Logger.Info().Str("engine", string(order.Engine)).Str("kind", string(order.Kind)).Str("model", string(order.Model)).Str("adapter", string(order.Adapter)).Msg("Order done.")
	})
}

// unloadAfter returns the order to unload the model that a loaded one replaces.
// It is sent on the next tick.
func (c *controller) unloadAfter(loaded structs.Order) (structs.Order, bool) {
	if loaded.Kind != structs.OrderLoadModel {
		return structs.Order{}, false
	}
	for _, model := range c.reports[loaded.Engine].load.Models {
		if model != loaded.Model {
			return structs.Order{Engine: loaded.Engine, Kind: structs.OrderUnloadModel, Model: model, Fence: c.nextFence()}, true
		}
	}
	return structs.Order{}, false
}

// nextFence returns a fence above all those of this and earlier leaderships, so
// that engines refuse late orders of a former leader.
func (c *controller) nextFence() uint64 {
	c.fenceCount++
	return uint64(c.leadership.Epoch())<<fenceEpochShift | c.fenceCount
}

// issue records an order and then sends it.
func (c *controller) issue(order structs.Order) {
	order.Fence = c.nextFence()
	if c.Guards.SkipRecord {
		c.Engines.Order(order, func(error) {})
		return
	}
	c.proposed[order.Engine] = order
	record := structs.Record{At: c.Clock.Now(), OrderIssued: &structs.OrderIssued{Order: order}}
	c.leadership.Propose([]structs.Record{record}, func(err error) {
		if c.stopped {
			return
		}
		delete(c.proposed, order.Engine)
		if err == nil {
			c.sendOrder(order)
		}
	})
}
