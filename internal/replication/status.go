package replication

import (
	"sync"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// ShardStatus describes one replica of this daemon, for operators.
type ShardStatus struct {
	Shard  structs.ShardNumber `json:"shard"`
	Epoch  structs.Epoch       `json:"epoch"`
	Leader structs.DaemonID    `json:"leader"`
	// Leads is set when this daemon leads the shard.
	Leads bool          `json:"leads"`
	Group Group         `json:"group"`
	Last  structs.Index `json:"last"`
	// LastEpoch is the epoch of the last entry.
	LastEpoch structs.Epoch `json:"last_epoch"`
	Commit    structs.Index `json:"commit"`
	Applied   structs.Index `json:"applied"`
	// LogBytes is the memory that the log takes.
	LogBytes   int  `json:"log_bytes"`
	NoMajority bool `json:"no_majority,omitempty"`
	// Lagging lists the members that acknowledgements do not wait for.
	Lagging Group `json:"lagging,omitempty"`
}

// Summary counts a daemon's replicas by their state.
type Summary struct {
	// Replicas counts the groups that the daemon is a member of, Leads those
	// that it leads.
	Replicas int `json:"replicas"`
	Leads    int `json:"leads"`
	// WithoutMajority counts the groups that have lost their majority.
	WithoutMajority int `json:"without_majority"`
	// Contradictions counts committed entries that conflicted with a leader's.
	// Each is a fault of this program.
	Contradictions int `json:"contradictions"`
}

// Summary returns the counts of this daemon's replicas. It never blocks on a
// shard's queue.
func (m *Manager) Summary() Summary {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	summary := Summary{Contradictions: m.contradictions}
	for _, local := range m.routes.local {
		if !local.member {
			continue
		}
		summary.Replicas++
		if local.leads {
			summary.Leads++
		}
		if local.route.NoMajority {
			summary.WithoutMajority++
		}
	}
	return summary
}

// Status returns the replicas of this daemon, by shard. It must not be called
// from a task of a queue.
func (m *Manager) Status() []ShardStatus {
	var mutex sync.Mutex
	var list []ShardStatus
	for _, r := range m.sortedReplicas() {
		r.queue.Wait(func() {
			mutex.Lock()
			defer mutex.Unlock()
			if !r.dropped {
				list = append(list, r.status())
			}
		})
	}
	return list
}

func (r *replica) status() ShardStatus {
	route := r.route()
	status := ShardStatus{
		Shard:      r.shard,
		Epoch:      r.voteState.epoch,
		Leader:     route.Leader,
		Leads:      r.leaderState != nil,
		Group:      r.log.group,
		Last:       r.log.last(),
		LastEpoch:  r.log.lastEpoch(),
		Commit:     r.commit,
		Applied:    r.applied,
		LogBytes:   r.log.bytes,
		NoMajority: route.NoMajority,
	}
	if r.leaderState != nil {
		for _, id := range r.leaderState.followers() {
			if r.leaderState.progress[id].lagging {
				status.Lagging = append(status.Lagging, id)
			}
		}
	}
	return status
}
