package scenario

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// jointLosses returns a scenario with random faults that may affect all zones
// at once. It only protects the last copy of a shard: a daemon is crashed if
// another member of each of its groups has all that it has committed.
func jointLosses() *Scenario {
	s := randomScenario()
	s.Name = "joint_losses"
	s.Summary = "Faults drawn from the seed; daemons of all zones crash together, except the last replica of a shard."
	s.Faults = func(r *Run) {
		r.keepLastReplica = true
		scheduleRandomFaults(r)
		for at := 3 * time.Second; at < 40*time.Second; at += 3 * time.Second {
			r.After(at, func() { r.Crash(r.anyDaemon(), r.randomDuration()) })
		}
	}
	return s
}

// replicaState is the state of a shard at one live daemon.
type replicaState struct {
	daemon *cluster.Daemon
	replication.ShardStatus
}

// keepsReplicas reports whether every shard of a daemon would keep, without it,
// a member with everything the daemon has committed. It reads the daemons' own
// state, but only to choose faults; the checker does not use it.
func (r *Run) keepsReplicas(lost *cluster.Daemon) bool {
	replicas := map[structs.ShardNumber][]replicaState{}
	for _, d := range r.Cluster.Live() {
		for _, status := range d.Node.Replication.Status() {
			replicas[status.Shard] = append(replicas[status.Shard], replicaState{d, status})
		}
	}
	for _, own := range lost.Node.Replication.Status() {
		if !survivesLoss(own, lost, replicas[own.Shard]) {
			return false
		}
	}
	return true
}

// survivesLoss reports whether a shard survives the loss of one of its
// replicas. It reports false while a replica has no majority or knows no leader:
// the stream may contain a claim that gives the shard to the lost daemon, after
// which the other replicas would drop their state.
func survivesLoss(own replication.ShardStatus, lost *cluster.Daemon, replicas []replicaState) bool {
	survives := false
	for _, other := range replicas {
		if other.NoMajority || other.Leader == "" {
			return false
		}
		member := other.daemon != lost && !other.daemon.Stopping && other.Group.Contains(other.daemon.ID)
		survives = survives || (member && hasAllCommitted(other.ShardStatus, own))
	}
	return survives
}

// hasAllCommitted reports whether a log has every entry that another has
// committed: its last epoch is later, or it is the same and the log is at least
// as long as the committed part of the other.
func hasAllCommitted(log, other replication.ShardStatus) bool {
	if log.LastEpoch != other.LastEpoch {
		return log.LastEpoch > other.LastEpoch
	}
	return log.Last >= other.Commit
}
