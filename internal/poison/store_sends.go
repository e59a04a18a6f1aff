package poison

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// store queues a send to be stored, in one append with further records.
func (g *Guard) store(key sendKey, send Send, further ...store.Record) *write {
	record, err := send.record(key)
	if err != nil {
		g.logUnencodable(key, err)
		return g.writer.append(further...)
	}
	return g.writer.append(append([]store.Record{record}, further...)...)
}

// storeOrTell waits until the store has taken a send. If that takes long, it tells other daemons and
// returns false.
func (g *Guard) storeOrTell(stored *write, key sendKey, send Send) bool {
	timer := time.NewTimer(tellAfter)
	defer timer.Stop()
	select {
	case <-stored.taken:
		return true
	case <-stored.failed:
	case <-timer.C:
	}
	g.tell(key, send)
	return false
}

func (g *Guard) logUnencodable(key sendKey, err error) {
	g.Logger.Error().Err(err).Str("key", string(key)).Msg("Send of a suspected content not stored.")
}
