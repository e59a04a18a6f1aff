package replication

import "github.com/mintpulley/mintpulley/internal/structs"

// observe handles an epoch seen in a message or the stream. A higher one ends
// this replica's leadership or candidacy. A higher generation means that a
// claim in the platform's log replaces the group's logs by that of one daemon.
// Others may read the claim before this daemon does, and it may be this daemon's
// own: so the replica keeps its log, but has no vote, until the stream or a
// leader shows who claimed the shard.
func (r *replica) observe(epoch structs.Epoch) {
	if epoch <= r.voteState.epoch {
		return
	}
	if r.leaderState != nil && r.Guards.AcceptStaleEpoch {
		return
	}
	r.stopLeading()
	r.candidacy = nil
	claimed := generation(epoch) > generation(r.voteState.epoch)
	r.voteState = voteState{epoch: epoch}
	r.leader = ""
	if claimed {
		r.claimantUnknown = true
		r.registry.schedule(0)
	}
	r.publish()
}

// resetAfterClaim empties a replica whose shard was claimed by another daemon,
// as a leader of the new generation or the stream shows. Entries beyond the
// claimant's log were never acknowledged, or were lost with the majority; the
// leader sends the whole state again.
func (r *replica) resetAfterClaim() {
	if !r.claimantUnknown {
		return
	}
	r.claimantUnknown = false
	if r.log.last() > 0 {
		r.logger.Warn().Uint64("last", uint64(r.log.last())).Msg("Replica emptied. The shard was claimed by another daemon.")
	}
	r.log = newEntryLog(0, 0, nil)
	r.machine.Discard()
	r.machine = r.Application.NewStateMachine(r.shard)
	r.commit, r.applied = 0, 0
	r.incoming = nil
	r.publish()
}
