package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

func TestRefreshEndsThePauseBetweenReads(t *testing.T) {
	const pause = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		partition := store.Partition{Space: "x"}
		refresh := make(chan struct{}, 1)
		var asOf time.Time
		var updates []store.Update
		w := store.Watcher{
			Store: s, Partition: partition, Refresh: refresh,
			Settings:       store.WatchSettings{Wait: time.Second, AnswerTimeout: time.Second, Pause: pause},
			OnUpdate:       func(update store.Update) { updates = append(updates, update) },
			OnRead:         func(at time.Time) { asOf = at },
			OnConnectivity: func(error) {},
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go w.Run(ctx)
		time.Sleep(pause / 2) // the pause after the first listing
		written := []store.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}, {Key: "a"}}
		if err := s.Append(ctx, partition, store.Writer{}, written); err != nil {
			t.Fatal(err)
		}
		updates = nil
		refresh <- struct{}{}
		synctest.Wait()
		if time.Since(asOf) != 0 {
			t.Errorf("the records are current as of %v ago, want as of the refresh", time.Since(asOf))
		}
		want := []store.Update{{
			Records:  []store.Record{{Key: "b", Value: []byte("2"), Offset: 1}, {Key: "a", Offset: 2}},
			Replaced: []store.Record{{Key: "a", Value: []byte("1")}},
		}}
		if diff := cmp.Diff(want, updates); diff != "" {
			t.Errorf("updates (-want +got):\n%s", diff)
		}
	})
}
