package relaydaemon

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// minInstanceDrain is the shortest time that operators give daemons to stop sending requests to an
// instance that leaves.
const minInstanceDrain = 2 * time.Second

// Settings of the watchers of the operators' and back ends' records. A read whose connection goes
// silent is sent again Wait + AnswerTimeout after it began. That stays below minInstanceDrain, with
// time left for a second read that hangs (2 x AnswerTimeout) and for a request in flight, and below
// the two seconds within which operators expect new routes in force. Back ends write often, so
// Pause batches their changes. Each read confirms the routes, and with them the keys.
var (
	routesWatch = store.WatchSettings{
		Wait: 1200 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, RetryInterval: 150 * time.Millisecond,
	}
	instancesWatch = store.WatchSettings{
		Wait: 600 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, RetryInterval: 150 * time.Millisecond,
		Pause: 500 * time.Millisecond,
	}
)

// watchRoutes follows the operators' records until ctx ends.
func (d *Daemon) watchRoutes(ctx context.Context) {
	watcher := store.Watcher{
		Store:          d.records,
		List:           d.lister(d.adapter.RoutesPartition()),
		Connectivity:   d.store,
		Partition:      d.adapter.RoutesPartition(),
		Settings:       routesWatch,
		OnAdvance:      d.applyOperatorRecords,
		OnRead:         d.confirmRoutes,
		Refresh:        d.routesConfirmation.refresh.C(),
		ChangeExpected: d.routesConfirmation.newerRoutes.C(),
		Metrics:        d.watchMetrics,
		Logger:         &d.logger,
		OnConnectivity: func(err error) {
			d.routesConfirmation.recordConnectivity(err)
			d.logConnectivity("routes")(err)
		},
	}
	watcher.Run(ctx)
}

// applyOperatorRecords applies the operators' records. Evacuations come first: a daemon that starts
// sends no request before it has routes.
func (d *Daemon) applyOperatorRecords(records map[string]store.Record, end int64) {
	d.applyEvacuations(d.adapter.Evacuations(records, end))
	d.applyRoutes(records)
}

// confirmRoutes records that the routes in force are the newest as of a time. While newer ones
// could not be parsed, which may revoke keys, it records nothing.
func (d *Daemon) confirmRoutes(asOf time.Time) {
	if !d.hasRefusedRoutes.Load() && d.table.Load() != nil {
		d.routesConfirmation.confirm(asOf)
	}
}

// applyRoutes applies the newest routes. Routes that cannot be parsed or are older change nothing.
func (d *Daemon) applyRoutes(records map[string]store.Record) {
	table, err := d.adapter.Routes(records)
	d.hasRefusedRoutes.Store(err != nil)
	if err != nil {
		d.logger.Error().Err(err).Msg("Routes refused. The previous ones stay in force.")
		return
	}
	if table == nil {
		return
	}
	before := d.table.Load()
	if before != nil && table.Version <= before.Version {
		return
	}
	d.coldLimiter.SetServices(table.Services)
	if table.RestrictsRegions() {
		d.regional.startAll()
	}
	d.table.Store(table)
	d.front.setLimits(table.Limits)
	if before == nil {
		close(d.tableReady)
	}
	d.logger.Info().Int64("version", table.Version).Dur("head_time", table.Limits.HeaderTimeout).
		Dur("idle_time", table.Limits.IdleTimeout).Msg("Routes in force.")
}

// watchInstances follows the list of back ends until ctx ends.
func (d *Daemon) watchInstances(ctx context.Context) {
	watcher := store.Watcher{
		Store:        d.records,
		List:         d.lister(d.adapter.InstancesPartition()),
		Connectivity: d.store,
		Partition:    d.adapter.InstancesPartition(),
		Settings:     instancesWatch,
		Metrics:      d.watchMetrics,
		Logger:       &d.logger,
		OnUpdate: func(update store.Update) {
			d.adapter.CloseIdle(d.pool.Apply(d.adapter.Instances(update)))
		},
		OnRead: func(asOf time.Time) {
			d.pool.ConfirmList(asOf)
			d.listConfirmation.confirm(asOf)
		},
		Refresh: d.listConfirmation.refresh.C(),
		OnConnectivity: func(err error) {
			d.listConfirmation.recordConnectivity(err)
			if err != nil {
				d.pool.MarkListUnavailable()
			} else {
				d.pool.MarkListAvailable()
			}
			d.logConnectivity("instances")(err)
		},
	}
	watcher.Run(ctx)
}

// lister returns a function that lists a partition.
func (d *Daemon) lister(partition store.Partition) func(context.Context) (store.Listing, error) {
	return func(ctx context.Context) (store.Listing, error) { return d.records.List(ctx, partition) }
}

// logConnectivity returns a function that logs when the store becomes unreachable for a watcher,
// and when it answers again.
func (d *Daemon) logConnectivity(what string) func(error) {
	return func(err error) {
		if err != nil {
			d.logger.Warn().Str("watch", what).Err(err).Msg("Store unreachable. The records read last stay in force.")
			return
		}
		d.logger.Info().Str("watch", what).Msg("Store reachable again.")
	}
}
