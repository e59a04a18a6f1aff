package replication

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Group is the list of daemons that hold a shard. It is never changed in place.
type Group []structs.DaemonID

// Contains reports whether a daemon is a member.
func (g Group) Contains(daemon structs.DaemonID) bool { return slices.Contains(g, daemon) }

// Majority returns how many members make a majority.
func (g Group) Majority() int { return len(g)/2 + 1 }

// with returns the group with one more member.
func (g Group) with(daemon structs.DaemonID) Group {
	return append(slices.Clone(g), daemon)
}

// without returns the group without one member.
func (g Group) without(daemon structs.DaemonID) Group {
	return slices.DeleteFunc(slices.Clone(g), func(member structs.DaemonID) bool { return member == daemon })
}

// An epoch consists of a generation and a term within it. Elections raise the
// term. A claim in the platform's log, for a group that lost its majority,
// raises the generation and so supersedes every term that the lost members may
// have reached.
const generationShift = 32

// generation returns the generation of an epoch, from 0.
func generation(epoch structs.Epoch) uint64 { return uint64(epoch) >> generationShift }

// firstEpoch returns the first epoch of a generation.
func firstEpoch(generation uint64) structs.Epoch {
	return structs.Epoch(generation<<generationShift + 1)
}

// rendezvousWeight returns a daemon's weight for a shard by rendezvous hashing;
// the highest is preferred. It depends on the address only, so that a restarted
// daemon is placed as before.
func rendezvousWeight(shard structs.ShardNumber, daemon structs.DaemonID) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(shard)))
	_, _ = digest.WriteString(daemon.Address())
	return digest.Sum64()
}

// ranked returns daemons by their rendezvous weight for a shard, the highest
// first.
func ranked(shard structs.ShardNumber, daemons []structs.Daemon) []structs.Daemon {
	type weighed struct {
		daemon structs.Daemon
		weight uint64
	}
	list := make([]weighed, 0, len(daemons))
	for _, daemon := range daemons {
		list = append(list, weighed{daemon, rendezvousWeight(shard, daemon.ID)})
	}
	slices.SortFunc(list, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.daemon.ID, b.daemon.ID))
	})
	result := make([]structs.Daemon, 0, len(list))
	for _, entry := range list {
		result = append(result, entry.daemon)
	}
	return result
}

// chooseGroup chooses the group of a shard: the daemon with the highest
// rendezvous weight, then others of its region in further zones, then other
// regions, then any.
func chooseGroup(shard structs.ShardNumber, daemons []structs.Daemon, size int) []structs.Daemon {
	var chosen []structs.Daemon
	weights := weightsOf(shard, daemons)
	for len(chosen) < size {
		next, found := bestAddition(daemons, weights, chosen)
		if !found {
			break
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// weightsOf returns the rendezvous weight of each daemon for a shard.
func weightsOf(shard structs.ShardNumber, daemons []structs.Daemon) []uint64 {
	weights := make([]uint64, len(daemons))
	for i := range daemons {
		weights[i] = rendezvousWeight(shard, daemons[i].ID)
	}
	return weights
}

// bestAddition returns the daemon with the lowest placement penalty beside
// those chosen, of equals the one with the highest weight. It does not sort,
// since leaders call it over the whole fleet for each misplaced shard.
func bestAddition(daemons []structs.Daemon, weights []uint64, chosen []structs.Daemon) (structs.Daemon, bool) {
	best, bestPenalty := -1, 0
	for i := range daemons {
		daemon := &daemons[i]
		if slices.ContainsFunc(chosen, func(other structs.Daemon) bool { return other.ID == daemon.ID }) {
			continue
		}
		penalty := placementPenalty(daemon, chosen)
		if best < 0 || penalty < bestPenalty || (penalty == bestPenalty && outranks(daemon.ID, weights[i], daemons[best].ID, weights[best])) {
			best, bestPenalty = i, penalty
		}
	}
	if best < 0 {
		return structs.Daemon{}, false
	}
	return daemons[best], true
}

// outranks reports whether a daemon precedes another by weight and identifier.
func outranks(daemon structs.DaemonID, weight uint64, other structs.DaemonID, otherWeight uint64) bool {
	if weight != otherWeight {
		return weight > otherWeight
	}
	return daemon < other
}

// Placement penalties: a shared zone is worse than a far region, and a shared
// machine is worst.
const (
	farRegionPenalty  = 1
	sharedZonePenalty = 10
	sharedHostPenalty = 100
)

func placementPenalty(daemon *structs.Daemon, chosen []structs.Daemon) int {
	penalty := 0
	if len(chosen) > 0 && daemon.Region != chosen[0].Region {
		penalty += farRegionPenalty
	}
	for i := range chosen {
		other := &chosen[i]
		if other.Region == daemon.Region && other.Zone == daemon.Zone {
			penalty += sharedZonePenalty
		}
		if other.ID.Address() == daemon.ID.Address() {
			penalty += sharedHostPenalty
		}
	}
	return penalty
}

// identifiers returns the daemons' identifiers.
func identifiers(daemons []structs.Daemon) Group {
	group := make(Group, 0, len(daemons))
	for _, daemon := range daemons {
		group = append(group, daemon.ID)
	}
	return group
}
