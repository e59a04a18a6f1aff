package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// TestRoomForRecordsIsGrantedInOrderWithinItsBound: text that fits waits behind text that
// does not, and what waits for room is bounded, too.
func TestRoomForRecordsIsGrantedInOrderWithinItsBound(t *testing.T) {
	const limit = 10
	synctest.Test(t, func(t *testing.T) {
		room := &recordRoom{}
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
		ask(t.Context(), 30) // alone more than all room
		expect(8)
		if room.acquire(t.Context(), 1, limit) != errTooMuchWaits {
			t.Error("more waits for room than may")
		}
		room.release(8, limit)
		expect(8, 30)
		ask(t.Context(), 7)
		if !room.isCrowded(limit) {
			t.Error("further turns are begun")
		}
		room.release(30, limit)
		ask(leaving, 5)
		ask(t.Context(), 1)
		expect(8, 30, 7) // the last would fit, and waits for the one before it
		leave()
		expect(8, 30, 7, 1)
		room.release(7, limit)
		room.release(1, limit)
		if room.held != 0 || room.queued != 0 || room.isCrowded(limit) {
			t.Errorf("%d bytes are held and %d wait, after all", room.held, room.queued)
		}
	})
}
