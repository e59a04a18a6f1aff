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
	// cutCost counts against an instance in a zone that is cut off, as a share of its
	// slots. It is above all other costs: an instance that failed lately may serve again.
	cutCost = 10_000
	// rampCost is the same right after a cut's end; it falls to 0 within zone.RampTime. At
	// first the instance gets only requests that find no free slot elsewhere: until a third
	// of the ramp is over this exceeds what counts for the instance that knows a session
	// (0.4).
	rampCost = 0.6
	// lastKey sorts after all keys of a space.
	lastKey = "\xff"
)

// cutOffZones keeps requests from the instances of zones that are cut off, unless no other
// instance serves. It implements instance.Scorer.
type cutOffZones struct{ zones *zone.Reachability }

// Cost implements instance.Scorer.
func (c cutOffZones) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	if c.zones.IsCutOff(candidate.Zone) {
		return cutCost
	}
	return rampCost * (1 - c.zones.Weight(candidate.Zone, now))
}

// watchZones prepares the watch of which zones this daemon is cut off from; a fleet of
// one zone has none.
func (d *Daemon) watchZones() {
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
		OnCutOff:     func(zone string) { d.adapter.Forget(d.pool.AddressesIn(zone)) },
		OnIsolated:   d.expireRestingAfterReroute,
		Random:       newRandom(),
		Logger:       part(d.logger, "zones"),
		Metrics:      reach.NewMetrics(d.figures),
	})
}

// watchReach watches what can not be reached until ctx ends.
func (d *Daemon) watchReach(ctx context.Context) {
	if d.reach == nil {
		d.relay.WatchSilence(ctx)
		return
	}
	d.reach.Run(ctx)
}

// expireRestingAfterReroute closes callers' idle connections that no caller may use again once new ones are routed to
// other daemons, if this one is still cut off then: their next requests then reach a
// daemon that can serve them without being refused first.
func (d *Daemon) expireRestingAfterReroute() {
	time.AfterFunc(noticeTime, func() {
		if _, isCut := d.cutOffSince(); isCut {
			d.front.expireResting(time.Now())
		}
	})
}

// probeStore tells whether the store answers, directly or by way of another daemon. It
// reads after the last key of the members' registry, so that the answer is empty.
func (d *Daemon) probeStore(ctx context.Context) bool {
	_, err := d.store.NewestPage(ctx, registryPartition(), lastKey)
	return err == nil
}

// receiveReach takes a message about what can be reached; false means it is another
// part's.
func (d *Daemon) receiveReach(from structs.DaemonID, message peer.Message) bool {
	return d.reach != nil && d.reach.Receive(from, message)
}

// cutOffSince tells since when this daemon has been cut off from the store and most
// of the fleet.
func (d *Daemon) cutOffSince() (since time.Time, isCut bool) {
	if d.zones == nil {
		return time.Time{}, false
	}
	return d.zones.IsolatedSince()
}

// RedirectsCallers tells whether callers are to make their next request on another
// connection: new connections of callers are routed to other
// daemons while this one stops or is cut off.
func (d *Daemon) RedirectsCallers() bool {
	_, isCut := d.cutOffSince()
	return isCut || d.stopping.Load()
}
