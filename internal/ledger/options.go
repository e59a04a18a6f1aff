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

// DefaultDiscoveryTimeout suits a fleet whose daemons discover each other within some
// probes.
const DefaultDiscoveryTimeout = 800 * time.Millisecond

// View is the ledger's view of membership.
type View interface {
	membership.View
	// Lookup returns the latest known incarnation at an address; false if there is none.
	Lookup(address string) (membership.Member, bool)
}

// Options are the settings and dependencies of a Service.
type Options struct {
	// Name distinguishes the ledger from others in messages, "" for the ledger of all
	// daemons.
	Name      string
	Self      structs.DaemonID
	Store     store.Store
	Transport peer.Transport
	View      View
	// Connectivity signals when the store answers again; nil if nothing does.
	Connectivity store.Connectivity
	// Partitions contains the partition of each shard, the same in the whole fleet.
	Partitions []store.Partition
	// Directory is the partition that names the holder of each shard.
	Directory store.Partition
	// DiscoveryTimeout is how long a daemon that started waits to discover the others
	// before it asks for or takes any shard, unless the directory names a holder of each.
	// Without it, the daemon would take all shards.
	DiscoveryTimeout time.Duration
	// Admission decides how long a turn waits to begin; nil for a separate one.
	Admission *admission.Controller
	// ExpectedDaemons returns the number of daemons on record, including this one, 0 if it
	// is not known. A daemon that discovered most of them stops waiting early.
	ExpectedDaemons func() int
	// Confirmations track how recently the routes were known to be the newest. Daemons
	// exchange them with verdicts on tenants' limits; nil if there are none.
	Confirmations RouteConfirmations
	// Evacuations track the zones that the operators evacuated. Daemons exchange them with
	// all answers; nil if there are none.
	Evacuations Evacuations
	// StoreReadBytes is the number of bytes per second that the store can read for the
	// whole fleet; 0 if it is not known, in which case planned handovers are not paced.
	StoreReadBytes float64
	// StoreBytes is the number of bytes that the store keeps at most for the whole fleet; 0
	// if it is not known, in which case nothing is refused before the store itself refuses
	// an append.
	StoreBytes float64
	// StoreBounds are what the store takes in one append.
	StoreBounds store.Bounds
	// ClientOnly: the daemon never holds a shard, even if asked to.
	ClientOnly bool
	// Machine is the monotonic clock of the machine that the daemon runs on.
	Machine MachineClock
	// Quota is the tolerance with which the holder of a tenant's shard enforces the
	// tenant's limit.
	Quota   quota.Tolerance
	Logger  zerolog.Logger
	Metrics *Metrics
}
