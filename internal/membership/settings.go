package membership

import (
	"math"
	"time"
)

// Settings holds the intervals and limits of failure detection. All durations
// are for a fleet of up to SmallFleet daemons; see Scaled.
type Settings struct {
	// ProbeInterval is the delay between probes of the ring successor.
	ProbeInterval time.Duration
	// FarProbeEvery is after how many probes a farther neighbour is probed too.
	FarProbeEvery int
	// IndirectAfter is the time after which others are asked to probe a daemon
	// that has not answered.
	IndirectAfter time.Duration
	// AckTimeout is the time after which a daemon that has not answered is
	// suspected. It must exceed the longest round trip that counts as healthy.
	AckTimeout time.Duration
	// SuspicionTimeout is how long a suspected daemon may refute the suspicion.
	// It must exceed the time for the update to reach it and its refutation to
	// reach all.
	SuspicionTimeout time.Duration
	// IndirectProbes is how many others are asked to probe.
	IndirectProbes int
	// PauseThreshold is how late a timer may fire before this daemon assumes
	// that it was paused.
	PauseThreshold time.Duration

	// UpdatesPerMessage limits the updates that one message carries.
	UpdatesPerMessage int
	// BacklogThreshold is the number of queued updates beyond which messages
	// carry BacklogUpdates instead.
	BacklogThreshold int
	BacklogUpdates   int
	// RetransmitFactor times log2(fleet) is how often an update is sent.
	RetransmitFactor int
	// PushFanout is the number of neighbours that urgent updates are pushed to
	// at once in fleets beyond maxDirectPushFleet; within it, all members.
	PushFanout int
	// PushDelay batches urgent updates into one message.
	PushDelay time.Duration
	// PushBytesPerSecond and PushBurst limit the bytes of pushed updates.
	PushBytesPerSecond int
	PushBurst          int

	// FirstJoinTime is how long after its start a daemon asks FirstJoinFanout
	// others at a time, every FirstJoinInterval. It is for fleets that, after a
	// loss of all daemons, serve no calls until these know each other; 0 turns
	// it off.
	FirstJoinTime     time.Duration
	FirstJoinInterval time.Duration
	FirstJoinFanout   int
	// JoinInterval is the delay between attempts to find others while alone.
	JoinInterval time.Duration
	// ReconnectInterval is the delay between attempts to reach a daemon that is
	// dead but listed, or was known: it detects the end of partitions.
	ReconnectInterval time.Duration
	// SyncAfter is how long another daemon's table may differ from this one's
	// before it is requested.
	SyncAfter time.Duration
	// SyncInterval is the shortest delay between syncs of tables.
	SyncInterval time.Duration
	// SyncBytesPerSecond and SyncBurst limit the bytes of tables sent in
	// replies. Scaled lets SyncBurst grow with the fleet: after a loss of all
	// daemons each sends as many records as it needs, and some twice.
	SyncBytesPerSecond int
	SyncBurst          int
	// SyncRecords limits the records in a reply to a daemon that already has a
	// table. Scaled lets it grow with the fleet, so that a table is complete
	// after a number of replies that does not.
	SyncRecords int
	// VerifyPerSecond limits the probes of daemons about which tables differ.
	VerifyPerSecond int

	// HealDuration is how long, after a daemon learns that a partition has
	// ended, others' tables are merged and others' failure reports are ignored.
	// It must cover the spread of the report through the fleet and the syncs
	// that follow. HealCooldown is the shortest time from the start of one such
	// period to the next.
	HealDuration time.Duration
	HealCooldown time.Duration

	// TombstoneRetention is how long a dead daemon that is not on the
	// platform's list is remembered.
	TombstoneRetention time.Duration
	// TombstoneLimit limits how many dead daemons are remembered.
	TombstoneLimit int
}

// SmallFleet is the number of daemons up to which the settings apply unscaled.
const SmallFleet = 9

// DefaultSettings returns settings for small fleets: a crash is detected within
// ProbeInterval + AckTimeout + SuspicionTimeout = 1.4 s, and a round trip with
// 200 ms of jitter each way raises no suspicion.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:      300 * time.Millisecond,
		FarProbeEvery:      4,
		IndirectAfter:      200 * time.Millisecond,
		AckTimeout:         450 * time.Millisecond,
		SuspicionTimeout:   650 * time.Millisecond,
		IndirectProbes:     2,
		PauseThreshold:     250 * time.Millisecond,
		UpdatesPerMessage:  4,
		BacklogThreshold:   16,
		BacklogUpdates:     8,
		RetransmitFactor:   2,
		PushFanout:         3,
		PushDelay:          10 * time.Millisecond,
		PushBytesPerSecond: 300,
		PushBurst:          4 << 10,
		JoinInterval:       300 * time.Millisecond,
		ReconnectInterval:  2 * time.Second,
		SyncAfter:          2 * time.Second,
		SyncInterval:       4 * time.Second,
		SyncBytesPerSecond: 300,
		SyncBurst:          96 << 10,
		SyncRecords:        48,
		VerifyPerSecond:    6,
		HealDuration:       600 * time.Millisecond,
		HealCooldown:       time.Second,
		TombstoneRetention: time.Hour,
		TombstoneLimit:     1024,
	}
}

// Scaled returns the settings for a fleet of some size. Probe and waiting times
// grow with the logarithm of the size, which keeps bytes per daemon level while
// updates take more hops; timeouts of single round trips grow only with the
// square root of that factor.
func (s Settings) Scaled(fleet int) Settings {
	if fleet <= SmallFleet {
		return s
	}
	factor := math.Log2(float64(fleet)) / math.Log2(SmallFleet)
	s.ProbeInterval = scale(s.ProbeInterval, factor)
	s.SuspicionTimeout = scale(s.SuspicionTimeout, factor)
	s.AckTimeout = scale(s.AckTimeout, math.Sqrt(factor))
	s.IndirectAfter = scale(s.IndirectAfter, math.Sqrt(factor))
	s.ReconnectInterval = scale(s.ReconnectInterval, factor*factor)
	s.HealDuration = scale(s.HealDuration, factor*factor)
	s.HealCooldown = scale(s.HealCooldown, factor*factor)
	s.SyncAfter = scale(s.SyncAfter, factor)
	s.SyncInterval = scale(s.SyncInterval, factor)
	s.SyncBurst = max(s.SyncBurst, burstTables*fleet*recordSize)
	s.SyncRecords = max(s.SyncRecords, fleet/tableReplies)
	return s
}

const (
	// burstTables is how many whole tables SyncBurst covers in a large fleet.
	burstTables = 3
	// tableReplies is the number of replies that hold a whole table in a large
	// fleet.
	tableReplies = 4
)

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// retransmits returns how often one update is sent in a fleet of some size.
func (s Settings) retransmits(fleet int) int {
	return s.RetransmitFactor * int(math.Ceil(math.Log2(float64(fleet+1))))
}
