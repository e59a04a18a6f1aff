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

// hangingStore does not answer reads that begin in a span of time.
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

// TestLeavingInstanceIsKnownInTimeWhileAReadHangs guards against requests to an instance that
// has left, because the read which should bring the news hangs on a silent connection. A read hangs
// at each moment of a cycle, and the news must arrive within minInstanceDrain.
func TestLeavingInstanceIsKnownInTimeWhileAReadHangs(t *testing.T) {
	const requestMargin = 100 * time.Millisecond // for a request in flight when the news arrives
	for offset := time.Duration(0); offset < 3*time.Second; offset += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := &hangingStore{Store: memory.New()}
			s.from = time.Now().Add(5*time.Second + offset)
			s.until = s.from.Add(200 * time.Millisecond)
			var known atomic.Int64
			watcher := store.Watcher{
				Store: s, Partition: store.Partition{Space: "instances"}, Settings: instancesWatch,
				OnChange:       func(records map[string]store.Record) { known.Store(int64(len(records))) },
				OnConnectivity: func(error) {},
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
			if took := time.Since(said); took > minInstanceDrain-requestMargin {
				t.Errorf("hang %s later: known after %s, %d reads hung", offset, took, s.hung.Load())
			}
			stop()
		})
	}
}
