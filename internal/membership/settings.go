package membership

import (
	"math"
	"time"
)

// Settings give the pauses and bounds of failure detection. All times are for
// a fleet of up to SmallFleet daemons; see Scaled.
type Settings struct {
	// ProbeInterval is the pause between probes of the ring successor.
	ProbeInterval time.Duration
	// FarProbeEvery is after how many probes a farther neighbour is probed too.
	FarProbeEvery int
	// IndirectAfter is when others are asked to probe a daemon that has not
	// answered.
	IndirectAfter time.Duration
	// AckTimeout is when a daemon that has not answered is suspected. It
	// must exceed the longest round trip that counts as healthy.
	AckTimeout time.Duration
	// SuspicionTimeout is how long a suspected daemon has to refute. It must
	// exceed the time for the update to reach it and its answer to reach all.
	SuspicionTimeout time.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// PauseThreshold is how late a timer may fire before this daemon takes
	// itself to have been paused.
	PauseThreshold time.Duration

	// UpdatesPerMessage bounds the updates that one message carries.
	UpdatesPerMessage int
	// BacklogThreshold is the number of updates to pass on beyond which messages carry
	// BacklogUpdates instead.
	BacklogThreshold int
	BacklogUpdates   int
	// RetransmitFactor times log2(fleet) is how often an update is sent.
	RetransmitFactor int
	// PushFanout is to how many neighbours urgent updates are pushed at once in
	// fleets beyond SmallFleet; within it, all.
	PushFanout int
	// PushDelay batches urgent updates into one message.
	PushDelay time.Duration
	// PushBytesPerSecond and PushBurst bound the bytes of pushed updates.
	PushBytesPerSecond int
	PushBurst          int

	// FirstJoinTime is how long after its start a daemon asks FirstJoinFanout
	// others at a time, every FirstJoinInterval: for fleets that serve nobody
	// after a loss of all daemons until these know of each other. 0 for never.
	FirstJoinTime     time.Duration
	FirstJoinInterval time.Duration
	FirstJoinFanout   int
	// JoinInterval is the pause between tries to find others while alone.
	JoinInterval time.Duration
	// ReconnectInterval is the pause between tries to reach a daemon that is
	// dead but listed, or was known: it heals partitions.
	ReconnectInterval time.Duration
	// SyncAfter is how long another daemon's table may differ from this one's
	// before it is read.
	SyncAfter time.Duration
	// SyncInterval is the shortest pause between readings of tables.
	SyncInterval time.Duration
	// SyncBytesPerSecond and SyncBurst bound the bytes of tables handed out.
	SyncBytesPerSecond int
	SyncBurst          int
	// SyncRecords bounds the records handed out at once to a daemon that has a
	// table already.
	SyncRecords int
	// VerifyPerSecond bounds the probes of daemons about which tables differ.
	VerifyPerSecond int

	// HealDuration is how long, from when a daemon learns that a cut has ended, others'
	// tables are taken over and bad news by hearsay is not: news of the end cross 74
	// daemons in 0.3 s, and a reading or two follow. HealCooldown is the shortest time from
	// one such time's begin to the next.
	HealDuration time.Duration
	HealCooldown time.Duration

	// TombstoneRetention is how long a dead daemon that is not on the platform's
	// list is remembered.
	TombstoneRetention time.Duration
	// TombstoneLimit bounds how many dead daemons are remembered.
	TombstoneLimit int
}

// SmallFleet is the number of daemons up to which the settings hold unscaled.
const SmallFleet = 9

// DefaultSettings returns settings for small fleets: a crash is noticed
// within ProbeInterval + AckTimeout + SuspicionTimeout = 1.4 s, and a round
// trip with 200 ms of jitter each way raises no suspicion.
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

// Scaled returns the settings for a fleet of some size. Probes and waiting
// grow with the logarithm of the size, which keeps bytes per daemon level
// while updates take more hops; timeouts of single round trips grow with its
// square root only.
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
	return s
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// retransmits is how often one update is sent in a fleet of some size.
func (s Settings) retransmits(fleet int) int {
	return s.RetransmitFactor * int(math.Ceil(math.Log2(float64(fleet+1))))
}
