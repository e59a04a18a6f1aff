package fanout

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// avoidDuration is how long a neighbour that did not deliver is not asked. It must exceed the time
// that the membership protocol takes to detect that a daemon died (1.4 s), and the time of two reads.
const avoidDuration = 3 * time.Second

// neighbours tracks which neighbours can be asked. It is safe for concurrent use.
type neighbours struct {
	mutex sync.Mutex
	// avoided are the neighbours that failed to deliver recently.
	avoided peer.Avoided
	// current is the neighbour that was asked last, "" for the store.
	current structs.DaemonID
}

// usable returns the members that are alive and did not fail recently, and always this daemon.
func (s *neighbours) usable(members []membership.Member, self structs.DaemonID, now time.Time) []membership.Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	usable := make([]membership.Member, 0, len(members))
	for _, member := range members {
		id := member.Daemon.ID
		if id == self || member.State == membership.StateAlive && !s.avoided.Has(id, now) {
			usable = append(usable, member)
		}
	}
	return usable
}

// avoid excludes a neighbour for avoidDuration.
func (s *neighbours) avoid(neighbour structs.DaemonID, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoided.Add(neighbour, now, avoidDuration)
}

// logChange logs when another neighbour is asked than before.
func (s *neighbours) logChange(neighbour structs.DaemonID, partition store.Partition, logger *zerolog.Logger) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if neighbour == s.current {
		return
	}
	s.current = neighbour
	if neighbour == "" {
		logger.Info().Str("space", partition.Space).Msg("Records are read from the store.")
		return
	}
	logger.Info().Str("space", partition.Space).Str("from", string(neighbour)).Msg("Records are fetched from a neighbour.")
}
