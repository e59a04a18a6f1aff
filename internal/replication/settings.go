package replication

import "time"

// Settings holds the sizes, delays and rates of replication. All durations must
// be positive.
type Settings struct {
	// Shards is the fixed number of shards, the same in the whole fleet.
	Shards int
	// GroupSize is the number of daemons that hold a shard.
	GroupSize int
	// MinimumDaemons is how many daemons must be seen before the first groups
	// are written to the platform's log; after GenesisWait fewer suffice.
	MinimumDaemons int
	GenesisWait    time.Duration
	// GenesisStagger is the delay per rank between the daemons' attempts to
	// write the first groups.
	GenesisStagger time.Duration
	// LogInterval is the delay between reads of the groups' stream.
	LogInterval time.Duration
	// ElectionStagger is the delay per rank between the candidacies of a
	// group's members.
	ElectionStagger time.Duration
	// ElectionRetry is the first delay after a failed candidacy; it doubles up
	// to MaxElectionRetry.
	ElectionRetry    time.Duration
	MaxElectionRetry time.Duration
	// RetryInterval is how long an append request waits for its reply before it
	// is sent again, or twice the round trip if that is longer; it doubles up
	// to MaxRetryInterval.
	RetryInterval    time.Duration
	MaxRetryInterval time.Duration
	// AcknowledgeTimeout is how long an acknowledgement waits for live members
	// beyond the majority.
	AcknowledgeTimeout time.Duration
	// StepDownAfter is how long a leader goes on without replies from a
	// majority.
	StepDownAfter time.Duration
	// NoMajorityAfter is how long a group is without a majority before calls
	// are refused instead of kept waiting.
	NoMajorityAfter time.Duration
	// PlanInterval is the delay between checks of groups that need a change.
	PlanInterval time.Duration
	// ReplaceAfter is how long a member is dead or stalled before it is
	// replaced.
	ReplaceAfter time.Duration
	// ChangeTimeout is how long a new member may take to catch up.
	ChangeTimeout time.Duration
	// MaximumChanges limits the concurrent group changes of the shards that one
	// daemon leads.
	MaximumChanges int
	// RebalanceInterval is the delay between moves that only balance load.
	RebalanceInterval time.Duration
	// AuditInterval is the delay between audits, in which a daemon checks
	// whether its replicas agree with their leaders.
	AuditInterval time.Duration
	// RouteRequestInterval is the shortest delay between requests for the
	// leader of one shard.
	RouteRequestInterval time.Duration
	// ClaimGrace is how long the machine list must have lacked the lost members
	// before a survivor claims the shard.
	ClaimGrace time.Duration
	// HandOverTimeout limits how long a planned stop waits for its replacement
	// where the groups keep their majority without it.
	HandOverTimeout time.Duration
	// AppendBytes limits the entries of one message, and MaxInFlightMessages
	// the unanswered messages to one member.
	AppendBytes         int
	MaxInFlightMessages int
	// LogBytes is how much of the applied log a replica keeps for lagging
	// members.
	LogBytes int
	// SnapshotChunkBytes limits one chunk of a snapshot, and MaximumTransfers
	// the snapshots that one daemon sends concurrently.
	SnapshotChunkBytes int
	MaximumTransfers   int
	// ArchivedShards is how many shards, from 0 on, have an archive in the
	// platform's log; 0 keeps none.
	ArchivedShards int
	// ArchiveInterval is the delay between checks for data to archive,
	// ArchiveRate the most bytes a second that one daemon writes, and
	// MaxArchivedSnapshotBytes the largest snapshot that is archived.
	ArchiveInterval          time.Duration
	ArchiveRate              int
	MaxArchivedSnapshotBytes int
}

// DefaultSettings returns the settings for 64 shards in groups of three.
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

// Guards lets a simulation switch off one protection at a time, to verify that
// its checker detects the resulting fault. The zero value has every protection
// on.
type Guards struct {
	// CommitAlone acknowledges a record before any other member holds it.
	CommitAlone bool
	// AcceptStaleEpoch lets a superseded leader go on.
	AcceptStaleEpoch bool
}
