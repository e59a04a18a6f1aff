package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Shards move back to the daemons that should hold them one after the other: each move
// reads a whole shard of a store whose reading all daemons share. Each daemon spaces
// its own planned handovers so that those of all together keep within a part of it;
// nobody is asked. A daemon that stops passes its shards on at once.

const (
	// handoverShare is the part of the store's reading that planned handovers of daemons
	// that stay may take. Shards that wait to move back are served where they are.
	handoverShare = 0.1
	// encodedShare is how many bytes the store sends for one of a listing's values.
	encodedShare = 4.0 / 3
	// accountBytes is about what the record of an account takes.
	accountBytes = 300
)

// pace spaces the planned handovers of one daemon. It is safe for concurrent use; the
// zero value is ready.
type pace struct {
	mutex sync.Mutex
	// nextAt is when the next handover may begin; zero if none was wanted lately.
	nextAt time.Time
}

// claimSpread is over what time claims are spread that nobody waits for: a turn that only
// has to be settled would have all shards of those that were lost read at once, beside
// those whose callers wait.
const claimSpread = 2 * time.Second

// spreadClaim waits a while before a shard is asked for whose holder is dead.
func (s *Service) spreadClaim(ctx context.Context, shard int) {
	if holder := s.known.get(shard); holder.Daemon != "" && !s.mayLive(holder.Daemon) {
		clock.Sleep(ctx, rand.N(claimSpread))
	}
}

// handoverInterval is how far a daemon's planned handovers are apart on the mean, so
// that daemons read at most handoverShare of what the store reads in a second; 0 if
// that is not known.
func handoverInterval(daemons, shardBytes int, readBytes float64) time.Duration {
	if readBytes <= 0 {
		return 0
	}
	seconds := float64(daemons) * encodedShare * float64(shardBytes) / (handoverShare * readBytes)
	return time.Duration(seconds * float64(time.Second))
}

// take tells whether a handover may begin now. Daemons that want to pass shards on
// since the same moment begin at times spread over the interval; chance is from [0, 1).
func (p *pace) take(now time.Time, interval time.Duration, chance func() float64) bool {
	if interval <= 0 {
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.nextAt.IsZero() || now.Sub(p.nextAt) > interval {
		p.nextAt = now.Add(time.Duration(chance() * float64(interval)))
	}
	if now.Before(p.nextAt) {
		return false
	}
	p.nextAt = p.nextAt.Add(interval)
	return true
}

// mayHandOver implements fleet.
func (s *Service) mayHandOver(successor string, shardBytes int) bool {
	if !s.isolation.isSteady(structs.DaemonID(successor), time.Now()) {
		return false
	}
	interval := handoverInterval(len(s.View.Members()), shardBytes, s.StoreReadBytes)
	return s.pace.take(time.Now(), interval, rand.Float64)
}

// size is about how many bytes the shard's records take in the store.
func (s *state) size() int {
	size := len(s.accounts) * accountBytes
	for _, turn := range s.turns {
		size += len(turn.Input) + len(turn.Output)
	}
	return size
}
