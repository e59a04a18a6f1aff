package backends

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// probeAttempt names an attempt that no program makes, to ask about.
const probeAttempt structs.AttemptID = "mintpulley:probe"

// probeApplications asks applications that are leaving or were not reached
// whether a new run has begun, or whether they answer again.
func (d *Directory) probeApplications() {
	if d.isStopped() {
		return
	}
	for _, id := range d.applicationsToProbe() {
		d.probeApplication(id)
	}
	d.Clock.AfterFunc(d.Settings.ProbeInterval, d.probeApplications)
}

// applicationsToProbe lists the applications to ask, in order.
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

// probeApplication asks a back end which run it is in. After an error the next
// probe asks again.
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
