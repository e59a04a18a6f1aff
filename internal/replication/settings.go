package replication

import "time"

// Settings bound sizes, waits and rates. All durations are positive.
type Settings struct {
	// Shards is the fixed number of shards, the same in the whole fleet.
	Shards int
	// GroupSize is how many daemons hold a shard.
	GroupSize int
	// MinimumDaemons is how many daemons must be seen before the first groups
	// are written to the platform's log; after GenesisWait fewer will do.
	MinimumDaemons int
	GenesisWait    time.Duration
	// GenesisStagger separates the tries of several daemons, by rank.
	GenesisStagger time.Duration
	// LogInterval is the pause between readings of the groups' stream.
	LogInterval time.Duration
	// ElectionStagger separates the candidacies of a group's members, by rank.
	ElectionStagger time.Duration
	// ElectionRetry is the first pause after a candidacy that failed; it
	// doubles up to MaxElectionRetry.
	ElectionRetry    time.Duration
	MaxElectionRetry time.Duration
	// RetryInterval is how long an append waits for its answer before it is
	// sent again, or twice the round trip if that is longer; it doubles up to
	// MaxRetryInterval.
	RetryInterval    time.Duration
	MaxRetryInterval time.Duration
	// AcknowledgeTimeout is how long an acknowledgement waits for live members
	// beyond the majority.
	AcknowledgeTimeout time.Duration
	// StepDownAfter is how long a leader goes on without a majority.
	StepDownAfter time.Duration
	// NoMajorityAfter is how long a group is without a majority before calls
	// are refused instead of kept waiting.
	NoMajorityAfter time.Duration
	// PlanInterval is the pause between looks at groups that wait for something.
	PlanInterval time.Duration
	// ReplaceAfter is how long a member is dead or stalled before it is replaced.
	ReplaceAfter time.Duration
	// ChangeTimeout bounds one change of a group.
	ChangeTimeout time.Duration
	// MaximumChanges bounds the changes under way that one daemon leads.
	MaximumChanges int
	// RebalanceInterval is the pause between moves that only spread the load.
	RebalanceInterval time.Duration
	// AuditInterval is the pause between a daemon's questions whether its
	// replicas still agree with their groups.
	AuditInterval time.Duration
	// RouteRequestInterval bounds how often the holders of a shard are asked for its leader.
	RouteRequestInterval time.Duration
	// ClaimGrace is how long the machine list must not have listed the lost
	// members before a survivor claims the shard.
	ClaimGrace time.Duration
	// HandOverTimeout bounds a planned stop's wait for its replacement where the
	// groups keep their majority without it.
	HandOverTimeout time.Duration
	// AppendBytes bounds the entries of one message, and MaxInFlightMessages the
	// messages to one member that wait for their answer.
	AppendBytes         int
	MaxInFlightMessages int
	// LogBytes is how much of the applied log a replica keeps for members
	// that lag behind.
	LogBytes int
	// SnapshotChunkBytes bounds a piece of a snapshot, and MaximumTransfers the
	// snapshots that one daemon sends at a time.
	SnapshotChunkBytes int
	MaximumTransfers   int
	// ArchivedShards is how many shards, from 0 on, have an archive in the
	// platform's log; 0 keeps none.
	ArchivedShards int
	// ArchiveInterval is the pause between looks for what is not archived yet,
	// ArchiveRate the bytes a second that one daemon writes at most, and
	// MaxArchivedSnapshotBytes the largest snapshot, in bytes, that is archived.
	ArchiveInterval          time.Duration
	ArchiveRate              int
	MaxArchivedSnapshotBytes int
}

// DefaultSettings returns settings for the sizes of the brief.
func DefaultSettings() Settings {
	return Settings{
		Shards:                   64,
		GroupSize:                3,
		MinimumDaemons:           3,
		GenesisWait:              5 * time.Second,
		GenesisStagger:           500 * time.Millisecond,
		LogInterval:              2 * time.Second,
		ElectionStagger:          150 * time.Millisecond,
		ElectionRetry:            200 * time.Millisecond,
		MaxElectionRetry:         3 * time.Second,
		RetryInterval:            100 * time.Millisecond,
		MaxRetryInterval:         2 * time.Second,
		AcknowledgeTimeout:       500 * time.Millisecond,
		StepDownAfter:            4 * time.Second,
		NoMajorityAfter:          2 * time.Second,
		PlanInterval:             500 * time.Millisecond,
		ReplaceAfter:             5 * time.Second,
		ChangeTimeout:            30 * time.Second,
		MaximumChanges:           8,
		RebalanceInterval:        5 * time.Second,
		AuditInterval:            3 * time.Second,
		RouteRequestInterval:     200 * time.Millisecond,
		ClaimGrace:               5 * time.Second,
		HandOverTimeout:          8 * time.Second,
		AppendBytes:              256 << 10,
		MaxInFlightMessages:      32,
		LogBytes:                 256 << 10,
		SnapshotChunkBytes:       128 << 10,
		MaximumTransfers:         4,
		ArchiveInterval:          5 * time.Second,
		ArchiveRate:              128 << 10,
		MaxArchivedSnapshotBytes: 64 << 20,
	}
}

// Guards lets a simulation switch off one protection at a time, to show that
// its checker notices. The zero value has every guard on.
type Guards struct {
	// CommitAlone acknowledges a record before any other member holds it.
	CommitAlone bool
	// AcceptStaleEpoch lets a leader go on that has been superseded.
	AcceptStaleEpoch bool
}
