package store_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

// TestMeterLogsWindowsWithManyBytesOrFailures checks that calls are counted by purpose, and that a
// window is logged only if much was read in it or a call failed.
func TestMeterLogsWindowsWithManyBytesOrFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		registry := prometheus.NewRegistry()
		memory := memory.New()
		meter := store.NewMeter(memory, registry, zerolog.New(&log))
		partition := store.Partition{Space: "s"}
		ctx := store.WithPurpose(context.Background(), store.PurposeShard)
		read := func() {
			if _, _, err := store.Newest(ctx, meter, partition); err != nil && !strings.Contains(err.Error(), "unavailable") {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
		read()
		read()
		if log.Len() > 0 {
			t.Errorf("a window with few bytes is logged: %s", log.String())
		}
		if err := meter.Append(context.Background(), partition, store.Writer{}, []store.Record{{Key: "k", Value: make([]byte, 300<<10)}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		read()
		read()
		if got := strings.Count(log.String(), "\"shard\":[1,0,0,0,307201]"); got != 1 {
			t.Errorf("a window with many bytes is logged %d times, want once: %s", got, log.String())
		}
		memory.SetDown(true)
		read()
		log.Reset()
		read()
		if !strings.Contains(log.String(), "\"shard\":[0,1,0,0,0]") {
			t.Errorf("a failed call is not logged: %s", log.String())
		}
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, family := range families {
			if got := len(family.GetMetric()); family.GetName() == "mintpulley_store_purpose_calls_total" && got != 3 {
				t.Errorf("%d label combinations of calls, want 3: shard answered and refused, other answered", got)
			}
		}
	})
}
