package fanout

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// avoidTime is for how long a neighbour is passed over that brought nothing: two readings, and
// longer than membership takes to notice that it died (1.4 s).
const avoidTime = 3 * time.Second

// sources is what is known of the neighbours that may be asked. It is safe for concurrent use.
type sources struct {
	mutex sync.Mutex
	// avoided neighbours brought nothing.
	avoided peer.Avoided
	// asked is the neighbour that was asked last, "" for the store.
	asked structs.DaemonID
}

// usable lists the members that live and did not fail lately, this daemon among them.
func (s *sources) usable(members []membership.Member, self structs.DaemonID, now time.Time) []membership.Member {
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

// avoid passes a neighbour over for a while.
func (s *sources) avoid(neighbour structs.DaemonID, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoided.Add(neighbour, now, avoidTime)
}

// note logs a change of the neighbour that is asked.
func (s *sources) note(neighbour structs.DaemonID, logger *zerolog.Logger) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if neighbour == s.asked {
		return
	}
	s.asked = neighbour
	if neighbour == "" {
		logger.Info().Msg("Large records are read from the store.")
		return
	}
	logger.Info().Str("from", string(neighbour)).Msg("Large records are asked of a neighbour.")
}
