package relaydaemon

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// shortestDrain is the shortest time that operators give daemons to stop sending to an
// instance that leaves.
const shortestDrain = 2 * time.Second

// How operators' and back ends' records are watched. A reading whose connection goes silent is
// made once more Wait + Answer after it began: that stays below shortestDrain, with time left for
// a second one that hangs (2 x Answer) and for a request on its way, and below the two seconds
// within which operators expect new routes in force. Back ends write often: Pause has their
// changes read together. Each reading confirms the routes, and with them the keys.
var (
	routesWatch = store.WatchSettings{
		Wait: 1200 * time.Millisecond, Answer: 400 * time.Millisecond, Retry: 150 * time.Millisecond,
	}
	instancesWatch = store.WatchSettings{
		Wait: 600 * time.Millisecond, Answer: 400 * time.Millisecond, Retry: 150 * time.Millisecond,
		Pause: 500 * time.Millisecond,
	}
)

// watchRoutes follows the operators' routes until ctx ends.
func (d *Daemon) watchRoutes(ctx context.Context) {
	watcher := store.Watcher{
		Store:     d.records,
		Contact:   d.store,
		Partition: d.adapter.RoutesPartition(),
		Settings:  routesWatch,
		OnAdvance: d.takeOperators,
		OnRead:    d.confirmRoutes,
		Hurry:     d.keys.hurry.Asked(),
		Expected:  d.keys.newerRoutes.Asked(),
		Metrics:   d.watchMetrics,
		Logger:    &d.logger,
		OnContact: func(err error) {
			d.keys.noteContact(err)
			d.contact("routes")(err)
		},
	}
	watcher.Run(ctx)
}

// takeOperators puts the operators' records in force. Evacuations come first: a
// daemon that starts sends nothing before it has routes.
func (d *Daemon) takeOperators(records map[string]store.Record, end int64) {
	d.takeEvacuations(d.adapter.Evacuations(records, end))
	d.takeRoutes(records)
}

// confirmRoutes takes note that the routes in force are the newest. They are not
// while newer ones could not be understood, which may take keys away.
func (d *Daemon) confirmRoutes(asOf time.Time) {
	if !d.refused.Load() && d.table.Load() != nil {
		d.keys.note(asOf)
	}
}

// takeRoutes puts the newest routes in force. Routes that cannot be understood
// or that are older change nothing.
func (d *Daemon) takeRoutes(records map[string]store.Record) {
	table, err := d.adapter.Routes(records)
	d.refused.Store(err != nil)
	if err != nil {
		d.logger.Error().Err(err).Msg("Routes refused. Those before stay in force.")
		return
	}
	if table == nil {
		return
	}
	before := d.table.Load()
	if before != nil && table.Version <= before.Version {
		return
	}
	d.cold.SetServices(table.Services)
	if table.RestrictsRegions() {
		d.regional.startAll()
	}
	d.table.Store(table)
	d.front.setLimits(table.Limits)
	if before == nil {
		close(d.hasTable)
	}
	d.logger.Info().Int64("version", table.Version).Dur("head_time", table.Limits.HeaderTimeout).
		Dur("idle_time", table.Limits.IdleTimeout).Msg("Routes in force.")
}

// watchInstances follows the list of back ends until ctx ends.
func (d *Daemon) watchInstances(ctx context.Context) {
	watcher := store.Watcher{
		Store:     d.store,
		Contact:   d.store,
		Partition: d.adapter.InstancesPartition(),
		Settings:  instancesWatch,
		Metrics:   d.watchMetrics,
		Logger:    &d.logger,
		OnChange: func(records map[string]store.Record) {
			d.adapter.Forget(d.pool.Replace(d.adapter.Instances(records)))
		},
		OnRead: d.pool.ConfirmList,
		OnContact: func(err error) {
			if err != nil {
				d.pool.MarkListUnavailable()
			} else {
				d.pool.MarkListAvailable()
			}
			d.contact("instances")(err)
		},
	}
	watcher.Run(ctx)
}

// contact logs when what is followed in the store is lost and regained.
func (d *Daemon) contact(what string) func(error) {
	return func(err error) {
		if err != nil {
			d.logger.Warn().Str("watch", what).Err(err).Msg("Store lost. What was read last stays in force.")
			return
		}
		d.logger.Info().Str("watch", what).Msg("Store regained.")
	}
}
