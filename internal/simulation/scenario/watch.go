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

// watchConfigurations periodically reads every daemon's configuration as an
// operator would.
func (r *Run) watchConfigurations() {
	r.readConfigurations()
	r.Cluster.After(readInterval, r.watchConfigurations)
}

func (r *Run) readConfigurations() {
	reachable := r.reachableDaemons()
	for _, daemon := range r.Cluster.Daemons {
		if !daemon.Running() || daemon.Process.Paused() {
			continue
		}
		read := checker.DaemonConfiguration{Address: daemon.Address, Run: daemon.ID, Reachable: reachable[daemon]}
		if current := daemon.Node.Configurations.Current(); current != nil {
			read.Revision = current.Revision
			read.Digest = r.digest(current)
		}
		r.Checker.RecordConfiguration(read)
	}
}

// digest returns a hash of a configuration's content. A configuration in force
// is never modified, so hashes are cached by pointer.
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

// reachableDaemons returns the daemons that the latest configuration can reach
// over links that work in both directions, from the log or from a daemon that
// has it.
func (r *Run) reachableDaemons() map[*cluster.Daemon]bool {
	c := r.Cluster
	reached := map[*cluster.Daemon]bool{}
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
			if reached[daemon] || daemon.Process.Paused() || !r.connected(from, daemon.Place()) {
				continue
			}
			reached[daemon] = true
			frontier = append(frontier, daemon.Place())
		}
	}
	return reached
}

func (r *Run) connected(a, b network.Place) bool {
	return r.Cluster.Network.Reachable(a, b) && r.Cluster.Network.Reachable(b, a)
}
