package backends

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// probeAttempt is the identifier of an attempt that no program makes, for probes.
const probeAttempt structs.AttemptID = "mintpulley:probe"

// probeApplications periodically probes applications that are draining or unreachable,
// to detect a new run or a recovery.
func (d *Directory) probeApplications() {
	if d.isStopped() {
		return
	}
	for _, id := range d.applicationsToProbe() {
		d.probeApplication(id)
	}
	d.Clock.AfterFunc(d.Settings.ProbeInterval, d.probeApplications)
}

// applicationsToProbe returns the applications to probe, in order.
func (d *Directory) applicationsToProbe() []structs.EngineID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.Clock.Now()
	var ids []structs.EngineID
	for id, b := range d.backEnds {
		doubt := b.unreachable || b.draining(d.Settings, now)
		if b.listed && !b.isEngine() && doubt {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// probeApplication asks an application for its current run. After an error the next
// probe tries again.
func (d *Directory) probeApplication(id structs.EngineID) {
	d.Drivers.Applications.Inspect(id, probeAttempt, 0, func(status framework.AttemptStatus, err error) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		b := d.backEnds[id]
		if b == nil || err != nil {
			return
		}
		b.unreachable = false
		b.observeRun(status.StartedUnixNano)
	})
}
