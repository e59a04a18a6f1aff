package ledger

import (
	"sync/atomic"
	"time"
)

// instant is a moment that several goroutines read and set. It keeps the steady
// clock's reading, so that a step of the time of day changes nothing. The zero
// value is no moment.
type instant struct{ at atomic.Pointer[time.Time] }

func (i *instant) set(at time.Time) { i.at.Store(&at) }

func (i *instant) clear() { i.at.Store(nil) }

// since returns the time that has passed from the moment to now; false if there is
// none.
func (i *instant) since(now time.Time) (time.Duration, bool) {
	at := i.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}
