package relaydaemon

import (
	"math/rand/v2"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/instance/distance"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// placementPlugins returns the filters, scorers and reservers that choose instances.
func (d *Daemon) placementPlugins() instance.Plugins {
	plugins := instance.Plugins{
		Filters: []instance.Filter{
			residency.Filter{Topology: d.topology}, zone.EvacuationFilter{Evacuations: &d.evacuations}, d.coldLimiter,
		},
		Scorers: []instance.Scorer{
			distance.Scorer{Topology: d.topology}, zone.ReturnScorer{Evacuations: &d.evacuations, Seed: rand.Uint64()}, d.coldLimiter,
		},
		Reservers: []instance.Reserver{d.coldLimiter},
	}
	if d.reachability != nil {
		plugins.Scorers = append(plugins.Scorers, cutOffZones{d.reachability})
	}
	return plugins
}

// preparePlacement creates the pool of instances and the plug-ins that choose from it.
func (d *Daemon) preparePlacement() {
	d.coldLimiter = warmup.NewLimiter(warmup.Options{
		Tolerance:   d.settings.coldTolerance(),
		OwnAddress:  d.settings.PeerAddress,
		Heartbeat:   d.settings.heartbeat(),
		ZoneReturns: &d.evacuations,
		Logger:      componentLogger(d.logger, "warmup"),
		Metrics:     warmup.NewMetrics(d.metrics),
	})
	if len(d.topology.Zones()) > 1 {
		d.reachability = zone.NewReachability(d.topology)
	}
	options := instance.Options{Zone: d.settings.Zone, Address: d.settings.PeerAddress, Heartbeat: d.settings.heartbeat()}
	d.pool = instance.NewPoolWith(options, newRandom(), d.placementPlugins())
	d.registerZones(d.metrics)
}
