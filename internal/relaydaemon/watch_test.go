package relaydaemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

// hangingStore answers nothing to the readings that are made in a span of time.
type hangingStore struct {
	*memory.Store
	from, until time.Time
	hung        atomic.Int64
}

func (s *hangingStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if now := time.Now(); !now.Before(s.from) && now.Before(s.until) {
		s.hung.Add(1)
		<-ctx.Done()
		return nil, from, store.ErrOutcomeUnknown
	}
	return s.Store.Read(ctx, p, from, wait)
}

// TestLeavingInstanceIsKnownInTimeAlthoughAReadingHangs plays how a request went to an
// instance that had left. What operators saw: an instance was sent a request 2.002 s after the
// store had acknowledged that it leaves, where 2 s are allowed; it did not come again in a
// replay.
//
// The order of events: a reading of the list of instances is on its way when its connection goes
// silent. The instance says that it leaves. The reading counted as late only after its wait of
// two seconds, so a daemon went on with what it believed for 2.15 s, until another daemon was
// asked, or 2.7 s without one.
//
// The cause: how long a daemon is blind was set by how long it let the store wait. Nothing of the
// day is on record but that request; the time agrees, and each moment of the hang shows it here.
func TestLeavingInstanceIsKnownInTimeAlthoughAReadingHangs(t *testing.T) {
	const requestMargin = 100 * time.Millisecond // a request was on its way when the news came
	for offset := time.Duration(0); offset < 3*time.Second; offset += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := &hangingStore{Store: memory.New()}
			s.from = time.Now().Add(5*time.Second + offset)
			s.until = s.from.Add(200 * time.Millisecond)
			var known atomic.Int64
			watcher := store.Watcher{
				Store: s, Partition: store.Partition{Space: "instances"}, Settings: instancesWatch,
				OnChange:  func(records map[string]store.Record) { known.Store(int64(len(records))) },
				OnContact: func(error) {},
			}
			ctx, stop := context.WithCancel(t.Context())
			go watcher.Run(ctx)
			time.Sleep(time.Until(s.until))
			record := store.Record{Key: "i", Value: []byte("leaves")}
			if err := s.Append(ctx, watcher.Partition, store.Writer{}, []store.Record{record}); err != nil {
				t.Fatal(err)
			}
			said := time.Now()
			for known.Load() == 0 && time.Since(said) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(said); took > shortestDrain-requestMargin {
				t.Errorf("hang %s later: known after %s, %d readings hung", offset, took, s.hung.Load())
			}
			stop()
		})
	}
}
