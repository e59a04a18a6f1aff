package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// TestEndOfAnOutageSpreadsWithFewMessagesFromEach checks that all daemons of a large fleet hear of
// the end of an outage soon, although each tells only a few: a daemon that tells all opens a
// connection to each.
func TestEndOfAnOutageSpreadsWithFewMessagesFromEach(t *testing.T) {
	const daemons = 200
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(daemons)
		for _, w := range f.directStores {
			w.set(refused)
		}
		for _, s := range f.services {
			_ = s.Append(timeoutContext(t, time.Second), partition, store.Writer{}, []store.Record{record})
		}
		time.Sleep(time.Second)
		f.mutex.Lock()
		f.sentBy = map[string]int{}
		f.mutex.Unlock()
		for _, w := range f.directStores {
			w.set(noFault)
		}
		var heard []<-chan struct{}
		for _, s := range f.services {
			heard = append(heard, s.Recovered())
		}
		if err := f.services[3].Append(t.Context(), partition, store.Writer{}, []store.Record{record}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		for i := range heard {
			select {
			case <-heard[i]:
			default:
				t.Errorf("daemon %d does not know that the store answers again", i)
			}
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		for id, count := range f.sentBy {
			if count > noticeFanout {
				t.Errorf("%s sent %d messages, want at most %d", id, count, noticeFanout)
			}
		}
	})
}
