package poison

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// What the store does not take is told to other daemons.

const (
	// maxNotified is the most daemons that a daemon tells of a send that the store does not take,
	// and keepers the number of them that store it, too.
	maxNotified = 128
	keepers     = 2
)

// tell tells other daemons of an end or an answer that the store has not taken.
func (g *Guard) tell(key sendKey, send Send) {
	record, err := send.record(key)
	if err != nil {
		g.logUnencodable(key, err)
		return
	}
	g.Metrics.told.Inc()
	others := g.others()
	for number, to := range others[:min(len(others), maxNotified)] {
		g.Teller.Tell(to, Partition(), []store.Record{record}, number < keepers)
	}
	g.Logger.Info().Str("content", string(key.content())).Str("state", string(send.State)).Int("daemons", len(others)).
		Msg("Other daemons are told of a suspected content. The store has not taken that.")
}

// others returns the other daemons, those that follow this one in the order of their IDs first.
func (g *Guard) others() []structs.DaemonID {
	var before, after []structs.DaemonID
	for _, member := range g.View.Members() {
		switch id := member.Daemon.ID; {
		case id > g.Self:
			after = append(after, id)
		case id < g.Self:
			before = append(before, id)
		}
	}
	return append(after, before...)
}

// ReceiveTold handles sends that another daemon tells of, as the store has not taken them. With keep,
// this daemon stores them, too.
func (g *Guard) ReceiveTold(records []store.Record, keep bool) {
	now := time.Now()
	for _, record := range records {
		key, send, err := parseSend(record)
		if err != nil || send.State == StateReserved {
			g.Logger.Warn().Err(err).Str("key", record.Key).Msg("Send of a suspected content skipped, as told by another daemon. It is malformed.")
			continue
		}
		g.table.put(key, send, notLogged, now)
		if keep {
			g.writer.append(store.Record{Key: record.Key, Value: record.Value})
		}
		if send.State == StateEnded {
			g.reportIfAnswered([]Digest{key.content()})
		}
	}
}
