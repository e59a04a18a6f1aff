package ledger

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// DefaultDiscoveryTimeout suits a fleet whose daemons hear of each other within
// some probes.
const DefaultDiscoveryTimeout = 800 * time.Millisecond

// View is what the ledger sees of membership.
type View interface {
	membership.View
	// Lookup returns the latest run that was heard of at an address; false if none
	// was.
	Lookup(address string) (membership.Member, bool)
}

// Options give a Service what it works with.
type Options struct {
	// Name tells the ledger apart from others in messages, "" for that of all daemons.
	Name      string
	Self      structs.DaemonID
	Store     store.Store
	Transport peer.Transport
	View      View
	// Connectivity tells when the store answers again; nil if nothing does.
	Connectivity store.Connectivity
	// Partitions names every shard's partition, the same in the whole fleet.
	Partitions []store.Partition
	// Directory is the partition that tells who holds each shard.
	Directory store.Partition
	// DiscoveryTimeout is how long a daemon that started waits for news of the
	// others before it asks for, or takes, any shard, unless the directory names a
	// holder of each: it would take them all.
	DiscoveryTimeout time.Duration
	// Admission decides how long a turn waits to begin; nil for one of its own.
	Admission *admission.Controller
	// ExpectedDaemons returns how many daemons are on record, this one included, 0 if
	// that is not known: one that heard of most of them settles early.
	ExpectedDaemons func() int
	// Confirmations are of the routes, which daemons tell each other along with what
	// they say of tenants' limits; nil if there are none.
	Confirmations RouteConfirmations
	// Evacuations are which zones the operators evacuated, which daemons tell each
	// other along with all answers; nil if that is no matter.
	Evacuations Evacuations
	// StoreReadBytes is how many bytes the store reads in a second for the whole fleet;
	// 0 if that is not known: then nothing is paced by it.
	StoreReadBytes float64
	// StoreBytes is how many bytes the store keeps at most for the whole fleet; 0 if that is
	// not known: then nothing is refused to spare it, until it refuses an append itself.
	StoreBytes float64
	// ClientOnly: the daemon holds no shard, whoever asks it to.
	ClientOnly bool
	// Machine is the steady clock of the machine that the daemon runs on.
	Machine MachineClock
	// Quota are the terms on which the holder of a tenant's shard owns its limit.
	Quota   quota.Tolerance
	Logger  zerolog.Logger
	Metrics *Metrics
}
