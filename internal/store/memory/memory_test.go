package memory

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/store"
)

func TestWriterIsFencedAndRepeatsAreDoneOnce(t *testing.T) {
	s := New()
	ctx := context.Background()
	p := store.Partition{Space: "x"}
	writer := store.Writer{Name: "w", Epoch: 2, Sequence: 1}
	record := []store.Record{{Key: "k", Value: []byte("v")}}
	for range 2 {
		if err := s.Append(ctx, p, writer, record); err != nil {
			t.Fatal(err)
		}
	}
	if _, end, _ := store.Newest(ctx, s, p); end != 1 {
		t.Errorf("%d records, want the repeat done once", end)
	}
	if err := s.Append(ctx, p, store.Writer{Name: "w", Epoch: 2, Sequence: 3}, record); !errors.Is(err, store.ErrSequence) {
		t.Errorf("a gap: got %v", err)
	}
	if err := s.Append(ctx, p, store.Writer{Name: "w", Epoch: 3, Sequence: 9}, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(ctx, p, store.Writer{Name: "w", Epoch: 2, Sequence: 2}, record); !errors.Is(err, store.ErrFenced) {
		t.Errorf("an earlier epoch: got %v", err)
	}
}

func TestWatcherFollowsAndSurvivesAnOutage(t *testing.T) {
	s := New()
	ctx, cancel := context.WithCancel(context.Background())
	p := store.Partition{Space: "x"}
	changes := make(chan map[string]string, 100)
	connectivity := make(chan error, 100)
	done := make(chan struct{})
	watcher := store.Watcher{
		Store: s, Partition: p,
		Settings: store.WatchSettings{Wait: 20 * time.Millisecond, AnswerTimeout: time.Second, RetryInterval: time.Millisecond},
		OnChange: func(records map[string]store.Record) {
			values := map[string]string{}
			for key, record := range records {
				values[key] = string(record.Value)
			}
			changes <- values
		},
		OnConnectivity: func(err error) { connectivity <- err },
	}
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	expect := func(want map[string]string) {
		t.Helper()
		if diff := cmp.Diff(want, <-changes); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}
	expect(map[string]string{})
	put := func(key, value string) {
		t.Helper()
		if err := s.Append(ctx, p, store.Writer{}, []store.Record{{Key: key, Value: []byte(value)}}); err != nil {
			t.Fatal(err)
		}
	}
	put("a", "1")
	expect(map[string]string{"a": "1"})
	s.SetDown(true)
	if err := <-connectivity; err == nil {
		t.Error("the outage was not reported")
	}
	s.SetDown(false)
	if err := <-connectivity; err != nil {
		t.Errorf("the end of the outage was not reported: %v", err)
	}
	put("a", "")
	expect(map[string]string{})
	cancel()
	<-done
}
