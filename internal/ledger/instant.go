package ledger

import (
	"sync/atomic"
	"time"
)

// instant is a time that several goroutines read and set. It keeps the monotonic clock
// reading, so changes of the wall clock have no effect. The zero value is unset.
type instant struct{ at atomic.Pointer[time.Time] }

func (i *instant) set(at time.Time) { i.at.Store(&at) }

func (i *instant) clear() { i.at.Store(nil) }

// since returns the time elapsed until now; false if the instant is unset.
func (i *instant) since(now time.Time) (time.Duration, bool) {
	at := i.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}
