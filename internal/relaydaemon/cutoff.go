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
	// cutCost puts instances in zones that are cut off behind all others, those that
	// failed lately included: these may serve.
	cutCost = 10_000
	// rampCost is what counts against an instance, as a share of its slots, right
	// after a cut's end: at first it gets requests that find no place elsewhere. It
	// exceeds what speaks for the instance that knows a session (0.4) until a third of
	// the ramp is over.
	rampCost = 0.6
	// lastKey sorts behind all keys of a space.
	lastKey = "\xff"
)

// cutOffZones is the part of placing that keeps requests from zones that are cut off,
// unless nothing else serves. It implements instance.Scorer.
type cutOffZones struct{ zones *zone.Reachability }

// Cost implements instance.Scorer.
func (c cutOffZones) Cost(_ *instance.Query, candidate *instance.Instance, now time.Time) float64 {
	if c.zones.IsCut(candidate.Zone) {
		return cutCost
	}
	return rampCost * (1 - c.zones.Share(candidate.Zone, now))
}

// watchZones makes the daemon find out which zones it is cut off from; in a fleet of
// one zone there is none.
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
		OnCut:        func(zone string) { d.adapter.Forget(d.pool.AddressesIn(zone)) },
		OnIsolated:   d.leadAway,
		Random:       newRandom(),
		Logger:       part(d.logger, "zones"),
		Metrics:      reach.NewMetrics(d.figures),
	})
}

// watchReach finds out what is not reached until ctx ends.
func (d *Daemon) watchReach(ctx context.Context) {
	if d.reach == nil {
		d.relay.WatchSilence(ctx)
		return
	}
	d.reach.Run(ctx)
}

// leadAway closes callers' connections that rest once the platform leads new ones
// elsewhere: their next requests then reach a daemon that can serve them without being
// refused first.
func (d *Daemon) leadAway() {
	time.AfterFunc(noticeTime, func() {
		if _, isCut := d.cutOffSince(); isCut {
			d.front.expireResting(time.Now())
		}
	})
}

// probeStore tells whether the store answers, directly or by way of another daemon. It
// reads behind the last key of the members' registry, which is nothing.
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
	return d.zones.Isolated()
}

// SendsAway implements Gateway: who connects anew to a daemon that stops or is cut
// off is led to another one.
func (d *Daemon) SendsAway() bool {
	_, isCut := d.cutOffSince()
	return isCut || d.stopping.Load()
}
