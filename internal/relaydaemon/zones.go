package relaydaemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// Sources of evacuation updates, in logs.
const (
	sourceStore  = "store"
	sourceDaemon = "daemon"
)

// applyEvacuations applies the operators' orders that were read from the store.
func (d *Daemon) applyEvacuations(snapshot zone.OrderSnapshot) {
	now := time.Now()
	d.reportEvacuations(d.evacuations.ApplySnapshot(snapshot, now), snapshot.End, sourceStore, now)
}

// KnownEvacuationsEnd implements ledger.Evacuations.
func (d *Daemon) KnownEvacuationsEnd() int64 { return d.evacuations.KnownEnd() }

// EvacuationUpdateAfter implements ledger.Evacuations.
func (d *Daemon) EvacuationUpdateAfter(knownEnd int64, now time.Time) *zone.EvacuationUpdate {
	return d.evacuations.UpdateAfter(knownEnd, now)
}

// ApplyEvacuationUpdate implements ledger.Evacuations.
func (d *Daemon) ApplyEvacuationUpdate(update *zone.EvacuationUpdate, now time.Time) {
	d.reportEvacuations(d.evacuations.ApplyUpdate(update, now), update.End, sourceDaemon, now)
}

// reportEvacuations logs changes, and reports to admission how long ended evacuations lasted.
func (d *Daemon) reportEvacuations(changes []zone.EvacuationChange, end int64, from string, now time.Time) {
	for _, change := range changes {
		logger := componentLogger(d.logger, "zones").With().Str("zone", change.Zone).Int64("order", change.Offset).
			Int64("as_of", end).Str("heard_from", from).Int("in_flight", d.pool.InFlight(change.Zone)).Logger()
		if !change.Evacuated {
			d.admission.ObserveDuration(admission.ServiceEvacuated, change.Lasted)
			logger.Info().Dur("lasted", change.Lasted).Msg("Evacuation of the zone ended.")
			continue
		}
		since, _ := d.evacuations.EvacuatedSince(change.Zone)
		level := zerolog.InfoLevel
		if now.Sub(since) > d.settings.evacuationTime() {
			level = zerolog.WarnLevel // requests went to the zone past the operators' limit
		}
		logger.WithLevel(level).Dur("known_for", now.Sub(since)).Msg("Zone evacuated.")
	}
}

// registerZones registers the metrics of each zone in the settings. Orders for other zones are
// counted together, as operators may name any zone.
func (d *Daemon) registerZones(registry prometheus.Registerer) {
	for _, name := range d.topology.Zones() {
		registry.MustRegister(
			zoneGauge("evacuated", "1 while the operators' order to send nothing to the zone is in force.", name, func() float64 {
				if _, evacuated := d.evacuations.EvacuatedSince(name); evacuated {
					return 1
				}
				return 0
			}),
			zoneGauge("requests_in_flight", "This daemon's requests at back ends of the zone.", name, func() float64 {
				return float64(d.pool.InFlight(name))
			}),
		)
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "mintpulley", Subsystem: "zone", Name: "unknown_evacuated", Help: "Evacuated zones that the settings do not name.",
	}, func() float64 { return float64(d.countUnknownEvacuated()) }))
}

func zoneGauge(name, help, zoneName string, value func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "mintpulley", Subsystem: "zone", Name: name, Help: help, ConstLabels: prometheus.Labels{"zone": zoneName},
	}, value)
}

func (d *Daemon) countUnknownEvacuated() int {
	count := 0
	for _, order := range d.evacuations.InForce() {
		if _, known := d.topology.RegionOf(order.Zone); !known {
			count++
		}
	}
	return count
}
