package scenario

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

type (
	applicationRequest = framework.ApplicationRequest
	engineRequest      = framework.EngineRequest
	place              = network.Place
)

// watch has an operator read every daemon's configuration, again and again.
func (r *Run) watch() {
	r.readAll()
	r.Cluster.After(readPause, r.watch)
}

func (r *Run) readAll() {
	hearing := r.hearing()
	for _, daemon := range r.Cluster.Daemons {
		if !daemon.Running() || daemon.Process.Paused() {
			continue
		}
		reading := checker.DaemonConfiguration{Address: daemon.Address, Run: daemon.ID, Reachable: hearing[daemon]}
		if current := daemon.Node.Configurations.Current(); current != nil {
			reading.Revision = current.Revision
			reading.Digest = r.digest(current)
		}
		r.Checker.RecordConfiguration(reading)
	}
}

// digest identifies a configuration's content. A value in force never changes,
// so that each is read once.
func (r *Run) digest(current *structs.Configuration) uint64 {
	if known, found := r.digests[current]; found {
		return known
	}
	content, err := json.Marshal(current)
	if err != nil {
		return 0
	}
	r.digests[current] = xxhash.Sum64(content)
	return r.digests[current]
}

// hearing returns the daemons that news can reach over links that work both
// ways: from the log, or from a daemon with the latest revision.
func (r *Run) hearing() map[*cluster.Daemon]bool {
	c := r.Cluster
	heard := map[*cluster.Daemon]bool{}
	var frontier []network.Place
	if !c.Log.Down {
		frontier = append(frontier, c.Log.Place)
	}
	for _, daemon := range c.Live() {
		current := daemon.Node.Configurations.Current()
		if current != nil && current.Revision == r.Checker.LatestRevision() && !daemon.Process.Paused() {
			frontier = append(frontier, daemon.Place())
		}
	}
	for len(frontier) > 0 {
		from := frontier[0]
		frontier = frontier[1:]
		for _, daemon := range c.Live() {
			if heard[daemon] || daemon.Process.Paused() || !r.connected(from, daemon.Place()) {
				continue
			}
			heard[daemon] = true
			frontier = append(frontier, daemon.Place())
		}
	}
	return heard
}

func (r *Run) connected(a, b network.Place) bool {
	return r.Cluster.Network.Reachable(a, b) && r.Cluster.Network.Reachable(b, a)
}
