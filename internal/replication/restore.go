package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// restoreRetry is the delay after the archive could not be read.
const restoreRetry = 2 * time.Second

// restore starts a shard of which no holder survived, from its archive. Until
// that is read the shard has no leader and its calls are refused: starting with
// less than the archive holds would lose the rest for good.
func (r *replica) restore(epoch structs.Epoch) {
	if int(r.shard) >= r.Settings.ArchivedShards {
		r.logger.Error().Msg("Shard starts empty. No replica of it survived; its records are lost.")
		r.openEpoch(epoch, Group{r.Self.ID})
		r.watchMajority()
		return
	}
	r.restoring = true
	r.publish()
	r.readArchive(r.shard, func(state *archivedState, err error) {
		r.post(func() { r.restored(epoch, state, err) })
	})
}

// restored opens the epoch with the archived state. It does nothing if a claim
// of a higher generation has superseded this one meanwhile.
func (r *replica) restored(epoch structs.Epoch, state *archivedState, err error) {
	if r.voteState.epoch != epoch {
		r.restoring = false
		return
	}
	if err != nil {
		r.logger.Warn().Err(err).Msg("Archive not readable. The shard has no leader until it is.")
		r.after(restoreRetry, func() { r.restore(epoch) })
		return
	}
	r.restoring = false
	if state != nil && r.log.last() == 0 && !r.installArchived(state) {
		state = nil
	}
	r.logger.Error().Uint64("index", uint64(r.log.last())).Bool("archived", state != nil).
		Msg("Shard restarted without a replica. None survived; records that were not archived are lost.")
	r.advanceCommit(r.log.last())
	recovered := &structs.ShardRecovered{Index: r.log.last()}
	r.openEpoch(epoch, Group{r.Self.ID}, structs.Record{At: r.Clock.Now(), ShardRecovered: recovered})
	r.watchMajority()
}

// installArchived replaces the empty state by an archived one.
func (r *replica) installArchived(state *archivedState) bool {
	machine := r.Application.NewStateMachine(r.shard)
	if err := machine.Restore(state.base.State); err != nil {
		r.logger.Error().Err(err).Msg("Malformed archived snapshot refused.")
		return false
	}
	r.machine.Discard()
	r.machine = machine
	for _, entry := range state.entries {
		r.apply(entry)
	}
	index, epoch := state.last()
	r.log = newEntryLog(index, epoch, Group{r.Self.ID})
	r.commit, r.applied = index, index
	return true
}
