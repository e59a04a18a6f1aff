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
	// 0 within zone.RampTime. During the first third of the ramp it exceeds the bonus of the
	// instance that knows a session (0.4), so that the instance gets only requests which find no
	// free slot elsewhere.
	rampCost = 0.6
	// lastKey sorts after all keys of a space.
	lastKey = "\xff"
)

// cutOffZones is an instance.Scorer that keeps requests away from zones that are cut off, unless no
// other instance is available.
type cutOffZones struct{ zones *zone.Reachability }

// Cost implements instance.Scorer.
func (c cutOffZones) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	if c.zones.IsCutOff(candidate.Zone) {
		return cutOffCost
	}
	return rampCost * (1 - c.zones.Weight(candidate.Zone, now))
}

// prepareReachWatch creates the watch for zones that this daemon is cut off from. A fleet of one
// zone has none.
func (d *Daemon) prepareReachWatch() {
	if d.zones == nil {
		return
	}
	d.reach = reach.New(reach.Options{
		Self:         d.membership.Self.ID,
		Zone:         d.settings.Zone,
		Reachability: d.zones,
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

// runReachWatch runs the watch until ctx ends.
func (d *Daemon) runReachWatch(ctx context.Context) {
	if d.reach == nil {
		d.relay.WatchSilence(ctx)
		return
	}
	d.reach.Run(ctx)
}

// expireIdleAfterReroute closes idle connections once the platform routes new ones to other
// daemons, if this daemon is still cut off by then. Their callers then reach a daemon that can
// serve them without being refused first. Connections that their caller may still reuse stay open.
func (d *Daemon) expireIdleAfterReroute() {
	time.AfterFunc(rerouteTime, func() {
		if _, isCut := d.cutOffSince(); isCut {
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
	return d.reach != nil && d.reach.Receive(from, message)
}

// cutOffSince returns since when this daemon has been cut off from the store and most of the fleet.
func (d *Daemon) cutOffSince() (since time.Time, isCut bool) {
	if d.zones == nil {
		return time.Time{}, false
	}
	return d.zones.IsolatedSince()
}

// RedirectsCallers reports whether callers should send their next request on a new connection,
// because the platform routes new connections to other daemons: while this daemon stops or is cut
// off.
func (d *Daemon) RedirectsCallers() bool {
	_, isCut := d.cutOffSince()
	return isCut || d.stopping.Load()
}
