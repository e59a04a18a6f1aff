package submit

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const leader structs.DaemonID = "10.0.0.1:7000#1"

// harness fakes the clock, router and transport of a submitter with one shard, and
// records what was sent.
type harness struct {
	clock *clock.Virtual
	route replication.Route
	sent  []peer.Message
}

func (w *harness) Send(_ structs.DaemonID, message peer.Message) { w.sent = append(w.sent, message) }

func (w *harness) Shard(structs.ProgramKey) structs.ShardNumber { return 0 }

func (w *harness) Route(structs.ShardNumber) replication.Route { return w.route }

func (w *harness) Learn(_ structs.ShardNumber, route replication.Route) { w.route = route }

func (w *harness) Alive(daemon structs.DaemonID) bool { return daemon == w.route.Leader }

// fakeCaller records the outcome.
type fakeCaller struct{ outcome *structs.Outcome }

func (c *fakeCaller) Chunks([]structs.Chunk) {}

func (c *fakeCaller) Outcome(outcome structs.Outcome) { c.outcome = &outcome }

func newHarness() (*harness, *Submitter) {
	w := &harness{clock: clock.NewVirtual(time.Unix(1_800_000_000, 0))}
	return w, New(w.clock, w, w, DefaultSettings())
}

func (w *harness) run(d time.Duration) { w.clock.RunUntil(w.clock.Now().Add(d)) }

func TestDeadlineEndsTheWaitForALeader(t *testing.T) {
	for _, retry := range []bool{false, true} {
		w, submitter := newHarness()
		var waiting fakeCaller
		submitter.Submit(structs.Call{Retry: retry, Deadline: w.clock.Now().Add(time.Second)}, &waiting)
		w.run(2 * time.Second)
		want := structs.OutcomeNotRun
		if retry {
			want = structs.OutcomeUnknown
		}
		if waiting.outcome == nil || waiting.outcome.Status != want {
			t.Fatalf("retry %v: outcome %+v", retry, waiting.outcome)
		}
		if waiting.outcome.RetryAfter != DefaultSettings().LeaderRetryAfter {
			t.Errorf("retry %v: retry after %s", retry, waiting.outcome.RetryAfter)
		}
	}
}

func TestQueryAfterTheDeadlineWaitsForTheLeader(t *testing.T) {
	w, submitter := newHarness()
	var asking fakeCaller
	submitter.Submit(structs.Call{Retry: true, Deadline: w.clock.Now().Add(-time.Second)}, &asking)
	w.run(time.Second)
	if asking.outcome != nil {
		t.Fatalf("gave up at once: %+v", asking.outcome)
	}
	w.route = replication.Route{Leader: leader, Epoch: 2}
	w.run(200 * time.Millisecond)
	submit, sent := w.sent[len(w.sent)-1].(*dispatch.Submit)
	if !sent {
		t.Fatal("the call was not sent to the leader")
	}
	done := structs.Outcome{Status: structs.OutcomeCompleted}
	submitter.Receive(leader, &dispatch.Settled{Submission: submit.Submission, Outcome: done})
	if asking.outcome == nil || asking.outcome.Status != structs.OutcomeCompleted {
		t.Errorf("outcome %+v", asking.outcome)
	}
}
