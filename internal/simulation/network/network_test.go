package network

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

type messageRecorder struct{ got []dispatch.SubmissionID }

func (m *messageRecorder) Receive(_ structs.DaemonID, message peer.Message) {
	m.got = append(m.got, message.(*dispatch.NotKnown).Submission)
}

type fixture struct {
	clock    *clock.Virtual
	network  *Network
	process  *Process
	sender   *Endpoint
	receiver *messageRecorder
	to       structs.DaemonID
}

func newFixture(settings Settings) *fixture {
	c := clock.NewVirtual(time.Unix(1000, 0))
	f := &fixture{
		clock:    c,
		network:  New(c, rand.New(rand.NewPCG(1, 2)), settings),
		process:  NewProcess(c, 0),
		receiver: &messageRecorder{},
		to:       structs.NewDaemonID("10.0.0.2:1", 1),
	}
	f.sender = f.network.Attach(structs.Daemon{ID: structs.NewDaemonID("10.0.0.1:1", 1), Zone: "a"}, NewProcess(c, 0))
	f.network.Attach(structs.Daemon{ID: f.to, Zone: "b"}, f.process).Handle(f.receiver)
	return f
}

func (f *fixture) send(ids ...dispatch.SubmissionID) {
	for _, id := range ids {
		f.sender.Send(f.to, &dispatch.NotKnown{Submission: id})
	}
}

func (f *fixture) expect(t *testing.T, want ...dispatch.SubmissionID) {
	t.Helper()
	f.clock.RunUntil(f.clock.Now().Add(time.Second))
	if diff := cmp.Diff(want, f.receiver.got); diff != "" {
		t.Fatalf("received (-want +got):\n%s", diff)
	}
	f.receiver.got = nil
}

func TestMessagesKeepTheirOrderOnOneConnection(t *testing.T) {
	settings := DefaultSettings()
	settings.Jitter = 50 * time.Millisecond
	f := newFixture(settings)
	f.send(1, 2, 3, 4, 5, 6)
	f.expect(t, 1, 2, 3, 4, 5, 6)
}

func TestCutIsOneWayAndAppliesOnArrival(t *testing.T) {
	f := newFixture(DefaultSettings())
	f.network.Cut("b", "a")
	f.send(1)
	f.expect(t, 1)
	f.send(2)
	f.network.Cut("a", "b")
	f.expect(t)
	f.network.HealAll()
	f.network.Cut("b", "")
	f.network.Cut("", "b")
	f.send(3)
	f.expect(t)
	if !f.network.Reachable(Place{Address: "x", Zone: "b"}, Place{Address: "y", Zone: "b"}) {
		t.Fatal("places in an isolated zone must still reach each other")
	}
}

func TestPausedProcessRunsBacklogOnResume(t *testing.T) {
	f := newFixture(DefaultSettings())
	fired := false
	f.process.AfterFunc(10*time.Millisecond, func() { fired = true })
	stopped := f.process.AfterFunc(10*time.Millisecond, func() { t.Error("a timer fired that was stopped in the backlog") })
	f.process.Pause()
	f.send(1)
	f.expect(t)
	if fired {
		t.Fatal("a timer fired in a paused process")
	}
	stopped.Stop()
	f.process.Resume()
	f.expect(t, 1)
	if !fired {
		t.Fatal("the timer of a resumed process did not fire")
	}
}

func TestKilledProcessRunsNothingAndMessagesForItsRunAreDropped(t *testing.T) {
	f := newFixture(DefaultSettings())
	f.process.AfterFunc(0, func() { t.Error("a timer fired in a dead process") })
	f.process.Kill()
	successor := &messageRecorder{}
	f.network.Attach(structs.Daemon{ID: structs.NewDaemonID("10.0.0.2:1", 2), Zone: "b"}, NewProcess(f.clock, 0)).Handle(successor)
	f.send(1)
	f.expect(t)
	if len(successor.got) != 0 {
		t.Fatal("a message for the previous run reached its successor")
	}
}

func TestRequestFailsOnceWhenItsAnswerIsLost(t *testing.T) {
	f := newFixture(DefaultSettings())
	client := Client{Network: f.network, Process: f.process, Place: Place{Address: "10.0.0.2:1", Zone: "b"}}
	service := Place{Address: "log", Zone: "c"}
	failed := peer.ErrMalformed
	served, ended := 0, 0
	f.network.Cut("log", "")
	Request(client, service, 100*time.Millisecond, failed, func(reply func(int, error)) {
		served++
		reply(1, nil)
	}, func(_ int, err error) {
		ended++
		if err != failed {
			t.Errorf("error %v", err)
		}
	})
	f.clock.RunUntil(f.clock.Now().Add(time.Second))
	if served != 1 || ended != 1 {
		t.Fatalf("served %d times and ended %d times", served, ended)
	}
}
