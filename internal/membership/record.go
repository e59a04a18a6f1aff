package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// status is the state in an update about a run. It is finer than State: a run
// that left will never come back.
type status string

const (
	statusAlive   status = ""
	statusLeaving status = "l"
	statusSuspect status = "s"
	statusDead    status = "d"
	statusLeft    status = "x"
)

// rank orders statuses at the same refutation: the worse status wins, and only
// the run itself can improve it, by a higher refutation.
func (s status) rank() int {
	switch s {
	case statusAlive:
		return 0
	case statusLeaving:
		return 1
	case statusSuspect:
		return 2
	case statusDead:
		return 3
	case statusLeft:
		return 4
	default:
		return -1
	}
}

// record is the latest known run at one address. Runs with a lower incarnation
// are dead.
type record struct {
	daemon     structs.Daemon
	address    string
	run        uint64
	status     status
	refutation uint64
	// leaving stays set while a leaving run is suspected.
	leaving bool
	// position is the position on the ring.
	position uint64
	// answeredAt is when the latest answered probe was sent.
	answeredAt time.Time
	diedAt     time.Time
	// suspectedAt is when it was last suspected.
	suspectedAt time.Time
	// suspicion runs while the run is suspected.
	suspicion clock.Timer
}

func newRecord(update Update) *record {
	return &record{
		daemon: structs.Daemon{
			ID:          structs.NewDaemonID(update.Address, update.Run),
			Zone:        update.Zone,
			Region:      update.Region,
			HTTPAddress: update.HTTPAddress,
			Capacity:    update.Capacity,
		},
		address:    update.Address,
		run:        update.Run,
		status:     update.Status,
		refutation: update.Refutation,
		leaving:    update.Status == statusLeaving,
		position:   xxhash.Sum64String(update.Address),
	}
}

// isGone reports whether the run is dead or left.
func (r *record) isGone() bool { return r.status == statusDead || r.status == statusLeft }

// isStale reports whether an update contains nothing new.
func (r *record) isStale(update Update) bool {
	if update.Run != r.run {
		return update.Run < r.run
	}
	if r.status == statusLeft {
		return true
	}
	if update.Status == statusLeft {
		return false
	}
	if update.Refutation != r.refutation {
		return update.Refutation < r.refutation
	}
	return update.Status.rank() <= r.status.rank()
}

// state returns the State that other packages see.
func (r *record) state() State {
	switch {
	case r.isGone():
		return StateDead
	case r.leaving:
		return StateLeaving
	case r.status == statusSuspect:
		return StateSuspect
	default:
		return StateAlive
	}
}

// update returns the record as an update.
func (r *record) update() Update {
	update := Update{Address: r.address, Run: r.run, Status: r.status, Refutation: r.refutation}
	if !r.isGone() {
		update.Zone = r.daemon.Zone
		update.Region = r.daemon.Region
		update.HTTPAddress = r.daemon.HTTPAddress
		update.Capacity = r.daemon.Capacity
	}
	return update
}

// shortUpdate returns the update for daemons that know the run: without its
// zone, region, address and capacity, which never change.
func (r *record) shortUpdate() Update {
	return Update{Address: r.address, Run: r.run, Status: r.status, Refutation: r.refutation}
}

// isFailureReport reports whether an update is of a suspicion or a death.
func (u Update) isFailureReport() bool { return u.Status == statusSuspect || u.Status == statusDead }

// isComplete reports whether an update is sufficient for a run that is not
// known. The announcement of a new run always is.
func (u Update) isComplete() bool {
	announced := u.Status == statusAlive && u.Refutation == 0
	return announced || u.Zone != "" || u.Region != "" || u.HTTPAddress != ""
}

// bucketCount is the number of parts by which tables are compared.
const bucketCount = 64

func (r *record) bucket() int { return int(r.position % bucketCount) }

// digest returns the run's part of the table's digest: 0 when it is gone.
// Suspicions and refutations are left out, since they are temporary.
func (r *record) digest() uint64 {
	if r.isGone() {
		return 0
	}
	sum := xxhash.New()
	_, _ = sum.WriteString(string(r.daemon.ID))
	if r.leaving {
		_, _ = sum.WriteString("leaving")
	}
	return sum.Sum64() & digestMask
}

// digestMask keeps digests short on the wire. Two different tables have the same
// digest with a probability of one in a billion.
const digestMask = 1<<30 - 1
