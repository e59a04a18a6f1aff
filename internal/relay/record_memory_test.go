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
		memory := &recordMemory{}
		var granted []int64
		ask := func(ctx context.Context, bytes int64) {
			go func() {
				if memory.acquire(ctx, bytes, limit) == nil {
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
		if memory.acquire(t.Context(), 1, limit) != errRecordMemoryFull {
			t.Error("the queue exceeds its limit")
		}
		memory.release(8, limit)
		expect(8, 30)
		ask(t.Context(), 7)
		if !memory.isNearlyFull(limit) {
			t.Error("not nearly full although turns are waiting")
		}
		memory.release(30, limit)
		ask(leaving, 5)
		ask(t.Context(), 1)
		expect(8, 30, 7) // the last would fit, but waits for the one before it
		leave()
		expect(8, 30, 7, 1)
		memory.release(7, limit)
		memory.release(1, limit)
		if memory.held != 0 || memory.queued != 0 || memory.isNearlyFull(limit) {
			t.Errorf("%d bytes are held and %d queued at the end", memory.held, memory.queued)
		}
	})
}
