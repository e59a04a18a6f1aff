package enginemodel

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Operation names a driver call, so that faults can select it.
type Operation string

// Operations that faults can affect.
const (
	OperationStart       Operation = "start"
	OperationStream      Operation = "stream"
	OperationCancel      Operation = "cancel"
	OperationInspect     Operation = "inspect"
	OperationRelease     Operation = "release"
	OperationHolds       Operation = "holds"
	OperationLoad        Operation = "load"
	OperationCacheEvents Operation = "cache_events"
	OperationOrder       Operation = "order"
	OperationTransfer    Operation = "transfer"
)

// Fault is the fault injected into one exchange with an engine.
type Fault struct {
	// Refuse rejects the connection: nothing is sent, and the caller knows it.
	Refuse bool
	// LoseRequest drops the request in the network.
	LoseRequest bool
	// LoseAnswer lets the request take effect and drops the answer. On a
	// stream it breaks the connection.
	LoseAnswer bool
	// Delay is added in each direction.
	Delay time.Duration
}

// DriverOptions configure one daemon's access to the engines.
type DriverOptions struct {
	Clock clock.Clock
	Fleet *Fleet
	// Delay returns the one-way network delay to an engine; nil means none.
	Delay func(engine structs.EngineID) time.Duration
	// Fault is called once for each exchange, and once for each batch of
	// stream chunks; nil means no faults.
	Fault func(engine structs.EngineID, operation Operation) Fault
	// Timeout limits an exchange that is not a stream, and is the time until a
	// broken stream is detected.
	Timeout time.Duration
}

// Driver implements framework.EngineDriver over a Fleet, for one daemon. It is
// not safe for concurrent use.
type Driver struct {
	options DriverOptions
	streams []*driverStream
	closed  bool
}

var _ framework.EngineDriver = (*Driver)(nil)

// defaultDriverTimeout is the timeout of the HTTP driver.
const defaultDriverTimeout = 2 * time.Second

// NewDriver returns a driver without open streams.
func NewDriver(options DriverOptions) *Driver {
	if options.Timeout == 0 {
		options.Timeout = defaultDriverTimeout
	}
	return &Driver{options: options}
}

// Close drops all state, as when the daemon dies: no callback is called
// afterwards, and attempts at the engines continue.
func (d *Driver) Close() {
	d.closed = true
	for _, s := range d.streams {
		s.subscription.Detach()
	}
	d.streams = nil
}

func (d *Driver) fault(engine structs.EngineID, operation Operation) Fault {
	if d.options.Fault == nil {
		return Fault{}
	}
	return d.options.Fault(engine, operation)
}

// oneWay returns the delay in one direction.
func (d *Driver) oneWay(engine structs.EngineID, fault Fault) time.Duration {
	if d.options.Delay == nil {
		return fault.Delay
	}
	return d.options.Delay(engine) + fault.Delay
}

// afterUnlessClosed runs a task after a delay unless the driver is closed by
// then.
func (d *Driver) afterUnlessClosed(wait time.Duration, task func()) clock.Timer {
	return d.options.Clock.AfterFunc(wait, func() {
		if !d.closed {
			task()
		}
	})
}

// exchange runs an action at an engine and returns its answer through done.
// action must call reply exactly once, immediately or later; done is called
// exactly once.
func (d *Driver) exchange(id structs.EngineID, operation Operation, action func(e *Engine, reply func(error)), done func(error)) {
	fault := d.fault(id, operation)
	delay := d.oneWay(id, fault)
	if fault.Refuse {
		d.afterUnlessClosed(delay, func() { done(eris.Wrap(framework.ErrUnreachable, "connection refused")) })
		return
	}
	answered := false
	finish := func(err error) {
		if !answered {
			answered = true
			done(err)
		}
	}
	timer := d.afterUnlessClosed(d.options.Timeout, func() { finish(eris.Wrap(framework.ErrUnreachable, "timeout")) })
	if fault.LoseRequest {
		return
	}
	d.options.Clock.AfterFunc(delay, func() {
		reply := func(err error) {
			if fault.LoseAnswer {
				return
			}
			d.afterUnlessClosed(delay, func() {
				timer.Stop()
				finish(err)
			})
		}
		e := d.options.Fleet.Engine(id)
		if e == nil || e.Down() {
			reply(eris.Wrap(framework.ErrUnreachable, "connection refused"))
			return
		}
		action(e, reply)
	})
}

// Cancel implements framework.EngineDriver.
func (d *Driver) Cancel(engine structs.EngineID, attempt structs.AttemptID, done func(error)) {
	d.exchange(engine, OperationCancel, func(e *Engine, reply func(error)) {
		e.Cancel(attempt, func() { reply(nil) })
	}, done)
}

// Inspect implements framework.EngineDriver.
func (d *Driver) Inspect(engine structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	var status framework.AttemptStatus
	d.exchange(engine, OperationInspect, func(e *Engine, reply func(error)) {
		status = e.Inspect(attempt, epoch)
		reply(nil)
	}, func(err error) {
		if err != nil {
			done(framework.AttemptStatus{}, err)
			return
		}
		done(status, nil)
	})
}

// Release implements framework.EngineDriver.
func (d *Driver) Release(hold structs.Hold, done func(error)) {
	d.exchange(hold.Engine, OperationRelease, func(e *Engine, reply func(error)) {
		e.Release(hold.ID)
		reply(nil)
	}, done)
}

// Holds implements framework.EngineDriver.
func (d *Driver) Holds(engine structs.EngineID, done func([]structs.Hold, error)) {
	var holds []structs.Hold
	d.exchange(engine, OperationHolds, func(e *Engine, reply func(error)) {
		holds = e.Holds()
		reply(nil)
	}, func(err error) { done(holds, err) })
}

// Load implements framework.EngineDriver.
func (d *Driver) Load(engine structs.EngineID, done func(structs.LoadReport, error)) {
	var report structs.LoadReport
	d.exchange(engine, OperationLoad, func(e *Engine, reply func(error)) {
		report = e.Load()
		reply(nil)
	}, func(err error) { done(report, err) })
}

// CacheEvents implements framework.EngineDriver.
func (d *Driver) CacheEvents(engine structs.EngineID, after uint64, done func([]structs.CacheEvent, error)) {
	var events []structs.CacheEvent
	d.exchange(engine, OperationCacheEvents, func(e *Engine, reply func(error)) {
		events = e.CacheEvents(after)
		reply(nil)
	}, func(err error) { done(events, err) })
}

// Order implements framework.EngineDriver.
func (d *Driver) Order(order structs.Order, done func(error)) {
	d.exchange(order.Engine, OperationOrder, func(e *Engine, reply func(error)) {
		reply(e.Order(order))
	}, done)
}

// Transfer implements framework.EngineDriver. Engines copy directly between
// each other; the duration is that of sending the blocks which the receiver
// lacks over the link.
func (d *Driver) Transfer(transfer framework.Transfer, done func(int64, error)) {
	var tokens int64
	d.exchange(transfer.To, OperationTransfer, func(receiver *Engine, reply func(error)) {
		sender := d.options.Fleet.Engine(transfer.From)
		if sender == nil || sender.Down() {
			reply(eris.Wrap(framework.ErrRefused, "the sender is gone"))
			return
		}
		export := sender.Export(transfer.Program)
		run := receiver.run
		wait := receiver.ReserveLink(sender, receiver.MissingBlocks(export))
		d.options.Clock.AfterFunc(wait, func() {
			if receiver.run != run {
				return
			}
			tokens = int64(receiver.Import(export, transfer.Program, transfer.Hold)) * prefix.BlockTokens
			reply(nil)
		})
	}, func(err error) { done(tokens, err) })
}
