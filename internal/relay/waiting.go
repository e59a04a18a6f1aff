package relay

import (
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// crowdedShare is the part of that memory from which no further turns are begun:
// the rest is for those under way, whose answers could only be broken off.
const crowdedShare = 0.5

// errTooMuchWaits: the turns that wait for their record fill the memory that is
// meant for them.
var errTooMuchWaits = eris.New("relay: too much waits for its record")

// waitingBytes counts bytes that wait. The zero value is ready.
type waitingBytes struct{ count atomic.Int64 }

// add counts bytes, unless that goes beyond a limit; 0 is none.
func (w *waitingBytes) add(bytes, limit int64) bool {
	if after := w.count.Add(bytes); limit > 0 && after > limit {
		w.count.Add(-bytes)
		return false
	}
	return true
}

// isCrowded tells whether what waits has come close to a limit; 0 is none.
func (w *waitingBytes) isCrowded(limit int64) bool {
	return limit > 0 && w.count.Load() > int64(crowdedShare*float64(limit))
}

func (w *waitingBytes) remove(bytes int64) { w.count.Add(-bytes) }
