package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// holderTable is what a daemon knows of who holds each shard.
type holderTable struct {
	mutex   sync.Mutex
	holders []knownHolder
}

// knownHolder is a holder and when this daemon heard of its claim: bad news
// from before does not hold against it.
type knownHolder struct {
	holderRecord
	learnedAt time.Time
	// released: the holder of that epoch gave the shard up, for Daemon to claim.
	released bool
}

// isSameClaim tells whether two states of knowledge are of the same claim, given up
// in both or in neither.
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

// note takes news of a holder, if it is not older than what is known.
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

// noteAnswer takes what an answer tells of who holds a shard.
func (t *holderTable) noteAnswer(shard int, response Response) {
	if response.Released {
		t.noteReleased(shard, response.Epoch, response.Holder)
		return
	}
	t.note(shard, holderRecord{Epoch: response.Epoch, Daemon: response.Holder})
}

// noteReleased takes news that the holder of an epoch gave the shard up for
// another daemon to claim.
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

// isComplete tells whether a holder of each shard is known.
func (t *holderTable) isComplete() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !slices.ContainsFunc(t.holders, func(h knownHolder) bool { return h.Daemon == "" })
}

// forget drops who holds a shard; the epoch stays, so that older news is not
// taken up again.
func (t *holderTable) forget(shard int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.holders[shard].Daemon = ""
	t.holders[shard].released = false
}

// fleet is what a holder asks of membership.
type fleet interface {
	// mayLive tells whether a daemon lives, as far as is known.
	mayLive(daemon string) bool
	// preferred returns the daemon that should hold a shard if some cannot.
	preferred(shard int, except ...structs.DaemonID) string
	// confirmWait returns how much longer than a directory's reading the answer of a
	// holder is waited for that may live in spite of what is believed.
	confirmWait(daemon string) time.Duration
	// mayHandOver tells whether a shard of some bytes may be passed on to a successor now
	// by a daemon that stays.
	mayHandOver(successor string, shardBytes int) bool
	// askOne sends a request to one daemon and waits for its answer.
	askOne(ctx context.Context, to structs.DaemonID, request Request) Response
}
