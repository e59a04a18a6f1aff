package ledger

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Shards move back to the daemons that should hold them one after the other, as each move
// reads a whole shard from the store that all daemons share. Each daemon spaces its own
// planned handovers so that the whole fleet keeps within a part of the store's capacity,
// without coordination. A daemon that stops hands its shards over at once.

const (
	// handoverShare is the part of the store's read capacity available to planned handovers
	// of daemons that stay. Shards that wait to move back are served where they are.
	handoverShare = 0.1
	// encodedShare is the number of bytes that the store sends per byte of a listed value.
	encodedShare = 4.0 / 3
	// heldBackAfter is how long after a daemon last asked for a handover it counts as held back.
	heldBackAfter = 2 * rankInterval
)

// handoverPacer spaces the planned handovers of one daemon. It is safe for concurrent use;
// the zero value is ready.
type handoverPacer struct {
	mutex sync.Mutex
	// nextAt is when the next handover may begin.
	nextAt time.Time
	// askedAt is when a handover was last asked for; zero if never.
	askedAt time.Time
}

// handoverInterval returns the mean interval between a daemon's planned handovers at which
// all daemons together read at most handoverShare of the store's read capacity; 0 if that
// is not known.
func handoverInterval(daemons, shardBytes int, readBytes float64) time.Duration {
	if readBytes <= 0 {
		return 0
	}
	seconds := float64(daemons) * encodedShare * float64(shardBytes) / (handoverShare * readBytes)
	return time.Duration(seconds * float64(time.Second))
}

// allow reports whether a handover may begin now. Daemons that start to hand shards over at
// the same moment begin at times spread over the interval, also if their handovers were held back
// until then, as the successors were away; chance returns a number in [0, 1).
func (p *handoverPacer) allow(now time.Time, interval time.Duration, chance func() float64) bool {
	if interval <= 0 {
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wasHeldBack := now.Sub(p.askedAt) > heldBackAfter
	p.askedAt = now
	if wasHeldBack {
		p.postpone(now.Add(time.Duration(chance() * float64(interval))))
	}
	if now.Before(p.nextAt) {
		return false
	}
	p.nextAt = p.nextAt.Add(interval)
	return true
}

// postpone lets no handover begin before a time.
func (p *handoverPacer) postpone(until time.Time) {
	if until.After(p.nextAt) {
		p.nextAt = until
	}
}

// mayHandOver implements fleet.
func (s *Service) mayHandOver(successor string, shardBytes int) bool {
	if !s.isolation.isSteady(structs.DaemonID(successor), time.Now()) {
		return false
	}
	interval := handoverInterval(len(s.View.Members()), shardBytes, s.StoreReadBytes)
	return s.pacer.allow(time.Now(), interval, rand.Float64)
}
