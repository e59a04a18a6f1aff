package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// holderTable holds the last known holder of each shard.
type holderTable struct {
	mutex   sync.Mutex
	holders []knownHolder
}

// knownHolder is a holder, and when this daemon learned of its claim: earlier failures do
// not count against it.
type knownHolder struct {
	holderRecord
	learnedAt time.Time
	// released: the holder of that epoch gave the shard up, for Daemon to claim.
	released bool
}

// isSameClaim reports whether both refer to the same claim, released in both or in neither.
func (k knownHolder) isSameClaim(other knownHolder) bool {
	return k.holderRecord == other.holderRecord && k.released == other.released
}

func newHolderTable(shards int) *holderTable {
	return &holderTable{holders: make([]knownHolder, shards)}
}

func (t *holderTable) get(shard int) knownHolder {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.holders[shard]
}

// note records a holder unless a later claim is known.
func (t *holderTable) note(shard int, holder holderRecord) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := &t.holders[shard]
	if holder.Daemon == "" || holder.Epoch < known.Epoch || known.released && holder.Epoch == known.Epoch {
		return
	}
	if holder.Epoch > known.Epoch {
		known.learnedAt = time.Now()
		known.released = false
	}
	known.holderRecord = holder
}

// noteAnswer records the holder that an answer names.
func (t *holderTable) noteAnswer(shard int, response Response) {
	if response.Released {
		t.noteReleased(shard, response.Epoch, response.Holder)
		return
	}
	t.note(shard, holderRecord{Epoch: response.Epoch, Daemon: response.Holder})
}

// noteReleased records that the holder of an epoch gave the shard up for another daemon to
// claim.
func (t *holderTable) noteReleased(shard int, epoch uint64, successor string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := &t.holders[shard]
	if epoch < known.Epoch || known.released && epoch == known.Epoch {
		return
	}
	*known = knownHolder{
		holderRecord: holderRecord{Epoch: epoch, Daemon: successor},
		learnedAt:    time.Now(),
		released:     true,
	}
}

// isComplete reports whether a holder of each shard is known.
func (t *holderTable) isComplete() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !slices.ContainsFunc(t.holders, func(h knownHolder) bool { return h.Daemon == "" })
}

// forget drops the holder of a shard. The epoch stays, so that older information is not
// accepted again.
func (t *holderTable) forget(shard int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.holders[shard].Daemon = ""
	t.holders[shard].released = false
}

// fleet is a holder's view of the other daemons.
type fleet interface {
	// mayBeAlive reports whether a daemon is alive, as far as is known.
	mayBeAlive(daemon string) bool
	// preferredHolder returns the daemon that should hold a shard if the excepted ones
	// cannot.
	preferredHolder(shard int, except ...structs.DaemonID) string
	// confirmWait returns how much longer than the read of the directory to wait for the
	// answer of a holder that may be alive although it is believed to be dead.
	confirmWait(daemon string) time.Duration
	// mayHandOver reports whether a daemon that stays may now hand a shard of a given size
	// over to a successor.
	mayHandOver(successor string, shardBytes int) bool
	// askOne sends a request to one daemon and waits for its answer.
	askOne(ctx context.Context, to structs.DaemonID, request Request) Response
}
