package ledger

import (
	"testing"
	"testing/synctest"
)

// TestClientOnlyDaemonHoldsNoShard: text of turns restricted to a region must not reach
// a daemon elsewhere, even if it is asked to take a shard, to read one ahead or to keep a
// turn.
func TestClientOnlyDaemonHoldsNoShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "first", Program: "p"})
		holder, other := f.service(f.holderOf("p")), f.other("p")
		other.ClientOnly = true
		shard := holder.shardOf("p")
		failed := holder.known.get(shard).Epoch
		for name, request := range map[string]Request{
			"take":    {Take: true, FailedEpoch: failed},
			"prepare": {Prepare: true},
			"begin":   {Begin: &Turn{ID: "second", Program: "p"}, FailedEpoch: failed},
			"end":     {End: &Outcome{Turn: "first", Program: "p", Kept: &KeptTurn{ID: "first", Input: []byte("in")}}, FailedEpoch: failed},
			"find":    {Find: &Find{Turn: "first"}, FailedEpoch: failed},
		} {
			request.Shard = shard
			if got := holder.askOne(testContext(t), other.Self, request).Result; got != resultMoved {
				t.Errorf("%s: got %q, want %q", name, got, resultMoved)
			}
		}
		if f.holderOf("p") != holder.Self || other.holders[shard].status.holding.Load() {
			t.Error("the shard moved to a client-only daemon")
		}
		complete(t, other, "p", "third", "") // it can still send requests
	})
}
