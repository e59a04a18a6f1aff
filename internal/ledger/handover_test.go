package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// scriptedTransport answers the requests to each daemon with the next response of its
// script.
type scriptedTransport struct {
	service *Service
	mutex   sync.Mutex
	scripts map[structs.DaemonID][]Response
	asked   []structs.DaemonID
	// delay is how long an answer takes.
	delay time.Duration
}

// Send implements peer.Transport.
func (s *scriptedTransport) Send(to structs.DaemonID, message peer.Message) {
	request := message.(*Request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked = append(s.asked, to)
	script := s.scripts[to]
	if len(script) == 0 {
		return
	}
	s.scripts[to] = script[1:]
	response := script[0]
	response.Number = request.Number
	time.AfterFunc(s.delay, func() { s.service.Receive(to, &response) })
}

// newScriptedService returns the service of a fleet's first daemon, with a scripted
// transport.
func newScriptedService(t *testing.T, f *testFleet, transport *scriptedTransport) *Service {
	s := NewService(Options{
		Self: daemonID(0, 1), Store: f.store, Transport: transport, View: f,
		Partitions: []store.Partition{{Space: "ledger"}}, Directory: store.Partition{Space: "holders"},
		Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	transport.service = s
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go s.Run(ctx)
	return s
}

// TestDaemonThatClaimedSinceItSaidMovedIsAskedAgain: a caller that reaches the successor
// before its claim must neither take the shard from it nor send another daemon to take it.
func TestDaemonThatClaimedSinceItSaidMovedIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5)
		former, successor := daemonID(1, 1), daemonID(2, 1)
		transport := &scriptedTransport{scripts: map[structs.DaemonID][]Response{
			successor: {{Result: resultMoved, Epoch: 100, Holder: string(former)}, {Result: resultOK, Epoch: 200, Holder: string(successor)}},
			former:    {{Result: resultMoved, Epoch: 100, Holder: string(successor), Released: true}},
		}}
		s := newScriptedService(t, f, transport)
		s.known.note(0, holderRecord{Epoch: 50, Daemon: string(successor)})
		if response := s.ask(testContext(t), 0, Request{Find: &Find{Turn: "a"}}); response.Result != resultOK {
			t.Errorf("got %q, want %q", response.Result, resultOK)
		}
		if want := []structs.DaemonID{successor, former, successor}; !slices.Equal(transport.asked, want) {
			t.Errorf("asked %v, want %v", transport.asked, want)
		}
	})
}

// TestLastDaemonsLeaveWithAnAppendUnderWay: without a successor, a leaving daemon completes
// the append and keeps serving.
func TestLastDaemonsLeaveWithAnAppendUnderWay(t *testing.T) {
	for _, daemons := range []int{1, 3} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, daemons)
				begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", Retention: time.Minute})
				begin(t, f.service(daemonID(0, 1)), Turn{ID: "b", Program: "p", Retention: time.Minute})
				f.store.SetDelay(100 * time.Millisecond)
				holder := f.service(f.holderOf("p"))
				ended := make(chan error, 1)
				go func() { ended <- endInTime(holder, "a") }()
				time.Sleep(50 * time.Millisecond)
				for _, id := range f.ids() {
					f.leave(id)
				}
				if err := <-ended; err != nil {
					t.Errorf("the end whose append was under way: %v", err)
				}
				time.Sleep(300 * time.Millisecond)
				if err := endInTime(holder, "b"); err != nil {
					t.Errorf("an end while all daemons leave: %v", err)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// endInTime ends a kept turn of program p within callersPatience.
func endInTime(s *Service, turn string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callersPatience)
	defer cancel()
	return s.End(ctx, Outcome{Turn: turn, Program: "p", Kept: &KeptTurn{ID: turn, Input: []byte("x")}})
}

// TestShardThatCannotBeReadAheadIsOfferedRarely: a holder that stays must not make others
// read megabytes every second.
func TestShardThatCannotBeReadAheadIsOfferedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		holder := f.service(daemonID(0, 1))
		program := ""
		for i := 1; program == ""; i++ { // a program whose shard another daemon should hold
			f.start(daemonID(i, 1))
			if candidate := fmt.Sprint("p-", i); holder.preferredHolder(holder.shardOf(candidate)) != string(holder.Self) {
				program = candidate
			}
		}
		holder.known.note(holder.shardOf(program), holderRecord{Epoch: 1, Daemon: string(holder.Self)})
		begin(t, holder, Turn{ID: "first", Program: program})
		for _, id := range f.ids() {
			f.setDisconnected(id, id != holder.Self)
		}
		for i := range 600 {
			begin(t, holder, Turn{ID: fmt.Sprint("later-", i), Program: program})
			time.Sleep(100 * time.Millisecond)
		}
		offers := f.offered()
		if offers == 0 || offers > 18 {
			t.Errorf("the shard was offered %d times in a minute, want some, and 18 at most (six times three daemons)", offers)
		}
	})
}

// TestDaemonThatStoppedWhileItReadAheadIsNotBusy: it must not keep telling callers that
// their requests are pending.
func TestDaemonThatStoppedWhileItReadAheadIsNotBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 1)
		f.fillHistory(t)
		begin(t, f.caller(), Turn{ID: "first", Program: "p"})
		former := f.holderOf("p")
		shard := f.service(former).shardOf("p")
		f.setReadTime(rollingReadTime)
		f.leave(former)
		time.Sleep(300 * time.Millisecond)
		var reader *Service
		for _, id := range f.ids() {
			if f.service(id).holders[shard].status.preparing.Load() {
				reader = f.service(id)
			}
		}
		if reader == nil {
			t.Fatal("nobody reads the shard ahead")
		}
		f.kill(reader.Self)
		time.Sleep(time.Minute)
		if reader.holders[shard].status.isBusy() {
			t.Error("a daemon that stopped a minute ago is busy")
		}
	})
}

// TestStopWaitsUntilShardsArePassedOn: the process must not end before that.
func TestStopWaitsUntilShardsArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 1)
		f.fillHistory(t)
		begin(t, f.caller(), Turn{ID: "first", Program: "p"})
		former := f.service(f.holderOf("p"))
		f.setReadTime(rollingReadTime)
		f.leave(former.Self)
		started := time.Now()
		former.WaitForHandover(testContext(t))
		if took := time.Since(started); took < rollingHistory*rollingReadTime || took > prepareTimeout {
			t.Errorf("waited %s for a read that takes %s", took, rollingHistory*rollingReadTime)
		}
		time.Sleep(takeTimeout) // the successor's claim may be under way
		if f.holderOf("p") == former.Self {
			t.Error("the shard was not handed over")
		}
	})
}

// TestFormerHolderNamesItsSuccessor: a caller between a release and the claim must not
// choose a daemon by itself.
func TestFormerHolderNamesItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p"})
		former := f.service(f.holderOf("p"))
		shard := former.shardOf("p")
		successor := former.preferredHolder(shard, former.Self)
		f.setDisconnected(structs.DaemonID(successor), true) // it does not learn of the release
		h := former.holders[shard]
		h.post(t.Context(), func(ctx context.Context) {
			h.handover = &handover{to: successor, prepared: true}
			h.relinquish(ctx)
		})
		got := former.askOne(testContext(t), former.Self, Request{Shard: shard, Find: &Find{Turn: "a"}})
		if got.Result != resultMoved || !got.Released || got.Holder != successor {
			t.Errorf("the former holder answered %+v, want that %s is to claim the shard", got, successor)
		}
	})
}
