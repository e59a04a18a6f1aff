package relaydaemon

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
	"github.com/mintpulley/mintpulley/internal/zone/reach"
)

const (
	// cutOffCost is the cost of an instance in a zone that is cut off, as a share of its slots. It
	// exceeds all other costs, so that even an instance that failed recently is preferred.
	cutOffCost = 10_000
	// rampCost is the cost of an instance right after its zone became reachable again; it falls to
	// 0 within zone.RampTime. At the start of the ramp it exceeds the gain of the preferred
	// instance, until a third of the ramp is over, so that the instance gets only requests which
	// find no free slot elsewhere.
	rampCost = 0.6
	// lastKey sorts after all keys of a space.
	lastKey = "\xff"
)

// cutOffZones is an instance.Scorer that keeps requests away from zones that are cut off, unless no
// other instance is available.
type cutOffZones struct{ reachability *zone.Reachability }

// Cost implements instance.Scorer.
func (c cutOffZones) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	if c.reachability.IsCutOff(candidate.Zone) {
		return cutOffCost
	}
	return rampCost * (1 - c.reachability.Weight(candidate.Zone, now))
}

// prepareReachMonitor creates the monitor that detects which zones this daemon is cut off from. A
// fleet of one zone has none.
func (d *Daemon) prepareReachMonitor() {
	if d.reachability == nil {
		return
	}
	d.reachMonitor = reach.New(reach.Options{
		Self:         d.membership.Self.ID,
		Zone:         d.settings.Zone,
		Reachability: d.reachability,
		Connections:  d.relay,
		Transport:    d.transport,
		View:         d.membership,
		ProbeStore:   d.probeStore,
		OnCutOff:     func(zone string) { d.adapter.CloseIdle(d.pool.AddressesIn(zone)) },
		OnIsolated:   d.expireIdleAfterReroute,
		Random:       newRandom(),
		Logger:       componentLogger(d.logger, "zones"),
		Metrics:      reach.NewMetrics(d.metrics),
	})
}

// runReachMonitor runs the monitor until ctx ends. In a fleet of one zone it only watches for
// silent back ends.
func (d *Daemon) runReachMonitor(ctx context.Context) {
	if d.reachMonitor == nil {
		d.relay.WatchSilence(ctx)
		return
	}
	d.reachMonitor.Run(ctx)
}

// expireIdleAfterReroute closes idle connections once the platform routes new ones to other
// daemons, if this daemon is still isolated by then. Their callers then reach a daemon that can
// serve them without being refused first. Connections that their caller may still reuse stay open.
func (d *Daemon) expireIdleAfterReroute() {
	time.AfterFunc(rerouteTime, func() {
		if _, isolated := d.isolatedSince(); isolated {
			d.front.expireIdle(time.Now())
		}
	})
}

// probeStore reports whether the store answers, directly or by way of another daemon. It reads
// after the last key of the registry of daemons, so that the answer is empty.
func (d *Daemon) probeStore(ctx context.Context) bool {
	_, err := d.store.NewestPage(ctx, registryPartition(), lastKey)
	return err == nil
}

// receiveReach handles a message of package reach; it returns false if the message belongs to
// another component.
func (d *Daemon) receiveReach(from structs.DaemonID, message peer.Message) bool {
	return d.reachMonitor != nil && d.reachMonitor.Receive(from, message)
}

// isolatedSince returns since when this daemon has been isolated from the store and most of the
// fleet; false if it is not.
func (d *Daemon) isolatedSince() (since time.Time, isolated bool) {
	if d.reachability == nil {
		return time.Time{}, false
	}
	return d.reachability.IsolatedSince()
}

// RedirectsCallers reports whether callers should send their next request on a new connection,
// because the platform routes new connections to other daemons: while this daemon is shutting down
// or isolated.
func (d *Daemon) RedirectsCallers() bool {
	_, isolated := d.isolatedSince()
	return isolated || d.stopping.Load()
}
