package ledger

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestSuccessorThatBeginsToLeaveTakesWhatItReadAhead: if the successor that has read a
// shard ahead begins to leave before it claims the shard, it is still the only one that can
// serve it at once. Any other daemon would have to read it from its start.
func TestSuccessorThatBeginsToLeaveTakesWhatItReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 1)
		f.fillHistory(t)
		begin(t, f.caller(), Turn{ID: "first", Program: "p"})
		former := f.service(f.holderOf("p"))
		shard := former.shardOf("p")
		f.setReadTime(rollingReadTime)
		successor := f.service(structs.DaemonID(former.preferredHolder(shard, former.Self)))
		prepared := former.askOne(testContext(t), successor.Self, Request{Shard: shard, Prepare: true})
		if prepared.Result != resultOK {
			t.Fatalf("the successor answered %q to the request to read ahead", prepared.Result)
		}
		f.leave(successor.Self)
		time.Sleep(10 * time.Millisecond) // it has begun to leave
		epoch := former.known.get(shard).Epoch
		started := time.Now()
		taken := former.askOne(testContext(t), successor.Self, Request{Shard: shard, Take: true, FailedEpoch: epoch})
		if taken.Result != resultOK || time.Since(started) > longestWithoutHolder {
			t.Errorf("the successor answered %q after %s, want %q within %s", taken.Result, time.Since(started), resultOK, longestWithoutHolder)
		}
		time.Sleep(prepareTimeout + takeTimeout) // it hands the shard over in turn
		if holder := f.holderOf("p"); holder == successor.Self {
			t.Errorf("the shard stays at %s, which leaves", holder)
		}
	})
}

// TestStopWaitsForAShardThatWasReadAhead: the process must not end between its answer that
// the shard was read ahead and the claim that may follow.
func TestStopWaitsForAShardThatWasReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 1)
		f.fillHistory(t)
		begin(t, f.caller(), Turn{ID: "first", Program: "p"})
		former := f.service(f.holderOf("p"))
		shard := former.shardOf("p")
		successor := f.service(structs.DaemonID(former.preferredHolder(shard, former.Self)))
		if got := former.askOne(testContext(t), successor.Self, Request{Shard: shard, Prepare: true}); got.Result != resultOK {
			t.Fatalf("the successor answered %q to the request to read ahead", got.Result)
		}
		f.leave(successor.Self)
		started := time.Now()
		successor.WaitForHandover(testContext(t))
		if waited := time.Since(started); waited < promiseTTL/2 || waited > 2*promiseTTL {
			t.Errorf("waited %s for a claim that may come within %s", waited, promiseTTL)
		}
	})
}

// TestReleaseLearnedByAnotherRequestCounts: two requests of one daemon reach the
// successor before its claim, and only one of them learns of the release first. The other
// must not send a third daemon to take the shard either.
func TestReleaseLearnedByAnotherRequestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5)
		former, successor := daemonID(1, 1), daemonID(2, 1)
		released := Response{Result: resultMoved, Epoch: 100, Holder: string(successor), Released: true}
		transport := &scriptedTransport{delay: time.Millisecond, scripts: map[structs.DaemonID][]Response{
			successor: {
				{Result: resultMoved, Epoch: 100, Holder: string(former)}, {Result: resultMoved, Epoch: 100, Holder: string(former)},
				{Result: resultOK, Epoch: 200, Holder: string(successor)}, {Result: resultOK, Epoch: 200, Holder: string(successor)},
			},
			former: {released, released},
		}}
		s := newScriptedService(t, f, transport)
		s.known.note(0, holderRecord{Epoch: 50, Daemon: string(successor)})
		var requests sync.WaitGroup
		for range 2 {
			requests.Go(func() {
				if response := s.ask(testContext(t), 0, Request{Find: &Find{Turn: "a"}}); response.Result != resultOK {
					t.Errorf("got %q, want %q", response.Result, resultOK)
				}
			})
		}
		requests.Wait()
		for _, asked := range transport.asked {
			if asked != former && asked != successor {
				t.Errorf("%s was asked to take the shard", asked)
			}
		}
	})
}
