package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// A small request waits behind a larger one that does not fit, and the queue is bounded,
// too.
func TestRecordMemoryIsGrantedInOrderWithinItsLimit(t *testing.T) {
	const limit = 10
	synctest.Test(t, func(t *testing.T) {
		room := &recordMemory{}
		var granted []int64
		ask := func(ctx context.Context, bytes int64) {
			go func() {
				if room.acquire(ctx, bytes, limit) == nil {
					granted = append(granted, bytes)
				}
			}()
			synctest.Wait()
		}
		expect := func(want ...int64) {
			t.Helper()
			synctest.Wait()
			if !slices.Equal(granted, want) {
				t.Fatalf("granted %v, want %v", granted, want)
			}
		}
		leaving, leave := context.WithCancel(t.Context())
		ask(t.Context(), 8)
		ask(t.Context(), 30) // larger than the limit
		expect(8)
		if room.acquire(t.Context(), 1, limit) != errRecordMemoryFull {
			t.Error("the queue exceeds its limit")
		}
		room.release(8, limit)
		expect(8, 30)
		ask(t.Context(), 7)
		if !room.isNearlyFull(limit) {
			t.Error("not nearly full although turns are waiting")
		}
		room.release(30, limit)
		ask(leaving, 5)
		ask(t.Context(), 1)
		expect(8, 30, 7) // the last would fit, but waits for the one before it
		leave()
		expect(8, 30, 7, 1)
		room.release(7, limit)
		room.release(1, limit)
		if room.held != 0 || room.queued != 0 || room.isNearlyFull(limit) {
			t.Errorf("%d bytes are held and %d queued at the end", room.held, room.queued)
		}
	})
}
