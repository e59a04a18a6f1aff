package ledger

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestSuccessorThatBeginsToLeaveTakesWhatItReadAhead: the holder gives the shard up
// to a successor that has read it ahead. If that begins to leave in between, it is
// still the only one that can serve the shard at once: any other daemon reads it
// from its start, which takes a second here, and callers wait for two.
func TestSuccessorThatBeginsToLeaveTakesWhatItReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 1)
		f.fillHistory(t)
		begin(t, f.caller(), Turn{ID: "first", Program: "p"})
		former := f.service(f.holderOf("p"))
		shard := former.shardOf("p")
		f.setReadTime(rollingReadTime)
		successor := f.service(structs.DaemonID(former.preferred(shard, former.Self)))
		prepared := former.askOne(testContext(t), successor.Self, Request{Shard: shard, Prepare: true})
		if prepared.Result != resultOK {
			t.Fatalf("the successor says %q to the reading ahead", prepared.Result)
		}
		f.leave(successor.Self)
		time.Sleep(10 * time.Millisecond) // it has begun to leave
		epoch := former.known.get(shard).Epoch
		started := time.Now()
		taken := former.askOne(testContext(t), successor.Self, Request{Shard: shard, Take: true, FailedEpoch: epoch})
		if taken.Result != resultOK || time.Since(started) > longestWithoutHolder {
			t.Errorf("the successor says %q after %s, want %q within %s", taken.Result, time.Since(started), resultOK, longestWithoutHolder)
		}
		time.Sleep(prepareTime + takeTime) // it passes the shard on in its turn
		if holder := f.holderOf("p"); holder == successor.Self {
			t.Errorf("the shard stays at %s, which leaves", holder)
		}
	})
}

// TestStopWaitsForAShardThatWasReadAhead: the process must not end between its
// answer to the reading ahead and the claim that it answered for.
func TestStopWaitsForAShardThatWasReadAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 1)
		f.fillHistory(t)
		begin(t, f.caller(), Turn{ID: "first", Program: "p"})
		former := f.service(f.holderOf("p"))
		shard := former.shardOf("p")
		successor := f.service(structs.DaemonID(former.preferred(shard, former.Self)))
		if got := former.askOne(testContext(t), successor.Self, Request{Shard: shard, Prepare: true}); got.Result != resultOK {
			t.Fatalf("the successor says %q to the reading ahead", got.Result)
		}
		f.leave(successor.Self)
		started := time.Now()
		successor.WaitForHandover(testContext(t))
		if waited := time.Since(started); waited < promiseLife/2 || waited > 2*promiseLife {
			t.Errorf("waited %s for a claim that may come within %s", waited, promiseLife)
		}
	})
}

// TestReleaseThatAnotherRequestHeardOfCounts: two requests of one daemon come to the
// successor before its claim. Only one of them is the first to hear of the release;
// the other must not send a third daemon for the shard either.
func TestReleaseThatAnotherRequestHeardOfCounts(t *testing.T) {
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
