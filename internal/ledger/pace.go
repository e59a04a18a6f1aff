package ledger

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Shards move back to the daemons that should hold them one after the other: each move
// reads a whole shard of a store whose reading all daemons share. Each daemon spaces
// its own planned handovers so that those of all together keep within a part of it;
// nobody is asked. A daemon that stops passes its shards on at once.

const (
	// handoverShare is the part of the bytes that the store reads in a second which may go
	// to planned handovers of daemons that stay. Shards that wait to move back are served where they are.
	handoverShare = 0.1
	// encodedShare is how many bytes the store sends for one of a listing's values.
	encodedShare = 4.0 / 3
)

// handoverPacer spaces the planned handovers of one daemon. It is safe for concurrent use;
// the zero value is ready.
type handoverPacer struct {
	mutex sync.Mutex
	// nextAt is when the next handover may begin; zero if none was wanted lately.
	nextAt time.Time
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
func (p *handoverPacer) take(now time.Time, interval time.Duration, chance func() float64) bool {
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
