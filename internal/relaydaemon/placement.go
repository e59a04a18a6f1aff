package relaydaemon

import "github.com/mintpulley/mintpulley/internal/instance"

// placementPlugins are the parts that take part in the choice of instances, by what
// the settings ask for.
func (d *Daemon) placementPlugins() instance.Plugins {
	return instance.Plugins{
		Filters:   []instance.Filter{d.cold},
		Scorers:   []instance.Scorer{d.cold},
		Reservers: []instance.Reserver{d.cold},
	}
}
