package scenario

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// jointLosses draws faults as the random courses do, without their bound on the
// zones that may be troubled at once. What it spares is the last copy: a daemon
// is killed whenever another member of each of its groups has all that it has.
func jointLosses() *Scenario {
	s := randomScenario()
	s.Name = "joint_losses"
	s.Summary = "Faults drawn from the seed; daemons of all zones die together, but for the last holder of a shard."
	s.Faults = func(r *Run) {
		r.spareHolders = true
		drawFaults(r)
		for at := 3 * time.Second; at < 40*time.Second; at += 3 * time.Second {
			r.After(at, func() { r.Crash(r.anyDaemon(), r.lasting()) })
		}
	}
	return s
}

// replicaState is what one live daemon holds of a shard.
type replicaState struct {
	daemon *cluster.Daemon
	replication.ShardStatus
}

// sparesLast tells whether every shard of a daemon would keep, without it, a
// member with all that the daemon has committed. It reads the daemons' own word
// to choose faults; the checker does not.
func (r *Run) sparesLast(lost *cluster.Daemon) bool {
	replicas := map[structs.ShardNumber][]replicaState{}
	for _, d := range r.Cluster.Live() {
		for _, status := range d.Node.Replication.Status() {
			replicas[status.Shard] = append(replicas[status.Shard], replicaState{d, status})
		}
	}
	for _, own := range lost.Node.Replication.Status() {
		if !outlives(own, lost, replicas[own.Shard]) {
			return false
		}
	}
	return true
}

// outlives tells whether a shard outlives one of its replicas. While a group has
// no majority it may not: a claim may be in the stream that gives the shard to
// the daemon that is about to die, and every other copy gives way to that.
func outlives(own replication.ShardStatus, lost *cluster.Daemon, replicas []replicaState) bool {
	kept := false
	for _, other := range replicas {
		if other.NoMajority || other.Leader == "" {
			return false
		}
		member := other.daemon != lost && !other.daemon.Stopping && other.Group.Contains(other.daemon.ID)
		kept = kept || (member && holdsAll(other.ShardStatus, own))
	}
	return kept
}

// holdsAll tells whether a log has every entry that another has committed: it
// ends in a later epoch, or in the same and not before.
func holdsAll(log, other replication.ShardStatus) bool {
	if log.LastEpoch != other.LastEpoch {
		return log.LastEpoch > other.LastEpoch
	}
	return log.Last >= other.Commit
}
