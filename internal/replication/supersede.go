package replication

import "github.com/mintpulley/mintpulley/internal/structs"

// observe takes up an epoch heard of. A higher one ends this replica's
// leadership or candidacy. A higher generation means that a claim in the
// platform's log puts one daemon's log in the group's place. Others may read it
// before this daemon does, and the claim may be its own: the log is kept, and
// takes part in nothing, until the stream or a leader tells whose log counts.
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

// resetAfterClaim empties a replica whose shard was claimed by another, as a leader of
// the new generation or the stream shows. What it held beyond the claimant's
// log was never acknowledged to be kept, or was lost with the majority; the
// leader sends the whole state anew.
func (r *replica) resetAfterClaim() {
	if !r.claimantUnknown {
		return
	}
	r.claimantUnknown = false
	if r.log.last() > 0 {
		r.logger.Warn().Uint64("last", uint64(r.log.last())).Msg("Replica emptied. The shard was claimed by another.")
	}
	r.log = newEntryLog(0, 0, nil)
	r.machine.Discard()
	r.machine = r.Application.NewStateMachine(r.shard)
	r.commit, r.applied = 0, 0
	r.incoming = nil
	r.publish()
}
