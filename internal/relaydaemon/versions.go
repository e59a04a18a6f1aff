package relaydaemon

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/versionrecord"
)

// versionWriters is the number of daemons that write the record of software versions: those with the lowest
// IDs, of which some may be out of reach of the store.
const versionWriters = 3

// joinVersions creates the keeper of the record of back ends' software versions.
func (d *Daemon) joinVersions() {
	d.versions = versionrecord.New(versionrecord.Options{
		Store:    d.store,
		Listed:   d.pool.Versions,
		IsWriter: d.isVersionWriter,
		KeepFor:  d.versionTime,
		Logger:   componentLogger(d.logger, "versions"),
	})
}

// isVersionWriter reports whether this daemon is one of those that write the record. One that does not know
// the others or has no complete list of back ends yet is none.
func (d *Daemon) isVersionWriter() bool {
	if !d.ledger.DiscoveryDone() || !d.pool.HasList() || d.pool.MayBeIncomplete() {
		return false
	}
	lower := 0
	for _, member := range d.membership.Members() {
		if member.Daemon.ID < d.membership.Self.ID {
			lower++
		}
	}
	return lower < versionWriters
}

// versionTime returns for how long after its last back end has left a version may have begun streams that are
// still resumed.
func (d *Daemon) versionTime() time.Duration {
	table := d.table.Load()
	if table == nil {
		return relay.SoleTime(0)
	}
	return relay.SoleTime(table.LongestTimeout())
}
