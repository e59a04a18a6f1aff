package submit

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// attachCount counts the queries whether the leader still has the call.
func (w *harness) attachCount() int {
	count := 0
	for _, message := range w.sent {
		if _, attach := message.(*dispatch.Attach); attach {
			count++
		}
	}
	return count
}

// TestLeaderIsQueriedOnceSilentForKeepAlive guards against queries during a stream,
// and against a late one after it.
func TestLeaderIsQueriedOnceSilentForKeepAlive(t *testing.T) {
	w, submitter := newHarness()
	w.route = replication.Route{Leader: leader, Epoch: 1}
	submission := submitter.Submit(structs.Call{RequestID: "r"}, &fakeCaller{})
	const piece = 300 * time.Millisecond
	for i := range 10 {
		submitter.Receive(leader, &dispatch.Answer{
			Submission: submission.id,
			Chunks:     []structs.Chunk{{Offset: int64(i), Text: "~"}},
		})
		w.run(piece)
	}
	keepAlive := DefaultSettings().KeepAliveInterval
	w.run(keepAlive - piece - time.Millisecond)
	if got := w.attachCount(); got != 0 {
		t.Errorf("queried %d times before the leader was silent for %s", got, keepAlive)
	}
	w.run(time.Millisecond)
	if got := w.attachCount(); got != 1 {
		t.Errorf("queried %d times after %s of silence, want 1", got, keepAlive)
	}
}
