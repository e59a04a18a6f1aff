package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// genesis has the first group of every shard. The first genesis in the stream
// counts.
type genesis struct {
	Daemons []structs.Daemon `json:"daemons"`
	// Groups lists, for each shard, indexes into Daemons.
	Groups [][]int `json:"groups"`
}

// applyGenesis applies the first groups and returns what is to be done once the
// mutex is free.
func (g *registry) applyGenesis(first *genesis) []func() {
	m := g.manager
	if len(first.Groups) != m.Settings.Shards {
		m.Logger.Error().Int("shards", len(first.Groups)).Msg("Genesis refused. Its number of shards differs from this daemon's.")
		return nil
	}
	g.hasGroups = true
	var effects []func()
	for number, indexes := range first.Groups {
		var group Group
		for _, index := range indexes {
			if index >= 0 && index < len(first.Daemons) {
				group = append(group, first.Daemons[index].ID)
			}
		}
		shard := structs.ShardNumber(number)
		g.groups[shard] = knownGroup{group: group}
		if group.Contains(m.Self.ID) {
			effects = append(effects, func() { m.openFirstReplica(shard, group) })
		}
	}
	m.Logger.Info().Int("shards", len(first.Groups)).Msg("First groups read from the stream.")
	return effects
}

// openFirstReplica creates the replica of a member of a shard's first group.
func (m *Manager) openFirstReplica(shard structs.ShardNumber, group Group) {
	r := m.open(shard, voteState{}, group)
	r.post(func() {
		if r.log.base == 0 && r.log.baseGroup == nil && generation(r.voteState.epoch) == 0 {
			r.log.baseGroup = group
			r.log.findGroup()
		}
		r.publish()
		r.scheduleElection()
	})
}

// memberChanged checks whether there are enough daemons for the first groups.
func (g *registry) memberChanged() {
	g.mutex.Lock()
	waiting := !g.hasGroups
	g.mutex.Unlock()
	if waiting {
		g.read()
	}
}

// Shares of the listed daemons that must be seen before the first groups are
// written: nearly all at first, half after a wait, and any number in the end.
// Otherwise every shard would be placed on the first few daemons to start, and
// rebalancing takes long.
const (
	genesisShare          = 0.9
	genesisShareAfterWait = 0.5
	genesisAnyWaits       = 6
	genesisShareWaits     = 1
	// genesisListDivisor gives the part of GenesisWait in which a daemon waits
	// for its first read of the machine list: it may be found by others before
	// it knows how many there are.
	genesisListDivisor = 5
)

// enoughForGenesis reports whether the first groups may be written by a daemon
// that sees a number of daemons and has run for some time.
func (m *Manager) enoughForGenesis(seen int, running time.Duration) bool {
	m.mutex.Lock()
	listed, listKnown := float64(len(m.machineList.listed)), m.machineList.wasRead()
	m.mutex.Unlock()
	switch {
	case !listKnown && running < m.Settings.GenesisWait/genesisListDivisor:
		return false
	case running >= genesisAnyWaits*m.Settings.GenesisWait:
		return true
	case running >= genesisShareWaits*m.Settings.GenesisWait:
		return float64(seen) >= genesisShareAfterWait*listed
	default:
		return seen >= m.Settings.MinimumDaemons && float64(seen) >= genesisShare*listed
	}
}

// firstGroups returns the first groups once it is this daemon's turn to write
// them: enough others are seen, or it has waited long enough.
func (g *registry) firstGroups() (*genesis, bool) {
	m := g.manager
	daemons := m.candidates()
	now := m.Clock.Now()
	if !g.caughtUp || len(daemons) == 0 || !m.enoughForGenesis(len(daemons), now.Sub(g.startedAt)) {
		g.genesisAt = time.Time{}
		return nil, false
	}
	if g.genesisAt.IsZero() {
		rank := max(indexOf(daemons, m.Self.ID), 0)
		g.genesisAt = now.Add(time.Duration(rank) * m.Settings.GenesisStagger)
	}
	if now.Before(g.genesisAt) {
		return nil, false
	}
	return m.genesisOf(daemons), true
}

// genesisOf chooses the first group of each shard among daemons.
func (m *Manager) genesisOf(daemons []structs.Daemon) *genesis {
	first := &genesis{Daemons: daemons}
	for shard := range structs.ShardNumber(m.Settings.Shards) {
		var indexes []int
		for _, chosen := range chooseGroup(shard, daemons, m.Settings.GroupSize) {
			indexes = append(indexes, indexOf(daemons, chosen.ID))
		}
		first.Groups = append(first.Groups, indexes)
	}
	return first
}

// indexOf returns the index of a daemon in a list, -1 if it is not there.
func indexOf(daemons []structs.Daemon, id structs.DaemonID) int {
	return slices.IndexFunc(daemons, func(daemon structs.Daemon) bool { return daemon.ID == id })
}
