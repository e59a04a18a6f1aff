package ledger

import "sync"

// holderTable is what a daemon knows of who holds each shard.
type holderTable struct {
	mutex   sync.Mutex
	holders []holderRecord
}

func newHolderTable(shards int) *holderTable {
	return &holderTable{holders: make([]holderRecord, shards)}
}

func (t *holderTable) get(shard int) holderRecord {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.holders[shard]
}

// note takes news of a holder, if it is not older than what is known.
func (t *holderTable) note(shard int, holder holderRecord) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if holder.Daemon != "" && holder.Epoch >= t.holders[shard].Epoch {
		t.holders[shard] = holder
	}
}

// forget drops who holds a shard; the epoch stays, so that older news is not
// taken up again.
func (t *holderTable) forget(shard int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.holders[shard].Daemon = ""
}

// fleet is what a holder asks of membership.
type fleet interface {
	// isAlive tells whether a daemon lives, as far as is known.
	isAlive(daemon string) bool
	// preferred returns the daemon that should hold a shard.
	preferred(shard int) string
}
